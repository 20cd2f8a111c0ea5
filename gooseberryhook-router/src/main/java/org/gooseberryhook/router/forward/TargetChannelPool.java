package org.gooseberryhook.router.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Pool of connections to targets. All methods must be called on the event loop. */
final class TargetChannelPool {

  /**
   * Idle time limit of a pooled connection whose target states none. Targets close idle connections
   * after some seconds.
   */
  static final long DEFAULT_IDLE_MS = 2_000;

  /**
   * Longest idle time of a pooled connection to a target that allows more. A node of a large fleet
   * sends to the same target every 8 to 20 s.
   */
  static final long MAX_IDLE_MS = 30_000;

  /**
   * Number of connections to a target that may be idle for longer than {@link #DEFAULT_IDLE_MS}.
   * More would fill the connections of a target that hundreds of nodes use, after each peak.
   */
  private static final int MAX_LONG_IDLE_PER_TARGET = 1;

  /** Maximum number of idle connections to a target; further ones are closed. */
  static final int MAX_IDLE_PER_TARGET = 32;

  /** Interval at which idle connections are looked at, while there are any. */
  private static final long SWEEP_INTERVAL_MS = 250;

  /** Time limit for connecting; targets are a few milliseconds away. */
  static final int CONNECT_TIMEOUT_MS = 400;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final HeaderCodec headerCodec;
  private final TargetAnswerListener answerListener;
  private final long maxIdleMs;
  private boolean isSweepScheduled;
  private final Map<String, Deque<TargetChannel>> idle = new HashMap<>();
  private final ChannelFactory<TargetSocketChannel> sockets;
  private final ListenerChecks listenerChecks;

  /**
   * Creates a pool without connections.
   *
   * @param loop the event loop
   * @param clock monotonic clock
   * @param headerCodec reads the headers of responses
   * @param answerListener receives what targets state about themselves
   * @param maxIdleMs time after which an idle connection is closed even if its target allows more,
   *     in milliseconds
   */
  TargetChannelPool(
      EventLoop loop,
      MonotonicClock clock,
      HeaderCodec headerCodec,
      TargetAnswerListener answerListener,
      long maxIdleMs) {
    this(loop, clock, headerCodec, answerListener, maxIdleMs, TargetSocketChannel::new);
  }

  /** Creates a pool that opens its sockets with a factory. */
  TargetChannelPool(
      EventLoop loop,
      MonotonicClock clock,
      HeaderCodec headerCodec,
      TargetAnswerListener answerListener,
      long maxIdleMs,
      ChannelFactory<TargetSocketChannel> sockets) {
    this.sockets = sockets;
    this.maxIdleMs = maxIdleMs;
    this.answerListener = answerListener;
    this.loop = loop;
    this.clock = clock;
    this.headerCodec = headerCodec;
    this.listenerChecks = new ListenerChecks(loop);
  }

  MonotonicClock clock() {
    return clock;
  }

  HeaderCodec headerCodec() {
    return headerCodec;
  }

  TargetAnswerListener answerListener() {
    return answerListener;
  }

  /** Returns the checks whether targets accept connections. */
  ListenerChecks listenerChecks() {
    return listenerChecks;
  }

  /**
   * Takes an idle connection from the pool or opens a new one. A connection on which the attempt
   * was sent before is left to other attempts.
   *
   * @param address IP address and port
   * @param attemptId attempt id of the request, null if responses carry none
   * @param maxIdleMs longest idle time of a pooled connection, in milliseconds; the target may
   *     close one that was idle for longer while the request is on its way
   * @param onReady receives the connection
   * @param onFailed receives the reason if connecting fails; nothing was sent then
   */
  void acquire(
      String address,
      String attemptId,
      long maxIdleMs,
      Consumer<TargetChannel> onReady,
      Consumer<String> onFailed) {
    Optional<TargetChannel> pooled = takeIdle(address, attemptId, maxIdleMs);
    if (pooled.isPresent()) {
      onReady.accept(pooled.get());
    } else {
      connect(address, onReady, onFailed);
    }
  }

