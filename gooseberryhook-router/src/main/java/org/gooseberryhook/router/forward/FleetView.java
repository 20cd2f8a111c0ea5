package org.gooseberryhook.router.forward;

import java.util.List;
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
   * Returns the number of live nodes that share the targets.
   *
   * @return at least 1
   */
  int nodeCount();

  /**
   * Notes that a target does not work, as seen by a request.
   *
   * @param address address of the target
   * @param reason what was seen
   */
  void suspect(String address, String reason);

  /**
   * Has the targets of a pipeline examined whose stream is silent or broke.
   *
   * @param pipeline the pipeline
   */
  void examine(ModelPipeline pipeline);
}
