package org.gooseberryhook.router.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Connections to targets, kept for further requests. */
final class TargetChannelPool {

  /** Idle time of a kept connection whose target states none; targets close after some seconds. */
  static final long DEFAULT_IDLE_MS = 2_000;

  /** Idle connections kept for a target; further ones are closed. */
  static final int MAX_IDLE_PER_TARGET = 32;

  /** Time to connect; targets are a few milliseconds away. */
  static final int CONNECT_TIMEOUT_MS = 400;

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final HeaderCodec headerCodec;
  private final Map<String, Deque<TargetChannel>> idle = new HashMap<>();

  TargetChannelPool(EventLoop loop, MonotonicClock clock, HeaderCodec dialect) {
    this.loop = loop;
    this.clock = clock;
    this.headerCodec = dialect;
  }

  MonotonicClock clock() {
    return clock;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  /**
   * Takes a kept connection or opens one.
   *
   * @param address IP address and port
   * @param maxIdleMs longest idle time of a kept connection; one that was idle for long may be
   *     closed by the target while the request is on its way
   * @param onReady receives the connection
   * @param onFailed receives the reason when there is none; nothing was sent
   */
  void acquire(
      String address, long maxIdleMs, Consumer<TargetChannel> onReady, Consumer<String> onFailed) {
    Deque<TargetChannel> kept = idle.get(address);
    while (kept != null && !kept.isEmpty()) {
      TargetChannel channel = kept.pollLast();
      long idleMs = clock.nowMs() - channel.idleSinceMs();
      if (channel.isActive() && idleMs <= Math.min(maxIdleMs, channel.idleLimitMs())) {
        onReady.accept(channel);
        return;
      }
      channel.abort();
    }
    connect(address, onReady, onFailed);
  }

  /**
   * Tries to connect, without keeping the connection.
   *
   * @param address IP address and port
   * @param onFailed receives the reason if the target cannot be reached
   */
  void checkReachable(String address, Consumer<String> onFailed) {
    connect(address, TargetChannel::abort, onFailed);
  }

  private void connect(String address, Consumer<TargetChannel> onReady, Consumer<String> onFailed) {
    TargetChannel handler = new TargetChannel(this, address);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(handler);
                  }
                });
    ChannelFuture connecting = bootstrap.connect(socketAddress(address));
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            onReady.accept(handler);
          } else {
            onFailed.accept("connect failed: " + done.cause().getMessage());
          }
        });
  }

  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  void release(TargetChannel channel) {
    Deque<TargetChannel> kept = idle.computeIfAbsent(channel.address(), a -> new ArrayDeque<>());
    if (kept.size() >= MAX_IDLE_PER_TARGET) {
      channel.abort();
    } else {
      kept.addLast(channel);
    }
  }

  void remove(TargetChannel channel) {
    Deque<TargetChannel> kept = idle.get(channel.address());
    if (kept != null) {
      kept.remove(channel);
      if (kept.isEmpty()) {
        idle.remove(channel.address());
      }
    }
  }

  /** Closes the connections that were idle for too long. */
  void closeIdle() {
    long nowMs = clock.nowMs();
    for (Deque<TargetChannel> kept : List.copyOf(idle.values())) {
      while (!kept.isEmpty()
          && nowMs - kept.peekFirst().idleSinceMs() > kept.peekFirst().idleLimitMs()) {
        kept.pollFirst().abort();
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }
}
