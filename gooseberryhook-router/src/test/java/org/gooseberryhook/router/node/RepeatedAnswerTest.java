package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a refusal that a target writes once more on a kept connection and that is taken
 * for the answer to a later send of the same attempt, which the target runs.
 */
class RepeatedAnswerTest extends RouterNodeHarness {

  private static final int COPY_DELAY_MS = 30;

  /** When a target writes its earlier refusal once more. */
  private enum CopyTime {
    /** As soon as the next request arrives, before that request is answered. */
    BEFORE_NEXT_ANSWER,
    /** In one packet with the answer to the next request. */
    WITH_NEXT_ANSWER,
    /** While no request is on the connection. */
    BETWEEN_REQUESTS
  }

  /** The first refusal on each connection. */
  private final Map<OutputStream, String> refusals = new ConcurrentHashMap<>();

  private final Set<String> refusedAttempts = ConcurrentHashMap.newKeySet();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  private static String request(String path, String attempt) {
    return post(path, "b").replace("attempt: a1", "attempt: " + attempt);
  }

  private static String refusal(String attempt, String extra) {
    return "HTTP/1.1 503 X\r\nattempt: "
        + attempt
        + "\r\nnot-run: 1\r\n"
        + extra
        + "Content-Length: 0\r\n\r\n";
  }

  private static String answer(String request) {
    String attempt = TargetStandin.header(request, "attempt");
    boolean isStream = request.contains("/draft/");
    return "HTTP/1.1 200 X\r\nattempt: "
        + attempt
        + "\r\nsigned: s\r\n"
        + (isStream
            ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "f\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n"
            : "Content-Length: 2\r\n\r\nok");
  }

  /** Refuses attempt {@code a1} when it comes first, runs all others and repeats the refusal. */
  private TargetStandin.Script refusingOnce(CopyTime copyTime) {
    return (request, out) -> {
      String attempt = TargetStandin.header(request, "attempt");
      if (attempt.equals("a1") && refusedAttempts.add(attempt)) {
        // The pause outlasts the deadline, so that a stream is not sent again by itself.
        String refusal = refusal(attempt, request.contains("/draft/") ? "pause: 1.0\r\n" : "");
        refusals.put(out, refusal);
        TargetStandin.write(out, refusal);
        if (copyTime == CopyTime.BETWEEN_REQUESTS) {
          Thread.sleep(COPY_DELAY_MS);
          TargetStandin.write(out, refusal);
        }
        return;
      }
      runs.computeIfAbsent(attempt, a -> new AtomicInteger()).incrementAndGet();
      String copy = refusals.getOrDefault(out, "");
      if (copyTime == CopyTime.WITH_NEXT_ANSWER) {
        TargetStandin.write(out, copy + answer(request));
      } else {
        if (copyTime == CopyTime.BEFORE_NEXT_ANSWER) {
          TargetStandin.write(out, copy);
          Thread.sleep(COPY_DELAY_MS);
        }
        TargetStandin.write(out, answer(request));
      }
    };
  }

  @ParameterizedTest(name = "{0}, {1}, other attempts in between: {2}")
  @CsvSource({
    "/book/x, BEFORE_NEXT_ANSWER, 0",
    "/book/x, WITH_NEXT_ANSWER, 0",
    "/book/x, BETWEEN_REQUESTS, 0",
    "/book/x, BEFORE_NEXT_ANSWER, 1",
    "/book/x, BEFORE_NEXT_ANSWER, 3",
    "/book/x, WITH_NEXT_ANSWER, 1",
    "/read/x, BEFORE_NEXT_ANSWER, 0",
    "/read/x, WITH_NEXT_ANSWER, 1",
    "/draft/x, BEFORE_NEXT_ANSWER, 0",
    "/draft/x, BEFORE_NEXT_ANSWER, 1",
    "/draft/x, WITH_NEXT_ANSWER, 0",
    "/draft/x, WITH_NEXT_ANSWER, 3",
    "/draft/x, BETWEEN_REQUESTS, 0"
  })
  void aCopyOfARefusalIsNoAnswerToALaterSendOfTheAttempt(String path, CopyTime time, int others)
      throws Exception {
    addTarget("plain", null, refusingOnce(time));
    addPipeline(refusingOnce(time));
    startNode();
    boolean isStream = path.startsWith("/draft/");
    String first = request(path, "a1");
    String deadline = "attempt: a1\r\ndeadline: 700";
    assertThat(exchange(isStream ? first.replace("attempt: a1", deadline) : first))
        .startsWith("HTTP/1.1 503");
    // Longer than a pause, which a copy states too.
    Thread.sleep(isStream ? 1_100 : 2 * COPY_DELAY_MS);
    for (int i = 0; i < others; i++) {
      assertThat(exchange(request(path, "other" + i))).startsWith("HTTP/1.1 200");
      Thread.sleep(isStream ? 1_100 : 2 * COPY_DELAY_MS);
    }
    assertThat(exchange(request(path, "a1"))).startsWith("HTTP/1.1 200");
    assertThat(runs.get("a1")).hasValue(1);
  }

