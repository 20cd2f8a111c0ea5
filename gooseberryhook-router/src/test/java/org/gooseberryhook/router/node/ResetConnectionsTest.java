package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/** Tests streams whose head resets new connections while open ones, also those of probes, live. */
class ResetConnectionsTest extends RelayedRequestHarness {

  private static final int RESET_MS = 20;

  private final List<String> resettingAddresses = new CopyOnWriteArrayList<>();

  @Override
  EngineControl newEngines() {
    EngineControl engines = super.newEngines();
    return new EngineControl() {
      @Override
      public void setAnswerListener(TargetAnswerListener listener) {}

      @Override
      public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
        engines.readState(target, timeoutMs, onResult);
      }

      @Override
      public void readStateAnew(
          TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
        if (resettingAddresses.contains(target.address())) {
          EngineResult reset = new EngineResult.Unreachable("reset");
          node.loop().schedule(() -> onResult.accept(reset), RESET_MS, TimeUnit.MILLISECONDS);
        } else {
          readState(target, timeoutMs, onResult);
        }
      }

      @Override
      public void place(
          TargetEntry target,
          LayerRange layers,
          long fencingNumber,
          long expectedOrders,
          Consumer<EngineResult> onResult) {
        engines.place(target, layers, fencingNumber, expectedOrders, onResult);
      }

      @Override
      public void repath(
          String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {
        engines.repath(attemptId, pipeline, onResult);
      }
    };
  }

  private void resetNewConnections(TargetStandin target) {
    target.resetNewConnections();
    resettingAddresses.add(target.address());
  }

  /** Guards against streams that are sent again and again to a head that resets them. */
  @Test
  void aStreamIsRelayedIfItsHeadResetsNewConnections() throws Exception {
    TargetStandin peer =
        addPeer(
            (request, out) -> {
              writeEvents(request, out, 1, 3);
              TargetStandin.write(out, "0\r\n\r\n");
            });
    addPipeline((request, out) -> {});
    startNode();
    resetNewConnections(targets.get(0));
    reports.scheduleAtFixedRate(this::reportPeers, 0, 50, TimeUnit.MILLISECONDS);
    awaitGauge("gooseberryhook_live_peers 1.0");
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 3\n").endsWith("0\r\n\r\n");
    assertThat(peer.requests()).hasSize(1);
  }
}
