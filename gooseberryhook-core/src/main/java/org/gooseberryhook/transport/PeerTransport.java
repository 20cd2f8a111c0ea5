package org.gooseberryhook.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.gooseberryhook.protocol.PeerCodec;
import org.gooseberryhook.protocol.PeerLink;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.state.NodeId;
import org.jboss.logging.Logger;

/**
 * Exchanges messages between entry nodes over TCP, in frames of a 4-byte length and one encoded
 * message. Each node sends over connections that it opened and receives over those that others
 * opened. A malformed frame closes its connection and is counted by kind.
 *
 * @since 0.1
 */
public final class PeerTransport implements PeerLink {

  private static final Logger LOG = Logger.getLogger(PeerTransport.class);

  /**
   * Maximum number of peers with a sending side; messages to further peers are dropped and counted.
   */
  static final int MAX_PEERS = 2_000;

  /** Maximum number of inbound connections; further ones are closed and counted. */
  static final int MAX_INBOUND = 2_000;

  /** Time in seconds after which the sender closes an idle connection. */
  static final int IDLE_TIMEOUT_SECONDS = 60;

  static final int LENGTH_BYTES = 4;
  private static final int IO_THREADS = 2;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final NodeId self;
  private final InetSocketAddress bindAddress;
  private static final int CHECK_TIMEOUT_MS = 500;

  private final Receiver receiver;
  private final PeerCodec codec = new PeerCodec();
  private final TransportCounters counters = new TransportCounters();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicInteger inboundCount = new AtomicInteger();
  private final Map<String, PeerConnection> peers = new ConcurrentHashMap<>();
  private volatile Consumer<String> disconnectListener = address -> {};
  private volatile EventLoopGroup group;
  private volatile Channel serverChannel;

  /**
   * Creates a transport that is not started.
   *
   * @param self this node; its address is what peers connect to
   * @param bindAddress address to listen on
   * @param receiver called for each message on a network thread
   */
  public PeerTransport(NodeId self, InetSocketAddress bindAddress, Receiver receiver) {
    this.self = self;
    this.bindAddress = bindAddress;
    this.receiver = receiver;
  }

