package org.gooseberryhook.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.nio.charset.StandardCharsets;

/** Writes responses that an HTTP server would not write, past the encoder of a connection. */
final class RawResponse {

  private static final int PIECE_BYTES = 16_384;
  private static final String HEADER_LINE = "x-padding: x\r\n";

  private RawResponse() {}

  /** Sends a response without a length and closes the connection. */
  static void sendWithoutLength(Channel channel, StandinResponse response) {
    String head =
        "HTTP/1.1 "
            + response.status()
            + " X\r\nContent-Type: "
            + response.contentType()
            + "\r\nConnection: close\r\n\r\n";
    write(channel, head.getBytes(StandardCharsets.ISO_8859_1));
    write(channel, response.body()).addListener(done -> channel.close());
  }

  /** Sends header lines until the connection is closed. */
  static void sendEndlessHead(Channel channel) {
    write(channel, "HTTP/1.1 200 X\r\n".getBytes(StandardCharsets.ISO_8859_1));
    repeat(channel, HEADER_LINE.repeat(PIECE_BYTES / HEADER_LINE.length()));
  }

  /** Sends a body without a length until the connection is closed. */
  static void sendEndlessBody(Channel channel) {
    write(channel, "HTTP/1.1 200 X\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    repeat(channel, "x".repeat(PIECE_BYTES));
  }

  private static void repeat(Channel channel, String piece) {
    write(channel, piece.getBytes(StandardCharsets.ISO_8859_1))
        .addListener(
            written -> {
              if (written.isSuccess()) {
                // Other connections of the event loop are served between two pieces.
                channel.eventLoop().execute(() -> repeat(channel, piece));
              }
            });
  }

  private static ChannelFuture write(Channel channel, byte[] bytes) {
    return channel.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }
}
