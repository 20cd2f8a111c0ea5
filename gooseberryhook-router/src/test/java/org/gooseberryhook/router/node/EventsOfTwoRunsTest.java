package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a caller that gets a token twice because two runs of its stream send events that
 * hold several tokens, and the node reads both in one pass of its event loop.
 */
class EventsOfTwoRunsTest extends RelayedRequestHarness {

  private static final int LAST_TOKEN = 24;
  private static final int SILENCE_MS = 2_100;
  private static final int WAIT_S = 6;

  /** What a run does after the events that the node reads in one pass. */
  private enum End {
    COMPLETE,
    RESET,
    CUT_WITHIN_EVENT,
    SILENT_THEN_COMPLETE
  }

  private final AtomicInteger runs = new AtomicInteger();
  private final CountDownLatch bothRun = new CountDownLatch(2);
  private final CountDownLatch isBlocked = new CountDownLatch(1);
  private final CountDownLatch bothWritten = new CountDownLatch(2);

  private static void await(CountDownLatch latch) throws InterruptedException {
    latch.await(WAIT_S, TimeUnit.SECONDS);
  }

  private static String event(int first, int last) {
    String tokens =
        IntStream.rangeClosed(first, last)
            .mapToObj(Integer::toString)
            .collect(Collectors.joining(" "));
    return "id: " + last + "\ndata: " + tokens + "\n\n";
  }

  private static void writeTokens(OutputStream out, int first, int last, int perEvent)
      throws IOException {
    for (int token = first; token <= last; token += perEvent) {
      TargetStandin.writeChunk(out, event(token, Math.min(last, token + perEvent - 1)));
    }
  }

  private static int nextToken(String request) {
    return 1 + Integer.parseInt("0" + TargetStandin.header(request, "last-event-id"));
  }

  /** Writes events while the node's event loop stands still, and ends as told. */
  private void writeInOnePass(OutputStream out, int first, int perEvent, End end)
      throws IOException, InterruptedException {
    await(isBlocked);
    boolean isWhole = end == End.COMPLETE;
    int last = isWhole ? LAST_TOKEN : first + 2 * perEvent - 1;
    writeTokens(out, first, last, perEvent);
    if (isWhole) {
      TargetStandin.write(out, BegunStreamHarness.END_OF_CHUNKS);
    }
    bothWritten.countDown();
    if (end == End.RESET) {
      throw new TargetStandin.ResetException();
    }
    if (end == End.CUT_WITHIN_EVENT) {
      TargetStandin.writeChunk(out, "id: " + LAST_TOKEN + "\ndata: ");
      throw new IOException("cut");
    }
    if (end == End.SILENT_THEN_COMPLETE) {
      Thread.sleep(SILENCE_MS);
      writeTokens(out, last + 1, LAST_TOKEN, perEvent);
      TargetStandin.write(out, BegunStreamHarness.END_OF_CHUNKS);
    }
  }

  /** Sends an event of four tokens, is silent until another run has begun, and goes on. */
  private void runFirst(String request, OutputStream out, End end)
      throws IOException, InterruptedException {
    writeEvents(request, out, 1, 0);
    writeTokens(out, 1, 4, 4);
    bothRun.countDown();
    writeInOnePass(out, 5, 4, end);
  }

  private void runSecond(String request, OutputStream out, End end)
      throws IOException, InterruptedException {
    bothRun.countDown();
    await(isBlocked);
    writeEvents(request, out, 1, 0);
    writeInOnePass(out, nextToken(request), 3, end);
  }

  private static void runWhole(String request, OutputStream out) throws IOException {
    writeEvents(request, out, 1, 0);
    writeTokens(out, nextToken(request), LAST_TOKEN, 1);
    TargetStandin.write(out, BegunStreamHarness.END_OF_CHUNKS);
  }

  /** Adds two pipelines; the head of the first run is taken for dead if that is asked. */
  private void startWith(End first, End second, boolean isFirstSuspect) throws Exception {
    for (int i = 0; i < 2; i++) {
      addPipeline(
          (request, out) -> {
            int run = runs.getAndIncrement();
            if (run == 0 && isFirstSuspect) {
              String path = TargetStandin.header(request, "path");
              deadAddresses.add(path.substring(0, path.indexOf('=')));
            }
            if (run == 0) {
              runFirst(request, out, first);
            } else if (run == 1) {
              runSecond(request, out, second);
            } else {
              runWhole(request, out);
            }
          });
    }
    startNode();
  }

