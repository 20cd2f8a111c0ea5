package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * Splits a stream of server-sent events into whole events. A target may fail in the middle of an
 * event. Only whole events are relayed, so that the stream can continue at another pipeline.
 * Comments and blank lines between events are relayed with the next event.
 */
final class EventFramer {

  /** Maximum size of an event in bytes; the targets' events have a few hundred bytes. */
  static final int MAX_EVENT_BYTES = 1_048_576;

  /** Capacity that the buffer keeps between events. */
  private static final int KEPT_BYTES = 4_096;

  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();

  /** Offset of the current line in {@link #pending}. */
  private int lineOffset;

  /** Number of bytes of {@link #pending} in which there is no further end of a line. */
  private int scannedBytes;

  /** Whether a line of the current event is a field, not a comment. */
  private boolean hasField;

  private boolean isLastLineBlank;

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
    while (scanToEndOfEvent()) {
      ByteBuf event = pending.readBytes(lineOffset);
      lineOffset = 0;
      scannedBytes = 0;
      hasField = false;
      onEvent.accept(event, readId(event));
    }
    pending.discardSomeReadBytes();
    shrinkBuffer();
    return pending.readableBytes() <= MAX_EVENT_BYTES;
  }

  /** Frees the memory of a large event or read that was passed on. */
  private void shrinkBuffer() {
    int bytes = Math.max(KEPT_BYTES, pending.readableBytes());
    if (pending.capacity() > 4 * bytes) {
      pending.discardReadBytes();
      pending.capacity(bytes);
    }
  }

  /** Returns the memory that the unfinished event takes, in bytes. */
  int capacityBytes() {
    return pending.capacity();
  }

  /** Returns whether the bytes so far end within an event or a comment. */
  boolean hasPartialEvent() {
    boolean isBetweenEvents = !hasField && isLastLineBlank && lineOffset == pending.readableBytes();
    return pending.isReadable() && !isBetweenEvents;
  }

  /** Returns the comments and blank lines after the last event; the caller must release them. */
  ByteBuf takeRemaining() {
    return pending.readBytes(pending.readableBytes());
  }

  /** Moves {@link #lineOffset} behind the blank line that ends the first event, if there is one. */
  private boolean scanToEndOfEvent() {
    while (true) {
      int start = pending.readerIndex();
      int newline = pending.indexOf(start + scannedBytes, pending.writerIndex(), (byte) '\n');
      if (newline < 0) {
        scannedBytes = pending.readableBytes();
        return false;
      }
      int line = start + lineOffset;
      int length = newline - line;
      isLastLineBlank = length == 0 || (length == 1 && pending.getByte(line) == '\r');
      hasField |= !isLastLineBlank && pending.getByte(line) != ':';
      lineOffset = newline + 1 - start;
      scannedBytes = lineOffset;
      if (isLastLineBlank && hasField) {
        return true;
      }
    }
  }

  /** Returns the last id of an event, which is the one that its reader takes. */
  private static String readId(ByteBuf event) {
    String text = '\n' + event.toString(StandardCharsets.UTF_8);
    int start = text.lastIndexOf('\n' + ID_FIELD);
    if (start < 0) {
      return "";
    }
    int end = text.indexOf('\n', start + 1);
    return text.substring(start + 1 + ID_FIELD.length(), end < 0 ? text.length() : end).trim();
  }
}
