package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Body of a target's error response to a stream, which is passed on only as a whole. */
final class ErrorBody {

  /** Maximum size in bytes. */
  static final int MAX_BYTES = 1_048_576;

  private final ByteBuf bytes = Unpooled.buffer(0);

  /**
   * Adds bytes.
   *
   * @return false if the body is longer than {@link #MAX_BYTES}
   */
  boolean accept(ByteBuf content) {
    boolean isWithinLimit = bytes.readableBytes() + content.readableBytes() <= MAX_BYTES;
    if (isWithinLimit) {
      bytes.writeBytes(content);
    }
    return isWithinLimit;
  }

  /** Returns the memory that the body takes, in bytes. */
  int capacityBytes() {
    return bytes.capacity();
  }

  ByteBuf bytes() {
    return bytes;
  }
}
