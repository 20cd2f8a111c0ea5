package org.gooseberryhook.router.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Notices when a caller takes no more of what was written to its connection. */
final class WriteProgress {

  /** Longest time in which nothing is sent although bytes wait. */
  static final long MAX_STALL_MS = 10_000;

  private long pendingBytes;

  /** Bytes of the buffer that is sent now which are sent already. */
  private long sentBytes;

  /** Time of the last call at which bytes had been sent since the one before. */
  private long progressMs;

  /**
   * Returns whether bytes wait to be sent. Must be called at intervals, and compares with the last
   * call.
   *
   * @param nowMs monotonic time in milliseconds
   */
  boolean isPending(Channel channel, long nowMs) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long newPendingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    long newSentBytes = buffer == null ? 0 : buffer.currentProgress();
    if (newPendingBytes != pendingBytes || newSentBytes != sentBytes) {
      pendingBytes = newPendingBytes;
      sentBytes = newSentBytes;
      progressMs = nowMs;
    }
    return pendingBytes > 0;
  }

  /** Must be called when a response was sent as a whole; the next one may be as long as it was. */
  void onAllSent() {
    pendingBytes = 0;
    sentBytes = 0;
  }

  /**
   * Returns whether nothing was sent for longer than {@link #MAX_STALL_MS}, if bytes wait.
   *
   * @param nowMs monotonic time in milliseconds
   */
  boolean isStalled(long nowMs) {
    return nowMs - progressMs > MAX_STALL_MS;
  }
}
