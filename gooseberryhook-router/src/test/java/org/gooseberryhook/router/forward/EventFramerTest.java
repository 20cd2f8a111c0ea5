package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Tests that only whole events are passed on. A torn event would corrupt the caller's stream when
 * it is resumed at another pipeline.
 */
class EventFramerTest {

  private final List<String> events = new ArrayList<>();
  private final List<String> ids = new ArrayList<>();

  private boolean feed(EventFramer framer, String text) {
    return framer.accept(
        Unpooled.copiedBuffer(text, StandardCharsets.UTF_8),
        (event, id) -> {
          events.add(event.toString(StandardCharsets.UTF_8));
          ids.add(id);
          event.release();
        });
  }

  @Property
  void eventsDoNotDependOnHowTheBytesAreSplit(@ForAll @IntRange(min = 1, max = 20) int size) {
    events.clear();
    ids.clear();
    String stream = "id: 1\ndata: a\n\nversion:3\nid:2\r\ndata: b\r\n\r\nid: 3\ndata";
    EventFramer framer = new EventFramer();
    for (int i = 0; i < stream.length(); i += size) {
      feed(framer, stream.substring(i, Math.min(stream.length(), i + size)));
    }
    assertThat(ids).containsExactly("1", "2");
    assertThat(String.join("", events) + "id: 3\ndata").isEqualTo(stream);
    assertThat(framer.hasPartialEvent()).isTrue();
  }

  @Test
  void anEventLongerThanTheLimitIsRejected() {
    EventFramer framer = new EventFramer();
    assertThat(feed(framer, "x".repeat(EventFramer.MAX_EVENT_BYTES + 1))).isFalse();
  }

  /** Guards against memory that a stream keeps for a large event until it ends. */
  @Test
  void theMemoryOfALargeEventIsFreedOnceItIsPassedOn() {
    EventFramer framer = new EventFramer();
    feed(framer, "data: " + "x".repeat(900_000));
    assertThat(framer.capacityBytes()).isGreaterThan(900_000);
    feed(framer, "\n\nid: 2\n");
    assertThat(framer.capacityBytes()).isLessThanOrEqualTo(BufferReservation.UNCOUNTED_BYTES);
    feed(framer, "data: b\n\n");
    assertThat(events).hasSize(2).endsWith("id: 2\ndata: b\n\n");
    assertThat(ids).containsExactly("", "2");
  }

  @Test
  void anEventWithoutIdFieldHasAnEmptyId() {
    feed(new EventFramer(), "data: id:7\n\n");
    assertThat(ids).containsExactly("");
  }

  /** Guards against comments that keep a stream alive of which no event arrives. */
  @Test
  void commentsAndBlankLinesAreNoEventsAndArePassedOnWithTheNextOne() {
    EventFramer framer = new EventFramer();
    feed(framer, ": a\n\n\r\n\n: b\n");
    assertThat(events).isEmpty();
    feed(framer, "\nid: 1\n: c\ndata: x\n\n");
    assertThat(events).containsExactly(": a\n\n\r\n\n: b\n\nid: 1\n: c\ndata: x\n\n");
    assertThat(ids).containsExactly("1");
    assertThat(framer.hasPartialEvent()).isFalse();
  }

  @Test
  void commentsWithoutEndReachTheLimit() {
    EventFramer framer = new EventFramer();
    String comments = ": c\n\n".repeat(1_000);
    int bytes = 0;
    while (feed(framer, comments)) {
      bytes += comments.length();
      assertThat(bytes).isLessThanOrEqualTo(EventFramer.MAX_EVENT_BYTES);
    }
  }

  @Test
  void aCommentAfterTheLastEventIsNoPartialEvent() {
    EventFramer framer = new EventFramer();
    feed(framer, "id: 1\n\n: end\n");
    assertThat(framer.hasPartialEvent()).isTrue();
    feed(framer, "\n");
    assertThat(framer.hasPartialEvent()).isFalse();
  }

  /** Guards against processor time that grows with the square of the length of an event. */
  @Test
  void anEventInSingleBytesIsScannedOnce() {
    EventFramer framer = new EventFramer();
    ByteBuf one = Unpooled.wrappedBuffer(new byte[] {'x'});
    assertTimeoutPreemptively(
        Duration.ofSeconds(5),
        () -> {
          for (int i = 0; i < EventFramer.MAX_EVENT_BYTES; i++) {
            framer.accept(one.readerIndex(0), (event, id) -> event.release());
          }
        });
  }
}
