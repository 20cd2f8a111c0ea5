package org.gooseberryhook.router.node;

import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;

/**
 * Control interface of the engines, the targets that run a model's layers. Each call delivers one
 * result, on the event loop.
 */
public interface EngineControl {

  /**
   * Registers the receiver of what targets state about themselves in the headers of their answers.
   * Must be called before the first call to a target.
   *
   * @param listener the receiver
   */
  void setAnswerListener(TargetAnswerListener listener);

  /**
   * Reads the state of a target.
   *
   * @param target the target
   * @param timeoutMs timeout of the call in milliseconds
   * @param onResult receives the result
   */
  void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult);

  /**
   * Reads the state of a target over a new connection, as requests need it; an answer on an open
   * one does not show that new ones are served.
   *
   * @param target the target
   * @param timeoutMs timeout of the call, with the time to connect, in milliseconds
   * @param onResult receives the result
   */
  void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult);

  /**
   * Orders a target to load and hold layers.
   *
   * @param target the target
   * @param layers the layers
   * @param fencingNumber fencing number of the placement lease; a target refuses one that is lower
   *     than the highest it has seen
   * @param expectedOrders number of orders that the target must have accepted so far
   * @param onResult receives the result
   */
  void place(
      TargetEntry target,
      LayerRange layers,
      long fencingNumber,
      long expectedOrders,
      Consumer<EngineResult> onResult);

  /**
   * Orders the head of a running request to use other targets for the layers after its own.
   *
   * @param attemptId id of the request's attempt
   * @param pipeline the new targets, with the same head
   * @param onResult receives the result
   */
  void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult);
}