  @Test
  void aCopyWithoutIdOnAKeptConnectionIsNoAnswer() throws Exception {
    AtomicInteger count = new AtomicInteger();
    addTarget(
        "plain",
        null,
        (request, out) -> {
          boolean isFirst = count.getAndIncrement() == 0;
          String copy = refusal("", "").replace("attempt: \r\n", "");
          TargetStandin.write(out, isFirst ? copy : copy + answer(request));
        });
    startNode();
    assertThat(exchange(request("/book/x", "a1"))).startsWith("HTTP/1.1 503");
    assertThat(exchange(request("/book/x", "a2"))).startsWith("HTTP/1.1 200");
    assertThat(count).hasValue(2);
  }

  /** Guards against a refusal that is believed although the connection mixes up its answers. */
  @Test
  void anAnswerWithoutIdAfterOneToAnotherAttemptIsNoAnswer() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          String unnamed = refusal("", "").replace("attempt: \r\n", "");
          TargetStandin.write(out, refusal("other", "") + unnamed + answer(request));
        });
    startNode();
    assertThat(exchange(request("/book/x", "a1"))).startsWith("HTTP/1.1 200");
  }

  /** Guards against an answer that is not recognized, so that its caller waits in vain. */
  @Test
  void aRequestWithoutIdGetsItsAnswerAfterOthersOnTheSameTarget() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          String named = answer(request);
          TargetStandin.write(out, named.replace("attempt: \r\n", ""));
        });
    startNode();
    assertThat(exchange(request("/book/x", "a1"))).startsWith("HTTP/1.1 200");
    String withoutId = post("/book/x", "b").replace("attempt: a1\r\n", "");
    for (int i = 0; i < 2; i++) {
      assertThat(exchange(withoutId)).startsWith("HTTP/1.1 200").endsWith("ok");
    }
  }

  /** Guards against a copy that ends the move of a stream to the head that refused it before. */
  @Test
  void aStreamThatIsRefusedAndSentAgainRunsOnce() throws Exception {
    AtomicInteger refusalCount = new AtomicInteger();
    addTarget(
        "model",
        LayerRange.of(0, 40),
        (request, out) -> {
          String attempt = TargetStandin.header(request, "attempt");
          if (refusalCount.getAndIncrement() < 2) {
            refusals.putIfAbsent(out, refusal(attempt, ""));
            TargetStandin.write(out, refusal(attempt, ""));
            return;
          }
          runs.computeIfAbsent(attempt, a -> new AtomicInteger()).incrementAndGet();
          TargetStandin.write(out, refusals.getOrDefault(out, ""));
          Thread.sleep(COPY_DELAY_MS);
          TargetStandin.write(out, answer(request));
        });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    assertThat(exchange(request("/draft/x", "a1"))).startsWith("HTTP/1.1 200");
    assertThat(runs.get("a1")).hasValue(1);
  }

  /** Guards against an answer that is lost because a copy without id came long before it. */
  @Test
  void anAnswerThatFollowsOneWithoutIdIsPassedOn() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          if (TargetStandin.header(request, "attempt").equals("a2")) {
            TargetStandin.write(out, refusal("", "").replace("attempt: \r\n", ""));
            Thread.sleep(500);
          }
          TargetStandin.write(out, answer(request));
        });
    startNode();
    for (String attempt : List.of("a1", "a2", "a3")) {
      assertThat(exchange(request("/book/x", attempt))).startsWith("HTTP/1.1 200");
    }
  }

  private static String stream(String request) {
    String lastId = TargetStandin.header(request, "last-event-id");
    StringBuilder chunks = new StringBuilder();
    for (int id = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1; id <= 6; id++) {
      chunks.append("f\r\nid: ").append(id).append("\ndata: ").append(id).append("\n\n\r\n");
    }
    return answer(request).replaceFirst("(?s)\r\n\r\n.*", "\r\n\r\n") + chunks + "0\r\n\r\n";
  }

  /** Guards against events of an earlier stream on the connection that its caller gets again. */
  @ParameterizedTest(name = "{0}, resumed as {1}")
  @CsvSource({
    "BEFORE_NEXT_ANSWER, a1",
    "BEFORE_NEXT_ANSWER, a2",
    "WITH_NEXT_ANSWER, a1",
    "WITH_NEXT_ANSWER, a2",
    "BETWEEN_REQUESTS, a2"
  })
  void aCopyOfAnEarlierStreamIsNotSentToTheCallerThatResumesIt(CopyTime time, String attempt)
      throws Exception {
    Map<OutputStream, String> copies = new ConcurrentHashMap<>();
    addPipeline(
        (request, out) -> {
          String answer = stream(request);
          String copy = copies.getOrDefault(out, "");
          copies.put(out, answer);
          if (time == CopyTime.WITH_NEXT_ANSWER) {
            TargetStandin.write(out, copy + answer);
            return;
          }
          String before = time == CopyTime.BEFORE_NEXT_ANSWER ? copy : answer;
          TargetStandin.write(out, before);
          Thread.sleep(COPY_DELAY_MS);
          TargetStandin.write(out, answer);
        });
    startNode();
    assertThat(exchange(request("/draft/x", "a1"))).contains("id: 1\n", "id: 6\n");
    Thread.sleep(2 * COPY_DELAY_MS);
    String resumed = "Host: h\r\nlast-event-id: 3";
    String response = exchange(request("/draft/x", attempt).replace("Host: h", resumed));
    assertThat(BegunStreamHarness.body(response)).isEqualTo(BegunStreamHarness.events(4, 6));
  }
}
