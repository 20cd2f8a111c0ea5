package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests calls that do not fit what was sent of a response before. Guards against a second response
 * that is written into the first or taken for the next one, and against callers that wait in vain.
 */
class CallerResponseTest {

  private final EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseEncoder());
  private final List<String> misuses = new ArrayList<>();
  private final List<ByteBuf> buffers = new ArrayList<>();
  private int completions;
  private int writtenBodies;
  private final CallerResponse response =
      new CallerResponse(
          channel, HttpVersion.HTTP_1_1, () -> false, () -> 0, () -> completions++, misuses::add);

  private ByteBuf buffer(String text) {
    ByteBuf buffer = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    buffers.add(buffer);
    return buffer;
  }

  private void call(String name) {
    switch (name) {
      case "start" -> response.startStream(200, new DefaultHttpHeaders());
      case "chunk" -> response.sendChunk(buffer("chunk"));
      case "end" -> response.endStream(buffer("last"));
      case "whole" -> sendWhole(200);
      case "problem" -> response.sendProblem(ProblemResponse.timedOut("late"));
      default -> response.abort();
    }
  }

  private void sendWhole(int status) {
    response.sendWhole(status, new DefaultHttpHeaders(), buffer("whole"), () -> writtenBodies++);
  }

  private String received() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }

  @ParameterizedTest
  @CsvSource({
    "start, whole, sendWhole 200 after the start",
    "start, start, startStream 200 after the start",
    "'', chunk, sendChunk",
    "'', end, endStream"
  })
  void aCallThatDoesNotFitBreaksTheResponseOff(String first, String second, String misuse) {
    if (!first.isEmpty()) {
      call(first);
    }
    call(second);
    channel.runPendingTasks();
    assertThat(misuses).containsExactly(misuse);
    assertThat(channel.isOpen()).isFalse();
    assertThat(completions).isZero();
    assertThat(received()).doesNotContain("whole", "chunk\r\n", "last");
    assertThat(buffers).allMatch(buffer -> buffer.refCnt() == 0);
    assertThat(writtenBodies).isEqualTo(second.equals("whole") ? 1 : 0);
  }

  /** A complete answer stays valid, and the next request may be in progress behind it. */
  @ParameterizedTest
  @CsvSource({"start", "chunk", "end", "whole", "problem"})
  void aCallAfterTheEndWritesNothingAndLeavesTheAnswer(String late) {
    call("whole");
    final String answer = received();
    call(late);
    channel.runPendingTasks();
    assertThat(answer).startsWith("HTTP/1.1 200").endsWith("whole");
    assertThat(received()).isEmpty();
    assertThat(misuses).hasSize(1).first().asString().endsWith(" after the end");
    assertThat(channel.isOpen()).isTrue();
    assertThat(completions).isEqualTo(1);
    assertThat(buffers).allMatch(buffer -> buffer.refCnt() == 0);
    assertThat(writtenBodies).isEqualTo(late.equals("whole") ? 2 : 1);
  }

  @ParameterizedTest
  @CsvSource({"start", "chunk", "end", "whole", "problem"})
  void aCallAfterTheResponseWasBrokenOffDoesNothing(String late) {
    call("start");
    call("abort");
    received();
    call(late);
    assertThat(received()).isEmpty();
    assertThat(misuses).isEmpty();
    assertThat(buffers).allMatch(buffer -> buffer.refCnt() == 0);
  }

  @ParameterizedTest
  @CsvSource({"0", "99", "100", "103", "199", "600", "999", "1000"})
  void aStatusThatIsNoFinalOneIsNotWritten(int status) {
    sendWhole(status);
    assertThat(received()).isEmpty();
    assertThat(misuses).containsExactly("sendWhole " + status);
    assertThat(channel.isOpen()).isFalse();
    assertThat(writtenBodies).isEqualTo(1);
  }

  @Test
  void aProblemBreaksAStreamOffThatHasBegun() {
    call("start");
    call("chunk");
    call("problem");
    assertThat(received()).startsWith("HTTP/1.1 200").endsWith("chunk\r\n");
    assertThat(misuses).isEmpty();
    assertThat(channel.isOpen()).isFalse();
  }
}
