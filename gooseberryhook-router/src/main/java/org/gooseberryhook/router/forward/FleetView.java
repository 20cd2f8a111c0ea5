package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;

/** The targets and pipelines in use, as this node knows them now. */
public interface FleetView {

  /**
   * A time before all others, at which the pause of a target has ended that never asked for one.
   */
  long NO_PAUSE_MS = Long.MIN_VALUE / 2;

  /**
   * Returns the targets of a service that may receive requests.
   *
   * @param service name of the service
   * @return the targets that are not leaving
   */
  List<TargetEntry> targets(String service);

  /**
   * Returns the pipelines of a service.
   *
   * @param service name of the service
   * @return the pipelines whose targets are all usable
   */
  List<ModelPipeline> pipelines(String service);

  /**
   * Returns how the live nodes share the targets.
   *
   * @return the sharing, never null
   */
  CapacitySharing sharing();

  /**
   * Reports that a target failed, as observed by a request.
   *
   * @param address address of the target
   * @param reason the observed failure, for the log
   */
  void reportFailure(String address, String reason);

  /**
   * Finds out whether a target that refused a connection has ended, by what the other nodes see.
   *
   * @param address address of the target
   * @param onReviewed receives whether it has ended, at most once and not before that is known; not
   *     called if it stays unknown
   */
  void reviewRefusal(String address, Consumer<Boolean> onReviewed);

  /**
   * Excludes a target from new requests for a short time and checks its state, because it refused a
   * request: it may be dead, leaving, changing its layers, or short of memory.
   *
   * @param address address of the target
   */
  void excludeTemporarily(String address);

  /**
   * Starts a check of a target that keeps refusing requests.
   *
   * @param address address of the target
   */
  void checkTarget(String address);

  /**
   * Returns whether a target may get a request now: it is neither leaving nor has it asked for a
   * pause.
   *
   * @param address address of the target
   * @return false if a request must not be sent, even if the target was chosen for it before
   */
  boolean mayReceive(String address);

  /**
   * Returns when the pause ends that a target asked for.
   *
   * @param address address of the target
   * @return monotonic time in milliseconds, {@link #NO_PAUSE_MS} if it did not ask for one
   */
  long pauseEndMs(String address);

  /**
   * Returns whether a pipeline lost targets only because they are about to leave, so that they
   * still serve for a while.
   *
   * @param pipeline the pipeline
   * @return true if its streams can wait for a replacement nearby
   */
  boolean isLeaving(ModelPipeline pipeline);

  /**
   * Starts checks of the targets of a pipeline whose stream is silent, slow or was interrupted.
   *
   * @param pipeline the pipeline
   */
  void checkTargets(ModelPipeline pipeline);

  /**
   * Looks for slow targets in a pipeline whose stream had a long gap, unless that was done lately.
   *
   * @param pipeline the pipeline
   */
  void checkPace(ModelPipeline pipeline);

  /**
   * Returns the factor by which a target is slower than usual for its kind.
   *
   * @param target the target
   * @return factor on its processing times, 1 if it is as fast as usual
   */
  double slowdownFactor(TargetEntry target);

  /**
   * Returns how many live nodes come before this one in trying whether a cause crashes targets. The
   * order differs from cause to cause.
   *
   * @param cause number of the cause
   * @return 0 for the first node
   */
  int nodesBefore(long cause);

  /**
   * Finds a pipeline on which a running request can continue after its own pipeline lost targets.
   *
   * @param current the pipeline of the request
   * @param excluded addresses of targets that the request must not use, because another run of it
   *     may be in progress there
   * @return a pipeline with the same head; empty if there is none or no target is lost
   */
  Optional<ModelPipeline> findReplacement(ModelPipeline current, Set<String> excluded);

  /**
   * Returns whether a target is considered failed.
   *
   * @param address address of the target
   * @return true if it is excluded from pipelines
   */
  boolean isSuspect(String address);

  /**
   * Returns whether a target is known to have ended. Unlike that of a suspect, its work is over.
   *
   * @param target entry of the target as of an earlier time
   * @return true if it has restarted since
   */
  boolean hasEnded(TargetEntry target);

  /**
   * Requests that the head of a running request routes it through other targets from now on.
   *
   * @param attemptId id of the attempt
   * @param pipeline the pipeline to use, with the same head
   * @param onResult receives whether the head accepted the change
   */
  void repath(String attemptId, ModelPipeline pipeline, Consumer<Boolean> onResult);
}
