package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gooseberryhook.router.admission.Sharing;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;

/** The targets and pipelines in use, as the node sees them now. */
public interface FleetView {

  /**
   * Returns the targets of a service that may take requests.
   *
   * @param service name of the service
   * @return the targets that are not leaving
   */
  List<TargetEntry> targets(String service);

  /**
   * Returns the pipelines of a service.
   *
   * @param service name of the service
   * @return the pipelines
   */
  List<ModelPipeline> pipelines(String service);

  /**
   * Returns how many live nodes share the targets.
   *
   * @return the sharing, never null
   */
  Sharing sharing();

  /**
   * Notes that a target does not work, as seen by a request.
   *
   * @param address address of the target
   * @param reason what was seen
   */
  void reportFailure(String address, String reason);

  /**
   * Leaves a target out of new requests for a moment and examines it, because it refused one: it
   * may be dead, leaving, changing its layers, or short of memory.
   *
   * @param address address of the target
   */
  void excludeTemporarily(String address);

  /**
   * Tells whether a pipeline lost targets only because they are about to leave, and they still
   * serve for a while.
   *
   * @param pipeline the pipeline
   * @return true if its streams can wait for a replacement nearby
   */
  boolean isLeaving(ModelPipeline pipeline);

  /**
   * Has the targets of a pipeline examined whose stream is silent or broke.
   *
   * @param pipeline the pipeline
   */
  void checkTargets(ModelPipeline pipeline);

  /**
   * Returns how slow a target is.
   *
   * @param target the target
   * @return factor on its times, 1 if it is as fast as its kind
   */
  double slowdownFactor(TargetEntry target);

  /**
   * Finds the pipeline with which a running request can go on whose pipeline lost targets.
   *
   * @param broken the pipeline of the request
   * @return a pipeline with the same head; empty if there is none, or if the pipeline is whole
   */
  Optional<ModelPipeline> findReplacement(ModelPipeline broken);

  /**
   * Tells whether a target is taken as not working.
   *
   * @param address address of the target
   * @return true if it is left out of pipelines
   */
  boolean isSuspect(String address);

  /**
   * Has the head of a running request use other targets.
   *
   * @param attemptId id of the request
   * @param pipeline the pipeline to use, with the same head
   * @param onResult told whether the head agreed
   */
  void repath(String attemptId, ModelPipeline pipeline, Consumer<Boolean> onResult);
}
