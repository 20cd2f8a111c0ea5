package org.gooseberryhook.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Sending side of the link to one peer. The connection is opened when there is something to send.
 * All fields except the queue are written only on the peer's event loop. Messages that wait when
 * the connection fails are dropped, because the protocol tolerates the loss of any message and a
 * late one is of little use.
 */
final class PeerConnection {

  /** Maximum number of messages that wait for one peer; further ones are dropped and counted. */
  static final int MAX_QUEUED = 1_024;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final String address;
  private final EventLoop eventLoop;
  private final TransportCounters counters;
  private final Consumer<String> onDisconnect;
  private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicBoolean isDrainScheduled = new AtomicBoolean();
  private volatile Channel channel;
  private volatile boolean isConnecting;
  private boolean isClosed;
  private long backoffNanos = MIN_BACKOFF_NANOS;
  private long nextConnectNanos = System.nanoTime();

  PeerConnection(
      String address,
      EventLoop eventLoop,
      TransportCounters counters,
      Consumer<String> onDisconnect) {
    this.address = address;
    this.eventLoop = eventLoop;
    this.counters = counters;
    this.onDisconnect = onDisconnect;
  }

  void send(byte[] frame) {
    if (!queue.offer(frame)) {
      counters.addDropped(1);
      return;
    }
    if (isDrainScheduled.compareAndSet(false, true)) {
      execute(this::drain);
    }
  }

  void close() {
    execute(
        () -> {
          isClosed = true;
          dropQueue();
          if (channel != null) {
            channel.close();
          }
        });
  }

  /** Returns whether nothing is open or waiting, so that the peer may be removed. */
  boolean isUnused() {
    return channel == null && !isConnecting && queue.isEmpty();
  }

  private void execute(Runnable step) {
    try {
      eventLoop.execute(step);
    } catch (RejectedExecutionException e) {
      dropQueue();
    }
  }

  private void drain() {
    isDrainScheduled.set(false);
    if (isClosed) {
      dropQueue();
      return;
    }
    if (channel == null) {
      if (!isConnecting) {
        connect();
      }
      return;
    }
    boolean hasWritten = false;
    while (channel.isWritable()) {
      byte[] frame = queue.poll();
      if (frame == null) {
        break;
      }
      write(frame);
      hasWritten = true;
    }
    if (hasWritten) {
      channel.flush();
    }
  }

  private void write(byte[] frame) {
    int bytes = frame.length + PeerTransport.LENGTH_BYTES;
    ByteBuf buffer = channel.alloc().buffer(bytes);
    buffer.writeInt(frame.length).writeBytes(frame);
    counters.addOut(bytes);
    channel.write(buffer, channel.voidPromise());
  }

  private void connect() {
    if (System.nanoTime() - nextConnectNanos < 0) {
      dropQueue();
      return;
    }
    InetSocketAddress remote = parseAddress(address);
    if (remote == null) {
      counters.addConnectionError();
      dropQueue();
      return;
    }
    isConnecting = true;
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new OutboundInitializer());
    bootstrap.connect(remote).addListener(done -> onConnected((ChannelFuture) done));
  }

  private void onConnected(ChannelFuture connected) {
    isConnecting = false;
    if (!connected.isSuccess()) {
      counters.addConnectionError();
      // The jitter keeps many nodes from connecting to a restarted peer at the same time.
      long jitterNanos = ThreadLocalRandom.current().nextLong(backoffNanos / 2 + 1);
      nextConnectNanos = System.nanoTime() + backoffNanos + jitterNanos;
      backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
      dropQueue();
      return;
    }
    backoffNanos = MIN_BACKOFF_NANOS;
    channel = connected.channel();
    if (isClosed) {
      channel.close();
      return;
    }
    channel.closeFuture().addListener(closed -> onDisconnected());
    drain();
  }

  private void onDisconnected() {
    onDisconnect.accept(address);
    channel = null;
    nextConnectNanos = System.nanoTime() + MIN_BACKOFF_NANOS;
    dropQueue();
  }

  private void dropQueue() {
    List<byte[]> waiting = new ArrayList<>();
    counters.addDropped(queue.drainTo(waiting));
  }

  /**
   * Parses {@code ip:port}; returns null if it is not valid. Host names are not accepted, so that
   * no name is looked up on the event loop.
   */
  static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    if (colon < 1) {
      return null;
    }
    byte[] ip = NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
    try {
      int port = Integer.parseInt(address.substring(colon + 1));
      return ip == null ? null : new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (IllegalArgumentException | UnknownHostException e) {
      return null;
    }
  }

  private final class OutboundInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel created) {
      created
          .pipeline()
          .addLast(new IdleStateHandler(0, 0, PeerTransport.IDLE_TIMEOUT_SECONDS))
          .addLast(new OutboundHandler());
    }
  }

  private final class OutboundHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      drain();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      counters.addConnectionError();
      context.close();
    }
  }
}
