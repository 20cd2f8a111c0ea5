package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of the number of targets on which a stream runs; its route allows two attempts. */
class StreamAttemptsTest extends RouterNodeHarness {

  private static final int PAUSE_MS = 1_200;

  /** Ids of the heads that received the stream, in order. */
  private final List<String> heads = new CopyOnWriteArrayList<>();

  private void addPipelines(int count, TargetStandin.Script script) throws IOException {
    for (int i = 0; i < count; i++) {
      addTarget(
          "model",
          LayerRange.of(0, 40),
          (request, out) -> {
            heads.add(TargetStandin.header(request, "target"));
            script.respond(request, out);
          });
      addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    }
  }

  private static int nextEvent(String request) {
    String lastId = TargetStandin.header(request, "last-event-id");
    return lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1;
  }

  private static String address(String request) {
    String path = TargetStandin.header(request, "path");
    return path.substring(0, path.indexOf('='));
  }

  private static void endWith(OutputStream out, int event) throws IOException {
    TargetStandin.writeChunk(out, "id: " + event + "\ndata: " + event + "\n\n");
    TargetStandin.write(out, "0\r\n\r\n");
  }

  /** Guards against a stream that leaves one live target after another because each is silent. */
  @Test
  void aStreamRunsOnNoMoreTargetsThanItsRouteAllowsIfEachIsSilentForASecond() throws Exception {
    addPipelines(
        4,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          stalledAddresses.add(address(request));
          Thread.sleep(PAUSE_MS);
          endWith(out, next + 1);
        });
    startNode();
    String response = exchange(post("/draft/x", "p"));
    assertThat(heads).hasSize(2);
    assertThat(response).contains("id: 3\n").endsWith("0\r\n\r\n");
  }

  /** Guards against an extra attempt for each send to a target that is only thought to be dead. */
  @Test
  void aStreamWhoseSilentTargetsBreakOffRunsOnNoMoreTargetsThanItsRouteAllows() throws Exception {
    addPipelines(
        4,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          stalledAddresses.add(address(request));
          Thread.sleep(PAUSE_MS);
          throw new IOException("broken");
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).doesNotContain("0\r\n\r\n");
    assertThat(heads).hasSize(2);
  }

  /** Guards against a stream that is lost with its second head although both heads are dead. */
  @Test
  void aStreamWhoseHeadsEndedIsResumedAtAThird() throws Exception {
    Set<String> ended = ConcurrentHashMap.newKeySet();
    addPipelines(
        4,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          if (ended.size() < 2) {
            ended.add(address(request));
            restart(address(request));
            throw new IOException("ended");
          }
          endWith(out, next + 1);
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 4\n").endsWith("0\r\n\r\n");
    assertThat(heads).hasSize(3).doesNotHaveDuplicates();
  }

  /** Guards against a stream that is lost because its connections to one target broke twice. */
  @Test
  void aStreamWhoseConnectionsToOneTargetBreakTwiceIsResumedThere() throws Exception {
    addPipelines(
        1,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          if (heads.size() < 3) {
            throw new TargetStandin.ResetException();
          }
          endWith(out, next + 1);
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 4\n").endsWith("0\r\n\r\n");
    assertThat(heads).hasSize(3);
  }

  /** Guards against a caller that waits while the only target fails its stream once more. */
  @Test
  void aStreamThatItsOnlyTargetAnswersWithAnErrorIsNotSentThereAThirdTime() throws Exception {
    addPipelines(
        1,
        (request, out) -> {
          if (heads.size() > 1) {
            TargetStandin.writeResponse(out, request, 502, "signed: s\r\n", "error");
            return;
          }
          writeEvents(request, out, 1, 1);
          throw new TargetStandin.ResetException();
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 1\n").doesNotContain("0\r\n\r\n");
    assertThat(heads).hasSize(2);
  }

  /** Guards against a stream that is sent without end to a target that breaks each one off. */
  @Test
  void aStreamThatOneTargetBreaksOffAgainAndAgainIsNotSentWithoutEnd() throws Exception {
    addPipelines(
        1,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          throw new TargetStandin.ResetException();
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).doesNotContain("0\r\n\r\n");
    assertThat(heads).hasSize(4);
  }

  /** Guards against an extra attempt for each live target that only accepts no connection. */
  @Test
  void aStreamWhoseLiveTargetsRefuseConnectionsRunsOnNoMoreTargetsThanItsRouteAllows()
      throws Exception {
    addPipelines(
        4,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          close(address(request));
          throw new TargetStandin.ResetException();
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).doesNotContain("0\r\n\r\n");
    assertThat(heads).hasSize(2);
  }

  /** Ends a target; the one that starts in its place reports a later start. */
  private void restart(String address) throws IOException {
    restartedAddresses.add(address);
    close(address);
  }

  private void close(String address) throws IOException {
    for (TargetStandin target : targets) {
      if (target.address().equals(address)) {
        target.close();
      }
    }
  }

  /** Guards against a stream that crashes targets and gets a further one for each of them. */
  @Test
  void aStreamThatEndsEachHeadIsNotSentToAllOfThem() throws Exception {
    addPipelines(
        6,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          restart(address(request));
          throw new IOException("ended");
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).doesNotContain("0\r\n\r\n");
    assertThat(heads).hasSizeLessThanOrEqualTo(3);
  }

  /** Guards against a stream that leaves a silent target although no other one is free. */
  @Test
  void aStreamStaysAtItsSilentTargetIfAllTargetsAreSilent() throws Exception {
    addPipelines(
        2,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          for (int i = 0; i < targets.size(); i += 2) {
            stalledAddresses.add(targets.get(i).address());
          }
          Thread.sleep(PAUSE_MS);
          endWith(out, next + 1);
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 2\n").endsWith("0\r\n\r\n");
    assertThat(heads).hasSize(1);
  }

  /**
   * Guards against a stream that moves while it waits for another pipeline and keeps its place in
   * the queue: it was started once more, or ended when its time in the queue was over.
   */
  @Test
  void aStreamThatMovedWhileItWaitedIsNotStartedOnceMore() throws Exception {
    List<String> smallHeads = new CopyOnWriteArrayList<>();
    AtomicBoolean isSilent = new AtomicBoolean();
    addPipelines(
        5,
        (request, out) -> {
          int next = nextEvent(request);
          writeEvents(request, out, next, next);
          if (request.contains("tokens: ")) {
            Thread.sleep(3 * PAUSE_MS);
          } else {
            smallHeads.add(address(request));
            Thread.sleep(100);
            if (isSilent.compareAndSet(false, true)) {
              entries.stream()
                  .filter(entry -> entry.layers().equals(Optional.of(LayerRange.of(0, 40))))
                  .forEach(entry -> stalledAddresses.add(entry.address()));
            }
            Thread.sleep(3 * PAUSE_MS);
          }
          endWith(out, next + 1);
        });
    // Has no room for the large streams, which wait ahead of the small one.
    addTarget(
        "model",
        LayerRange.of(0, 41),
        (request, out) -> {
          int next = nextEvent(request);
          smallHeads.add(address(request));
          writeEvents(request, out, next, next);
          Thread.sleep(400);
          TargetStandin.writeChunk(out, "id: " + (next + 1) + "\ndata: x\n\n");
          Thread.sleep(400);
          endWith(out, next + 2);
        });
    addTarget("model", LayerRange.of(41, 80), (request, out) -> {});
    startNode();
    for (int i = 1; i <= 4; i++) {
      String large = post("/draft/" + i, "p").replace("attempt: a1", "attempt: l\r\ntokens: 1000");
      CompletableFuture.runAsync(() -> exchangeUnchecked(large));
      awaitHeads(i);
    }
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 4\n").endsWith("0\r\n\r\n");
    assertThat(smallHeads).hasSize(2);
  }

  /** Guards against an answer, or a refusal, that is lost because its body comes late. */
  @ParameterizedTest
  @CsvSource({"404, signed, 404", "409, signed, 409", "503, not-run, 200", "429, not-run, 200"})
  void anErrorResponseWhoseBodyIsLateIsPassedOnOrLeadsToAnotherAttempt(
      int status, String header, int answer) throws Exception {
    AtomicBoolean isSent = new AtomicBoolean();
    addPipelines(
        3,
        (request, out) -> {
          if (isSent.getAndSet(true)) {
            writeEvents(request, out, 1, 1);
            endWith(out, 2);
            return;
          }
          BegunStreamHarness.writeHead(
              request, out, String.valueOf(status), header + ": 1\r\nContent-Length: 5\r\n");
          Thread.sleep(1_500);
          TargetStandin.write(out, "error");
        });
    RoutingConfiguration usual = configuration();
    Route notResumable =
        new Route(
            "/draft/",
            "h",
            "/draft/",
            RequestKind.STREAM,
            10_000,
            500,
            2,
            1,
            false,
            true,
            false,
            200,
            List.of(new WeightedService("model", 1)));
    firstConfiguration =
        new RoutingConfiguration(
            1, List.of(notResumable), usual.services(), usual.limits(), Optional.empty());
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).startsWith("HTTP/1.1 " + answer);
  }

  /** Guards against a second copy of a refusal that is taken for the response to the next send. */
  @Test
  void aRefusalThatIsSentTwiceDoesNotHideARun() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    Set<OutputStream> refusedOn = ConcurrentHashMap.newKeySet();
    addPipelines(
        1,
        (request, out) -> {
          boolean isFirst = refusedOn.isEmpty();
          if (isFirst || refusedOn.contains(out)) {
            refusedOn.add(out);
            TargetStandin.writeResponse(out, request, 503, "not-run: 1\r\n", "full");
          }
          if (!isFirst) {
            runs.incrementAndGet();
            writeEvents(request, out, 1, 1);
            endWith(out, 2);
          }
        });
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 2\n").endsWith("0\r\n\r\n");
    assertThat(runs.get()).isEqualTo(1);
  }

  private void exchangeUnchecked(String request) {
    try {
      exchange(request);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void awaitHeads(int count) throws InterruptedException {
    for (int i = 0; i < 500 && heads.size() < count; i++) {
      Thread.sleep(10);
    }
    assertThat(heads).hasSize(count);
  }
}
