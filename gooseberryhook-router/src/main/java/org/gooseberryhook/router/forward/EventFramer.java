package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events into whole events. A target may fail in the middle of an
 * event. Only whole events are relayed, so that the stream can continue at another pipeline.
 */
final class EventFramer {

  /** Maximum size of an event in bytes; the targets' events have a few hundred bytes. */
  static final int MAX_EVENT_BYTES = 1_048_576;

  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();

  /**
   * Adds bytes and passes on the events that are complete with them.
   *
   * @param bytes the next bytes of the stream
   * @param onEvent receives each whole event, whose buffer it must release, and the event's id,
   *     empty if it has none
   * @return false if the unfinished event is longer than {@link #MAX_EVENT_BYTES}
   */
  boolean accept(ByteBuf bytes, BiConsumer<ByteBuf, String> onEvent) {
    pending.writeBytes(bytes);
    int end;
    while ((end = endOfEvent()) >= 0) {
      ByteBuf event = pending.readBytes(end - pending.readerIndex());
      onEvent.accept(event, readId(event));
    }
    pending.discardSomeReadBytes();
    return pending.readableBytes() <= MAX_EVENT_BYTES;
  }

  /** Returns whether the bytes so far end within an event. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Returns the index after the blank line that ends the first event, or -1 if there is none. */
  private int endOfEvent() {
    int lineStart = pending.readerIndex();
    while (true) {
      int newline = pending.indexOf(lineStart, pending.writerIndex(), (byte) '\n');
      if (newline < 0) {
        return -1;
      }
      int length = newline - lineStart;
      boolean isBlank = length == 0 || (length == 1 && pending.getByte(lineStart) == '\r');
      if (isBlank) {
        return newline + 1;
      }
      lineStart = newline + 1;
    }
  }

  private static String readId(ByteBuf event) {
    String text = event.toString(StandardCharsets.UTF_8);
    int start = text.startsWith(ID_FIELD) ? 0 : text.indexOf('\n' + ID_FIELD) + 1;
    if (start == 0 && !text.startsWith(ID_FIELD)) {
      return "";
    }
    int end = text.indexOf('\n', start);
    return text.substring(start + ID_FIELD.length(), end < 0 ? text.length() : end).trim();
  }
}