  /**
   * Binds the listening address and starts to receive.
   *
   * @throws IllegalStateException if the transport was started before or the address cannot be
   *     bound
   */
  public synchronized void start() {
    if (group != null) {
      throw new IllegalStateException("peer transport was started before; create a new one");
    }
    group =
        new MultiThreadIoEventLoopGroup(
            IO_THREADS, new DefaultThreadFactory("peer-io", true), NioIoHandler.newFactory());
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new InboundInitializer());
    ChannelFuture bound = bootstrap.bind(bindAddress).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      stop();
      throw new IllegalStateException(
          "cannot listen for peers on " + bindAddress + "; check the peer address in the settings",
          bound.cause());
    }
    serverChannel = bound.channel();
  }

  /** Closes all connections. Queued messages are dropped. */
  public synchronized void stop() {
    if (group == null) {
      return;
    }
    if (serverChannel != null) {
      serverChannel.close();
    }
    peers.values().forEach(PeerConnection::close);
    peers.clear();
    group
        .shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MS);
  }

  /**
   * Returns the address that is listened on.
   *
   * @return the address, with the real port if port 0 was requested; null before the start
   */
  public InetSocketAddress getBoundAddress() {
    return serverChannel == null ? null : (InetSocketAddress) serverChannel.localAddress();
  }

  /**
   * Returns the counts since the start.
   *
   * @return the counts, never null
   */
  public TransportCounters.Counts getCounts() {
    return counters.getCounts();
  }

  @Override
  public void send(String address, PeerMessage message) {
    EventLoopGroup running = group;
    PeerConnection peer = running == null ? null : peers.get(address);
    if (peer == null && running != null && canAddPeer()) {
      peer =
          peers.computeIfAbsent(
              address,
              key -> new PeerConnection(key, running.next(), counters, this::onDisconnected));
    }
    if (peer == null || running.isShuttingDown()) {
      counters.addDropped(1);
      return;
    }
    byte[] frame;
    try {
      frame = codec.encode(self, sequence.incrementAndGet(), message);
    } catch (IllegalArgumentException e) {
      counters.addDropped(1);
      LOG.errorf(e, "message to %s dropped because it cannot be encoded", address);
      return;
    }
    peer.send(frame);
  }

  @Override
  public void checkEnded(String address, Runnable onRefused) {
    EventLoopGroup running = group;
    InetSocketAddress remote = PeerConnection.parseAddress(address);
    if (running == null || running.isShuttingDown() || remote == null) {
      return;
    }
    new Bootstrap()
        .group(running)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CHECK_TIMEOUT_MS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(remote)
        .addListener(
            done -> {
              ChannelFuture connected = (ChannelFuture) done;
              if (connected.isSuccess()) {
                connected.channel().close();
              } else if (isRefused(connected.cause())) {
                onRefused.run();
              }
            });
  }

  @Override
  public void setDisconnectListener(Consumer<String> listener) {
    disconnectListener = listener;
  }

  private void onDisconnected(String address) {
    disconnectListener.accept(address);
  }

  /**
   * Returns whether the peer refused the connection. Netty wraps a refusal in a private class whose
   * cause or superclass is the plain exception.
   */
  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException
        && !(cause instanceof ConnectTimeoutException)
        && String.valueOf(cause.getMessage()).contains("refused");
  }

  /**
   * Removes a peer and closes the connection to it. Must be called when a member is declared dead
   * or replaced: TCP may take minutes to detect a broken connection, and a new one is opened on
   * demand.
   *
   * @param address peer address; an unknown address is ignored
   */
  @Override
  public void disconnect(String address) {
    PeerConnection peer = peers.remove(address);
    if (peer != null) {
      peer.close();
    }
  }

  private boolean canAddPeer() {
    if (peers.size() >= MAX_PEERS) {
      peers.values().removeIf(PeerConnection::isUnused);
    }
    return peers.size() < MAX_PEERS;
  }

  private void onFrame(ChannelHandlerContext context, byte[] frame) {
    counters.addIn(frame.length + LENGTH_BYTES);
    PeerCodec.Decoded decoded = codec.decode(frame);
    if (decoded instanceof PeerCodec.Decoded.Malformed malformed) {
      onMalformed(context, malformed.kind(), malformed.detail());
    } else if (decoded instanceof PeerCodec.Decoded.Received received) {
      try {
        receiver.onMessage(received.sender(), received.message());
      } catch (RuntimeException e) {
        counters.addReceiverError();
        LOG.errorf(e, "receiver failed on a message from %s", received.sender());
      }
    }
  }

  private void onMalformed(
      ChannelHandlerContext context, PeerCodec.FrameError kind, String detail) {
    counters.addMalformed(kind);
    LOG.warnf(
        "malformed frame from %s (%s: %s); connection closed",
        context.channel().remoteAddress(), kind, detail);
    context.close();
  }

  private final class InboundInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel.closeFuture().addListener(closed -> inboundCount.decrementAndGet());
      if (inboundCount.incrementAndGet() > MAX_INBOUND) {
        counters.addRefusedConnection();
        channel.close();
        return;
      }
      channel
          .pipeline()
          .addLast(new IdleStateHandler(IDLE_TIMEOUT_SECONDS + IDLE_TIMEOUT_SECONDS / 2, 0, 0))
          .addLast(
              new LengthFieldBasedFrameDecoder(
                  PeerCodec.MAX_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
          .addLast(new InboundHandler());
    }
  }

  private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      // Frames behind a malformed one in the same read are not trusted.
      if (context.channel().isActive()) {
        onFrame(context, ByteBufUtil.getBytes(frame));
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof DecoderException) {
        onMalformed(context, PeerCodec.FrameError.LENGTH, String.valueOf(cause.getMessage()));
      } else {
        counters.addConnectionError();
        context.close();
      }
    }
  }
}
