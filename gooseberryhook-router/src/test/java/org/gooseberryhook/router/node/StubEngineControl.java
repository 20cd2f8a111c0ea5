package org.gooseberryhook.router.node;

import java.util.List;
import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Engines that answer at once and need no orders.
 *
 * @param startedMs start of their lives
 * @param stalledAddresses addresses for which they say that their requests wait
 * @param repathResults receives the answers to changes of paths, which are refused if something
 *     stalls
 */
record StubEngineControl(
    long startedMs, List<String> stalledAddresses, List<EngineResult> repathResults)
    implements EngineControl {
  @Override
  public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    onResult.accept(
        new EngineResult.State(target.layers(), false, 0, 1, stalledAddresses, startedMs));
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
