package org.gooseberryhook.router.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.configuration.RoutingConfiguration;

/** Accepts callers' connections. All methods must be called on the event loop. */
final class CallerServer {

  /** Interval at which connections that timed out are closed. */
  private static final long SWEEP_INTERVAL_MS = 250;

  /** Connections that may wait in the listen backlog. */
  private static final int ACCEPT_BACKLOG = 1_024;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final String address;
  private final int maxConnections;
  private final CallerLimits limits;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private ScheduledFuture<?> sweepTimer;
  private boolean isStopping;

  CallerServer(
      ForwardContext context, RequestDispatcher dispatcher, String address, int maxConnections) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.address = address;
    this.maxConnections = maxConnections;
    this.limits =
        new CallerLimits(() -> context.configuration().get().map(RoutingConfiguration::limits));
  }

  /**
   * Starts listening.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  void start() throws InterruptedException {
    EventLoop loop = context.loop();
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    initConnection(channel);
                  }
                })
            .bind(TargetChannelPool.socketAddress(address))
            .sync()
            .channel();
    sweepTimer =
        loop.scheduleWithFixedDelay(
            newDuties(), SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void initConnection(SocketChannel channel) {
    if (connections.size() >= maxConnections) {
      context.log().recordEvent("connection-limit", "", "connections", connections.size());
      channel.close();
      return;
    }
    CallerConnection connection =
        new CallerConnection(context, dispatcher, limits, connections::remove);
    if (isStopping) {
      connection.closeAfterRequest();
    }
    connections.add(connection);
    channel
        .pipeline()
        .addLast(connection.receiveTimeHandler())
        .addLast(new CallerRequestDecoder(limits.current(context.clock().nowMs()).maxHeaderBytes()))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  private PeriodicDuties newDuties() {
    return new PeriodicDuties(context.log())
        .add("caller-timeouts", this::closeTimedOut)
        .add("idle-targets", context.channelPool()::closeIdle);
  }

  private void closeTimedOut() {
    long nowMs = context.clock().nowMs();
    limits.current(nowMs);
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.closeIfTimedOut(nowMs);
    }
  }

  int connectionCount() {
    return connections.size();
  }

  int requestCount() {
    int count = 0;
    for (CallerConnection connection : connections) {
      count += connection.isServing() ? 1 : 0;
    }
    return count;
  }

  /** Closes each connection after its current request; idle connections at once. */
  void stopConnections() {
    isStopping = true;
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.closeAfterRequest();
    }
  }

  /** Stops accepting connections; open ones stay. */
  void stopListening() {
    listener.close();
  }

  /** Aborts all requests in flight and closes all connections. */
  void abortAll() {
    sweepTimer.cancel(false);
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.abort();
    }
  }
}
