package org.gooseberryhook.router.node;

import java.util.List;
import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/** Engines that answer at once and need no orders. */
record HealthyEngines(long bornMs) implements EngineOrders {
  @Override
  public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    onResult.accept(new EngineResult.State(target.layers(), false, 0, 1, List.of(), bornMs));
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
    onResult.accept(new EngineResult.Accepted());
  }
}
