package org.gooseberryhook.router.node;

import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/** Port to the targets of a model. Results are delivered on the event loop, exactly once. */
public interface EngineControl {

  /**
   * Reads a target's state.
   *
   * @param target the target
   * @param timeoutMs time for the answer
   * @param onResult receives the result
   */
  void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult);

  /**
   * Orders a target to hold layers.
   *
   * @param target the target
   * @param layers the layers
   * @param fencingNumber fencing number of the placement lease
   * @param expectedOrders orders that the target must have accepted so far
   * @param onResult receives the result
   */
  void place(
      TargetEntry target,
      LayerRange layers,
      long fencingNumber,
      long expectedOrders,
      Consumer<EngineResult> onResult);

  /**
   * Orders the head of a running request to use other targets for later layers.
   *
   * @param attemptId id of the request
   * @param pipeline the new targets, with the same head
   * @param onResult receives the result
   */
  void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult);
}
