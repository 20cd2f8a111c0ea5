package org.gooseberryhook.router.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhook.router.configuration.RoutingConfiguration;

/** Accepts callers' connections. All methods must be called on the event loop. */
final class CallerServer {

  /** Interval at which connections that timed out are closed. */
  private static final long SWEEP_INTERVAL_MS = 250;

  /** Connections that may wait in the listen backlog. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /** Connections above the limit that are accepted for a refusal; others are closed at once. */
  private static final int MAX_REFUSED_CONNECTIONS = 64;

  /** Time in which the event loop accepts connections that wait, if it is not busy. */
  private static final long ACCEPT_ROUND_MS = 20;

  /** Rounds for which the node listens on because new connections still come. */
  private static final int MAX_ACCEPT_ROUNDS = 10;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final String address;
  private final int maxConnections;
  private final CallerLimits limits;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private ScheduledFuture<?> sweepTimer;
  private long acceptedConnections;
  private boolean isStopping;
  private Runnable onAllClosed = () -> {};

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
    acceptedConnections++;
    boolean isOverLimit = connections.size() >= maxConnections;
    if (isOverLimit) {
      context.log().recordEvent("connection-limit", "", "connections", connections.size());
    }
    if (connections.size() >= maxConnections + MAX_REFUSED_CONNECTIONS) {
      channel.close();
      return;
    }
    CallerConnection connection = new CallerConnection(context, dispatcher, limits, this::onClosed);
    if (isStopping) {
      connection.closeAfterRequests();
    }
    if (isOverLimit) {
      connection.refuseRequest();
    }
    connections.add(connection);
    channel.config().setRecvByteBufAllocator(connection.reads().allocator());
    channel
        .pipeline()
        .addLast(connection.reads())
        .addLast(connection.receiveTimeHandler())
        .addLast(new CallerRequestDecoder(limits.current(context.clock().nowMs()).maxHeaderBytes()))
        .addLast(connection.encoder())
        .addLast(connection.writeHandler())
        .addLast(connection);
  }

  private PeriodicDuties newDuties() {
    return new PeriodicDuties(context.log()).add("caller-timeouts", this::closeTimedOut);
  }

  private void closeTimedOut() {
    long nowMs = context.clock().nowMs();
    limits.current(nowMs);
    forEachConnection(connection -> connection.closeIfTimedOut(nowMs));
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

  /** Closes each connection after the requests that were received or after the next one. */
  void stopConnections() {
    isStopping = true;
    forEachConnection(CallerConnection::closeAfterRequests);
  }

  /**
   * Stops listening once no connection waits to be accepted, because the system resets those that
   * do. Then closes the idle connections.
   *
   * @param onStopped called when the node listens no more
   */
  void stopListening(Runnable onStopped) {
    stopListening(MAX_ACCEPT_ROUNDS, onStopped);
  }

  private void stopListening(int rounds, Runnable onStopped) {
    long accepted = acceptedConnections;
    context.schedule(
        () -> {
          if (acceptedConnections != accepted && rounds > 1) {
            stopListening(rounds - 1, onStopped);
            return;
          }
          listener.close();
          forEachConnection(CallerConnection::closeIfIdle);
          onStopped.run();
        },
        ACCEPT_ROUND_MS);
  }

  /**
   * Ends all requests in flight, and closes each connection once its responses are written.
   *
   * @param onClosed called when all connections are closed
   */
  void abortAll(Runnable onClosed) {
    sweepTimer.cancel(false);
    forEachConnection(CallerConnection::abort);
    onAllClosed = onClosed;
    runIfAllClosed();
  }

  /** Runs a step for each connection. An exception in one of them keeps no other from its step. */
  private void forEachConnection(Consumer<CallerConnection> step) {
    for (CallerConnection connection : List.copyOf(connections)) {
      try {
        step.accept(connection);
      } catch (RuntimeException | Error e) {
        context.logError("internal-error", "", e);
      }
    }
  }

  private void onClosed(CallerConnection connection) {
    connections.remove(connection);
    runIfAllClosed();
  }

  private void runIfAllClosed() {
    if (connections.isEmpty()) {
      onAllClosed.run();
    }
  }
}
