package org.gooseberryhook.router.node;

import java.util.List;
import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;

/**
 * Engines that respond at once unless they are dead, hold the layers that the list shows and accept
 * all orders, except changes of a pipeline while a target stalls.
 *
 * @param startedMs start time that they report, in Unix milliseconds
 * @param stalledAddresses addresses of the targets that they report as stalled
 * @param deadAddresses addresses of the targets that do not respond
 * @param restartedAddresses addresses of the targets that report a later start
 * @param repathResults collects the results of orders to change a pipeline
 */
record StubEngineControl(
    long startedMs,
    List<String> stalledAddresses,
    List<String> deadAddresses,
    List<String> restartedAddresses,
    List<EngineResult> repathResults)
    implements EngineControl {
  @Override
  public void setAnswerListener(TargetAnswerListener listener) {}

  @Override
  public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    if (deadAddresses.contains(target.address())) {
      onResult.accept(new EngineResult.Unreachable("dead"));
      return;
    }
    long reportedMs = restartedAddresses.contains(target.address()) ? startedMs + 1 : startedMs;
    onResult.accept(
        new EngineResult.State(target.layers(), false, 0, 1, stalledAddresses, reportedMs));
  }

  @Override
  public void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    readState(target, timeoutMs, onResult);
  }

  @Override
  public void place(
      TargetEntry target,
      LayerRange layers,
      long fencingNumber,
      long expectedOrders,
      Consumer<EngineResult> onResult) {
    onResult.accept(new EngineResult.Accepted());
  }

  @Override
  public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {
    EngineResult result =
        stalledAddresses.isEmpty() ? new EngineResult.Accepted() : new EngineResult.Refused(409);
    repathResults.add(result);
    onResult.accept(result);
  }
}