  /**
   * Takes the connection that was idle for the shortest time, and closes unfit ones before it.
   * Those that were idle for too long only for this request are kept for others.
   */
  private Optional<TargetChannel> takeIdle(String address, String attemptId, long limitMs) {
    Deque<TargetChannel> pooled = idle.getOrDefault(address, new ArrayDeque<>());
    Iterator<TargetChannel> latestFirst = pooled.descendingIterator();
    while (latestFirst.hasNext()) {
      TargetChannel channel = latestFirst.next();
      if (!channel.isUsable() || isIdleTooLong(channel, maxIdleMs)) {
        latestFirst.remove();
        channel.abort();
      } else if (channel.canMatch(attemptId) && !isIdleTooLong(channel, limitMs)) {
        latestFirst.remove();
        return Optional.of(channel);
      }
    }
    return Optional.empty();
  }

  private boolean isIdleTooLong(TargetChannel channel, long limitMs) {
    return clock.nowMs() - channel.idleSinceMs() > Math.min(limitMs, channel.idleLimitMs());
  }

  /**
   * Opens a connection, whether or not one is idle.
   *
   * @param address IP address and port
   * @param onReady receives the connection
   * @param onFailed receives the reason if connecting fails
   */
  void connect(String address, Consumer<TargetChannel> onReady, Consumer<String> onFailed) {
    TargetResponseDecoder decoder = new TargetResponseDecoder();
    TargetChannel handler = new TargetChannel(this, address, decoder);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channelFactory(sockets)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(handler.byteLimitHandler())
                        .addLast(decoder)
                        .addLast(new HttpRequestEncoder())
                        .addLast(handler);
                  }
                });
    ChannelFuture connecting = bootstrap.connect(socketAddress(address));
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            onReady.accept(handler);
          } else {
            // Without a socket, Netty calls this on another thread.
            runOnLoop(() -> onFailed.accept("connect failed: " + done.cause().getMessage()));
          }
        });
  }

  private void runOnLoop(Runnable step) {
    if (loop.inEventLoop()) {
      step.run();
    } else {
      loop.execute(step);
    }
  }

  /** Parses an IP address and port, {@code address:port}. */
  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Returns a connection to the pool after a complete response. */
  void release(TargetChannel channel) {
    Deque<TargetChannel> pooled = idle.computeIfAbsent(channel.address(), a -> new ArrayDeque<>());
    if (pooled.size() >= MAX_IDLE_PER_TARGET) {
      channel.abort();
    } else {
      pooled.addLast(channel);
      scheduleSweep();
    }
  }

  /** Removes a closed connection from the pool. */
  void remove(TargetChannel channel) {
    Deque<TargetChannel> pooled = idle.get(channel.address());
    if (pooled != null) {
      pooled.remove(channel);
      if (pooled.isEmpty()) {
        idle.remove(channel.address());
      }
    }
  }

  private void scheduleSweep() {
    if (!isSweepScheduled) {
      isSweepScheduled = true;
      loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void sweep() {
    isSweepScheduled = false;
    closeIdle();
    if (!idle.isEmpty()) {
      scheduleSweep();
    }
  }

  /**
   * Closes the connections that were idle for longer than their limit, and all but the last used
   * ones of those that were idle for long.
   */
  private void closeIdle() {
    for (Deque<TargetChannel> pooled : idle.values()) {
      Iterator<TargetChannel> channels = pooled.iterator();
      while (channels.hasNext()) {
        TargetChannel channel = channels.next();
        boolean isSpare = pooled.size() > MAX_LONG_IDLE_PER_TARGET;
        if (isIdleTooLong(channel, isSpare ? Math.min(maxIdleMs, DEFAULT_IDLE_MS) : maxIdleMs)) {
          channels.remove();
          channel.abort();
        }
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }
}
