package org.gooseberryhook.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after a last answer. A socket that is closed with unread input is reset, and
 * the client may then lose the answer; so the output ends first, and input is read for a while. The
 * caller has to discard what is read.
 *
 * @since 0.2
 */
public final class LingeringClose {

  /** Time in which a client on a slow link reads the answer; longer only ties up the socket. */
  private static final long LINGER_MS = 1_000;

  private LingeringClose() {}

  /**
   * Closes a connection after what was written before; to be called on its event loop.
   *
   * @param channel the connection
   */
  public static void close(Channel channel) {
    channel.config().setAutoRead(true);
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
