package org.gooseberryhook.router.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.relay.FollowerMessage;
import org.gooseberryhook.router.relay.RelayCodec;
import org.gooseberryhook.router.relay.RelayFrame;

/** Connection to the node whose lists this node follows. Used on the event loop only. */
final class RelayClient {

  private static final int CONNECT_TIMEOUT_MS = 300;

  private final EventLoop loop;
  private final Supplier<FollowerMessage> subscription;
  private final Consumer<RelayFrame> onFrame;
  private final Consumer<String> onSourceLost;
  private final DecisionLog log;
  private Optional<Link> link = Optional.empty();

  /**
   * Creates a client without a connection.
   *
   * @param loop the event loop
   * @param subscription supplies the message that asks for frames from the present positions
   * @param onFrame receives the frames of the present source
   * @param onSourceLost called with the name of the source when its connection fails
   * @param log log of the node
   */
  RelayClient(
      EventLoop loop,
      Supplier<FollowerMessage> subscription,
      Consumer<RelayFrame> onFrame,
      Consumer<String> onSourceLost,
      DecisionLog log) {
    this.loop = loop;
    this.subscription = subscription;
    this.onFrame = onFrame;
    this.onSourceLost = onSourceLost;
    this.log = log;
  }

  /** Returns the name of the node that is followed, if any. */
  Optional<String> source() {
    return link.map(present -> present.source);
  }

  /**
   * Follows a node instead of the present one. A node that reports an invalid address is lost at
   * once.
   */
  void follow(String source, String address) {
    disconnect();
    InetSocketAddress socketAddress;
    try {
      socketAddress = PeerReportSocket.toSocketAddress(address);
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      log.recordEvent("peer-address-invalid", "", "address", address, "error", e.getMessage());
      // Later, because the caller is about to note that it follows this node.
      loop.execute(() -> onSourceLost.accept(source));
      return;
    }
    Link opened = new Link(source, address);
    link = Optional.of(opened);
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    RelayServer.addFraming(channel, RelayServer.MAX_FRAME_BYTES);
                    channel.pipeline().addLast(opened);
                  }
                })
            .connect(socketAddress);
    opened.channel = connecting.channel();
    connecting.addListener(
        future -> {
          if (!future.isSuccess()) {
            opened.onClosed();
          }
        });
  }

  /**
   * Subscribes again, after the positions of this node's lists have changed by a full read. Uses a
   * new connection: frames that are on their way may lack the changes between the new positions and
   * those that the source knows.
   */
  void resubscribe() {
    link.ifPresent(present -> follow(present.source, present.address));
  }

  /** Sends a message to the source, unless there is none or its connection is full. */
  void send(FollowerMessage message) {
    link.ifPresent(present -> present.send(message));
  }

  void disconnect() {
    Optional<Link> closed = link;
    link = Optional.empty();
    closed.ifPresent(old -> old.channel.close());
  }

  private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
    private final String source;
    private final String address;
    private Channel channel;

    Link(String source, String address) {
      this.source = source;
      this.address = address;
    }

    private boolean isPresent() {
      return link.isPresent() && link.get() == this;
    }

    void send(FollowerMessage message) {
      if (channel.isActive() && channel.isWritable()) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(RelayCodec.encodeMessage(message)));
      }
    }

    void onClosed() {
      if (isPresent()) {
        link = Optional.empty();
        onSourceLost.accept(source);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      send(subscription.get());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) throws IOException {
      byte[] bytes = new byte[message.readableBytes()];
      message.readBytes(bytes);
      RelayFrame frame = RelayCodec.decodeFrame(bytes);
      if (isPresent()) {
        onFrame.accept(frame);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.recordEvent("relay-link", "", "error", String.valueOf(cause.getMessage()));
      ctx.close();
    }
  }
}
