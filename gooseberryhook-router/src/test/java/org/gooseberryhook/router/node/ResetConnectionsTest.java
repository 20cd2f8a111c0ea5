package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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

  /** Guards against streams that are moved off a full target that serves them. */
  @Test
  void aStreamWithEventsStaysAtAHeadThatResetsNewConnections() throws Exception {
    for (int i = 0; i < 2; i++) {
      addPipeline(
          (request, out) -> {
            writeEvents(request, out, 1, 1);
            for (int event = 2; event <= 40; event++) {
              Thread.sleep(50);
              TargetStandin.writeChunk(out, "id: " + event + "\ndata: " + event + "\n\n");
            }
            TargetStandin.write(out, "0\r\n\r\n");
          });
    }
    startNode();
    CompletableFuture<String> first =
        CompletableFuture.supplyAsync(() -> exchangeUnchecked(post("/draft/x", "p")));
    TargetStandin head = awaitHead();
    resetNewConnections(head);
    List<CompletableFuture<String>> later = new CopyOnWriteArrayList<>();
    for (int i = 2; i < 6; i++) {
      String request = post("/draft/x", "p").replace("attempt: a1", "attempt: a" + i);
      later.add(CompletableFuture.supplyAsync(() -> exchangeUnchecked(request)));
    }
    awaitGauge("gooseberryhook_suspected_targets 1.0");
    assertThat(first.get(8, TimeUnit.SECONDS)).contains("id: 40\n").endsWith("0\r\n\r\n");
    for (CompletableFuture<String> response : later) {
      assertThat(response.get(8, TimeUnit.SECONDS)).contains("id: 40\n").endsWith("0\r\n\r\n");
    }
    assertThat(targets)
        .flatExtracting(TargetStandin::requests)
        .filteredOn(request -> TargetStandin.header(request, "attempt").equals("a1"))
        .hasSize(1);
  }

  private TargetStandin awaitHead() throws InterruptedException {
    for (int i = 0; i < 300; i++) {
      for (TargetStandin target : targets) {
        if (!target.requests().isEmpty()) {
          return target;
        }
      }
      Thread.sleep(10);
    }
    throw new AssertionError("no target got the stream");
  }

  private String exchangeUnchecked(String request) {
    try {
      return exchange(request);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
