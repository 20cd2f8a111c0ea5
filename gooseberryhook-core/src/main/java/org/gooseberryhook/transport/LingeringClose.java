package org.gooseberryhook.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after its last response. Closing a socket with unread input resets the
 * connection, and the client may then lose the response. So the output is shut down first, and
 * input is still read for a second; the caller must discard it.
 *
 * @since 0.2
 */
public final class LingeringClose {

  /** Lets a client on a slow link read the response; a longer time would only occupy the socket. */
  private static final long LINGER_MS = 1_000;

  /** Longest time for the last response to be sent, as long as an idle connection is kept. */
  private static final long MAX_WRITE_MS = 60_000;

  private LingeringClose() {}

  /**
   * Closes a connection after everything written so far was sent, or a minute later. Must be called
   * on its event loop.
   *
   * @param channel the connection
   */
  public static void close(Channel channel) {
    channel.config().setAutoRead(true);
    Future<?> timer =
        channel.eventLoop().schedule(() -> channel.close(), MAX_WRITE_MS, TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> timer.cancel(false));
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (!written.isSuccess() || !(channel instanceof DuplexChannel)) {
                channel.close();
                return;
              }
              ((DuplexChannel) channel).shutdownOutput();
              channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            });
  }
}
