package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Reads a caller's connection in pieces of a size that suits the request. Otherwise one read takes
 * in what a caller has sent behind a request, and that is lost if the answer to the request is
 * broken off: nothing can follow a broken answer. What was not read may be sent again.
 */
final class RequestReads extends ChannelDuplexHandler {

  /** Size of a read where a request may end; a whole HTTP/1.1 request with a host is longer. */
  static final int MAX_BYTES_BEHIND = 24;

  /** Size of a read where a request does not end. */
  static final int MAX_BYTES = 16_384;

  /** Time in which the caller receives the end of the output before the connection is closed. */
  private static final long LINGER_MS = 1_000;

  /** Reads in a row before other connections get their turn. */
  private static final int MAX_READS = 64;

  private final IntSupplier nextReadBytes;
  private final BooleanSupplier hasBytesBehind;
  private boolean isEndingOutput;

  /** Whether the connection is being read, so that a further read would overtake this one. */
  private boolean isReading;

  /**
   * Creates the reads of a connection.
   *
   * @param nextReadBytes returns the size of the next read in bytes, above 0
   * @param hasBytesBehind returns whether a request is served and more has arrived behind it
   */
  RequestReads(IntSupplier nextReadBytes, BooleanSupplier hasBytesBehind) {
    this.nextReadBytes = nextReadBytes;
    this.hasBytesBehind = hasBytesBehind;
  }

  /**
   * Returns the size of the next read.
   *
   * @param head head of the request that is arriving, null before it is complete
   * @param body what has arrived of its body, null if nothing has
   * @return the size in bytes
   */
  static int sizeOfNext(HttpRequest head, ByteBuf body) {
    long bodyBytes = head == null ? 0 : HttpUtil.getContentLength(head, 0L);
    long missingBytes = bodyBytes - (body == null ? 0 : body.readableBytes());
    return (int) Math.min(MAX_BYTES, Math.max(MAX_BYTES_BEHIND, missingBytes));
  }

  /** Returns what allocates the buffer of each read. */
  RecvByteBufAllocator allocator() {
    return new DefaultMaxMessagesRecvByteBufAllocator(MAX_READS) {
      @Override
      public Handle newHandle() {
        return new MaxMessageHandle() {
          @Override
          public int guess() {
            return nextReadBytes.getAsInt();
          }
        };
      }
    };
  }

  /**
   * Reads what the socket of a connection has received and returns whether the connection has
   * ended. An event loop that is behind has steps to run before it reads its sockets again, so that
   * it would learn too late that a caller has left. Does not read in a pause or within another
   * read.
   *
   * @param channel the caller's connection
   * @return whether it is closed; its handlers are told later
   */
  static boolean hasEnded(Channel channel) {
    RequestReads reads = channel.pipeline().get(RequestReads.class);
    if (reads != null
        && !reads.isReading
        && channel.isActive()
        && channel.config().isAutoRead()
        && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
      socket.read();
    }
    return !channel.isActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    isReading = true;
    ctx.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    isReading = false;
    ctx.fireChannelReadComplete();
  }

  /** Keeps decoders, which ask for more bytes of an incomplete message, from reading in a pause. */
  @Override
  public void read(ChannelHandlerContext ctx) {
    if (ctx.channel().config().isAutoRead()) {
      ctx.read();
    }
  }

  /**
   * Ends the output first if a request behind was not read, and closes the connection a little
   * later: to close a socket with unread bytes resets the connection, and the reset overtakes what
   * the caller has not received yet of the answers before. If the end of the connection is the end
   * of an answer, only a reset shows that it is not complete.
   */
  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    boolean hasUnreadRequest = ctx.channel().isActive() && hasBytesBehind.getAsBoolean();
    if (isEndingOutput || !hasUnreadRequest || isResetOnClose(ctx)) {
      ctx.close(promise);
      return;
    }
    isEndingOutput = true;
    ctx.channel().config().setAutoRead(false);
    ctx.executor().schedule(() -> ctx.close(promise), LINGER_MS, TimeUnit.MILLISECONDS);
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess() && ctx.channel() instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
              }
            });
  }

  private static boolean isResetOnClose(ChannelHandlerContext ctx) {
    return Integer.valueOf(0).equals(ctx.channel().config().getOption(ChannelOption.SO_LINGER));
  }
}
