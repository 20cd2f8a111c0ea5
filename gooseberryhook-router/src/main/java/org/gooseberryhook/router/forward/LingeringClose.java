package org.gooseberryhook.router.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Closes a caller's connection without a loss of what was written to it. A socket that is closed
 * while received bytes are unread is reset, and the reset may overtake a response. So the output is
 * closed first, and what still comes is read and discarded until the caller closes, for a bounded
 * time and a bounded number of bytes.
 */
final class LingeringClose {

  /** Time for which the connection stays open after the last write. */
  private static final long LINGER_MS = 1_000;

  /** The same in all while the rest of an incomplete request keeps arriving. */
  private static final long MAX_LINGER_MS = 10_000;

  /** The same after the first bytes that do not belong to the last request. */
  private static final long NEXT_REQUEST_LINGER_MS = 100;

  private static final long MIN_DISCARDED_BYTES = 1_048_576;

  private final ForwardContext context;
  private final Channel channel;

  /** Whether bytes that come belong to the request that was responded to. */
  private final boolean isRequestIncomplete;

  /** Number of bytes that are discarded before the connection is closed. */
  private final long maxDiscardedBytes;

  private ScheduledFuture<?> timer;
  private long startedMs;
  private long lastBytesMs;
  private long discardedBytes;
  private boolean isShortened;

  /**
   * Creates the close of a connection.
   *
   * @param context shared state
   * @param channel the connection
   * @param isRequestIncomplete whether bytes that come belong to the request that was responded to
   * @param maxBodyBytes limit on the body of a request, which an allowed request may still send
   */
  LingeringClose(
      ForwardContext context, Channel channel, boolean isRequestIncomplete, long maxBodyBytes) {
    this.context = context;
    this.channel = channel;
    this.isRequestIncomplete = isRequestIncomplete;
    // Chunks of a few bytes have about as much framing as content.
    this.maxDiscardedBytes = Math.max(MIN_DISCARDED_BYTES, 2 * maxBodyBytes);
  }

  /**
   * Closes the connection once all that was written has been sent. {@link WriteProgress} bounds the
   * time until then.
   */
  void start() {
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess() && channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
                channel.config().setAutoRead(true);
                startedMs = context.clock().nowMs();
                lastBytesMs = startedMs;
                timer = context.schedule(this::onTimeOver, LINGER_MS);
                shortenIfNextRequest();
              } else {
                channel.close();
              }
            });
  }

  /** Closes the connection unless its caller still sends the request that was responded to. */
  private void onTimeOver() {
    long nowMs = context.clock().nowMs();
    long endMs = Math.min(lastBytesMs + LINGER_MS, startedMs + MAX_LINGER_MS);
    if (isRequestIncomplete && nowMs < endMs) {
      timer = context.schedule(this::onTimeOver, endMs - nowMs);
    } else {
      channel.close();
    }
  }

  /** Must be called when bytes arrive; they are discarded. */
  void onBytes(int bytes) {
    lastBytesMs = context.clock().nowMs();
    discardedBytes += bytes;
    if (discardedBytes > maxDiscardedBytes) {
      channel.close();
    } else {
      shortenIfNextRequest();
    }
  }

  /** A caller that has sent another request waits in vain and should learn that soon. */
  private void shortenIfNextRequest() {
    if (timer != null && discardedBytes > 0 && !isRequestIncomplete && !isShortened) {
      isShortened = true;
      timer.cancel(false);
      timer = context.schedule(channel::close, NEXT_REQUEST_LINGER_MS);
    }
  }
}
