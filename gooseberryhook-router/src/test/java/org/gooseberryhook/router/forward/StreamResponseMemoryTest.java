package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the buffered part of streamed responses counts against the memory budget. Many events
 * without end, each within the limit of one event, could exhaust the heap together.
 */
class StreamResponseMemoryTest {

  private static final int PIECE_BYTES = 16_384;

  private final BodyMemoryBudget budget = new BodyMemoryBudget(1_000_000);
  private final List<Reader> readers = new ArrayList<>();

  private static final class Reader extends StreamResponseReader {
    private boolean isBroken;
    private int events;

    Reader(BodyMemoryBudget budget) {
      super(id -> Optional.empty(), budget);
    }

    @Override
    void onEvent(ByteBuf event, String id) {
      event.release();
      events++;
    }

    @Override
    void onErrorHead() {}

    @Override
    void breakOff(String reason) {
      isBroken = true;
      releaseMemory();
    }

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(String reason) {}
  }

  private Reader reader(int status) {
    HttpHeaders headers = new DefaultHttpHeaders().set("attempt", "a").set("signed", "s");
    Reader reader = new Reader(budget);
    reader.onHead(status, headers, new TestHeaderCodec().readResponse(status, headers));
    readers.add(reader);
    return reader;
  }

  private static void send(Reader reader, String text) {
    reader.onContent(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  @ParameterizedTest(name = "status {0}")
  @ValueSource(ints = {200, 500})
  void responsesThatTogetherExceedTheShareOfStreamsAreBrokenOff(int status) {
    for (int i = 0; i < 100; i++) {
      Reader reader = reader(status);
      for (int piece = 0; piece < 4; piece++) {
        if (!reader.isBroken) {
          send(reader, "x".repeat(PIECE_BYTES));
        }
        assertThat(budget.reservedBytes()).isLessThanOrEqualTo(500_000);
      }
    }
    assertThat(readers).anyMatch(reader -> reader.isBroken).anyMatch(reader -> !reader.isBroken);
    readers.forEach(Reader::releaseMemory);
    assertThat(budget.reservedBytes()).isZero();
  }

  /** Guards against streams of sound targets that end because others have filled the memory. */
  @Test
  void aStreamOfSmallEventsNeedsNoMemoryOfTheBudget() {
    assertThat(budget.tryReserve(1_000_000)).isTrue();
    Reader reader = reader(200);
    for (int i = 0; i < 5_000; i++) {
      send(reader, "id: " + i + "\ndata: token\n\nid");
      send(reader, ": x\ndata: " + "y".repeat(500) + "\n\n");
    }
    assertThat(reader.isBroken).isFalse();
    assertThat(reader.events).isEqualTo(10_000);
  }

  @Test
  void anEventThatIsPassedOnGivesItsMemoryBack() {
    Reader reader = reader(200);
    send(reader, "data: " + "x".repeat(100_000));
    assertThat(budget.reservedBytes()).isGreaterThan(100_000);
    send(reader, "\n\n");
    assertThat(budget.reservedBytes()).isZero();
    assertThat(reader.events).isEqualTo(1);
  }

  /** Guards against memory that is reserved by the last bytes of a response that was given up. */
  @Test
  void nothingIsReservedAfterTheMemoryWasReleased() {
    Reader reader = reader(200);
    reader.releaseMemory();
    send(reader, "data: " + "x".repeat(100_000));
    assertThat(budget.reservedBytes()).isZero();
  }
}