  /** Blocks the event loop until both runs have written, and for a time after that. */
  private void readBothInOnePass(int blockedMs) throws InterruptedException {
    assertThat(bothRun.await(WAIT_S, TimeUnit.SECONDS)).isTrue();
    node.loop()
        .submit(
            () -> {
              isBlocked.countDown();
              await(bothWritten);
              Thread.sleep(blockedMs);
              return null;
            });
  }

  private CompletableFuture<String> exchangeLater(String request) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return exchange(request);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Each token once and in order, and all of them if the stream ends as complete. */
  private static void assertInOrder(String response, int first) {
    List<Integer> tokens =
        Pattern.compile("data: ([0-9 ]+)\n")
            .matcher(response)
            .results()
            .flatMap(match -> Stream.of(match.group(1).split(" ")).map(Integer::valueOf))
            .toList();
    boolean isWhole = response.endsWith(BegunStreamHarness.END_OF_CHUNKS);
    int last = isWhole ? LAST_TOKEN : first + tokens.size() - 1;
    assertThat(tokens).isEqualTo(IntStream.rangeClosed(first, last).boxed().toList());
  }

  @AfterEach
  void releaseRuns() {
    isBlocked.countDown();
  }

  @ParameterizedTest(name = "silent run: {0}, later run: {1}, node stands still: {2} ms")
  @CsvSource({
    "COMPLETE, COMPLETE, 50",
    "COMPLETE, RESET, 1500",
    "RESET, COMPLETE, 50",
    "RESET, SILENT_THEN_COMPLETE, 1500",
    "CUT_WITHIN_EVENT, CUT_WITHIN_EVENT, 50",
    "SILENT_THEN_COMPLETE, CUT_WITHIN_EVENT, 50",
    "SILENT_THEN_COMPLETE, SILENT_THEN_COMPLETE, 1500"
  })
  void tokensOfASilentAttemptAndALaterOneAreNotJoined(End first, End second, int blockedMs)
      throws Exception {
    startWith(first, second, true);
    CompletableFuture<String> response = exchangeLater(post("/draft/x", "p"));
    readBothInOnePass(blockedMs);
    assertInOrder(response.get(), 1);
  }

  @ParameterizedTest(name = "own run: {0}, other node: {1}, stands still: {2} ms, stops: {3}")
  @CsvSource({
    "COMPLETE, COMPLETE, 50, false",
    "COMPLETE, RESET, 1500, false",
    "RESET, COMPLETE, 1500, false",
    "CUT_WITHIN_EVENT, SILENT_THEN_COMPLETE, 50, false",
    "SILENT_THEN_COMPLETE, SILENT_THEN_COMPLETE, 1500, false",
    "SILENT_THEN_COMPLETE, COMPLETE, 50, true",
    "COMPLETE, SILENT_THEN_COMPLETE, 1500, true"
  })
  void tokensOfTheOwnRunAndOfANodeThatIsOfferedTheStreamAreNotJoined(
      End own, End other, int blockedMs, boolean isStopping) throws Exception {
    addPeer((request, out) -> runSecond(request, out, other));
    addPipeline(
        (request, out) -> {
          targets.forEach(target -> deadAddresses.add(target.address()));
          runFirst(request, out, own);
        });
    startNode();
    reports.scheduleAtFixedRate(this::reportPeers, 0, 50, TimeUnit.MILLISECONDS);
    awaitGauge("gooseberryhook_live_peers 1.0");
    CompletableFuture<String> response = exchangeLater(post("/draft/x", "p"));
    readBothInOnePass(blockedMs);
    if (isStopping) {
      startStopping();
    }
    assertInOrder(response.get(), 1);
  }

  @ParameterizedTest(name = "attempt that resumes: {0}, first run: {1}, resumed run: {2}")
  @CsvSource({
    "a1, COMPLETE, COMPLETE",
    "a1, RESET, SILENT_THEN_COMPLETE",
    "a2, SILENT_THEN_COMPLETE, CUT_WITHIN_EVENT"
  })
  void tokensOfARequestAndOfOneThatResumesItAreNotMixed(String attempt, End first, End second)
      throws Exception {
    startWith(first, second, false);
    CompletableFuture<String> response = exchangeLater(post("/draft/x", "p"));
    while (bothRun.getCount() > 1) {
      Thread.sleep(10);
    }
    String resumed = "attempt: " + attempt + "\r\nlast-event-id: 4";
    CompletableFuture<String> rest =
        exchangeLater(post("/draft/x", "p").replace("attempt: a1", resumed));
    readBothInOnePass(50);
    assertInOrder(response.get(), 1);
    assertInOrder(rest.get(), 5);
  }
}
