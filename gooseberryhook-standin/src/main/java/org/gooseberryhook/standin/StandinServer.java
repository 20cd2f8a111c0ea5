package org.gooseberryhook.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.netty.NettyServer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * HTTP server on the loopback address that can inject faults into its responses.
 *
 * <p>Every server has the routes {@code PUT /faults} (a JSON list of {@link Fault}) and {@code GET
 * /faults}. No faults are injected into these two routes.
 *
 * @since 0.1
 */
public final class StandinServer {

  private static final String HOST = "127.0.0.1";
  private static final int MAX_REQUEST_BYTES = 9 << 20;
  private static final int MAX_DELAYED = 100_000;
  private static final long STOP_TIMEOUT_MS = 10_000;
  private static final long STOP_POLL_MS = 5;
  private static final int IO_THREADS = 2;
  private static final int WORKER_THREADS = 2;

  private final String name;
  private final int port;
  private final FaultList faults = new FaultList();
  private final List<Consumer<Jooby>> routes = new ArrayList<>();
  private ServerSocket portReservation;
  private NettyServer server;
  private volatile ScheduledThreadPoolExecutor delayExecutor;
  private volatile boolean isRunning;

  /**
   * Creates a server that is not started yet.
   *
   * @param name name of the stand-in, used in thread names
   * @param port port on the loopback address; 0 for a free port, which is reserved until the start
   */
  public StandinServer(String name, int port) {
    this.name = name;
    this.portReservation = port == 0 ? bind(name, 0) : null;
    this.port = port == 0 ? portReservation.getLocalPort() : port;
    routes.add(app -> app.put("/faults", context -> send(context, setFaults(context))));
    routes.add(app -> app.get("/faults", context -> send(context, getFaultList())));
  }

  /**
   * Adds a route.
   *
   * @param method HTTP method
   * @param pattern path pattern with variables in braces
   * @param handler handles the requests
   * @return this server
   */
  public StandinServer route(String method, String pattern, StandinHandler handler) {
    routes.add(
        app -> app.route(method, pattern, context -> context.detach(next -> serve(next, handler))));
    return this;
  }

  /**
   * Starts the server. A stopped server may be started again; it uses the same port, and its
   * handlers keep their data.
   *
   * @return this server
   * @throws IllegalStateException if the server is already running or the port is in use
   */
  public synchronized StandinServer start() {
    if (server != null) {
      throw new IllegalStateException(
          name + " is already running; stop it before starting it again");
    }
    ServerOptions options = new ServerOptions();
    options.setHost(HOST);
    options.setPort(port);
    options.setIoThreads(IO_THREADS);
    options.setWorkerThreads(WORKER_THREADS);
    options.setMaxRequestSize(MAX_REQUEST_BYTES);
    // Jooby listens with SO_REUSEPORT, so two servers could share a port without an error. A plain
    // socket is bound first to detect a port that is in use.
    if (portReservation == null) {
      portReservation = bind(name, port);
    }
    releasePort();
    delayExecutor = newDelayExecutor();
    server = new NettyServer();
    server.setOptions(options);
    isRunning = true;
    try {
      server.start(newApp());
    } catch (RuntimeException e) {
      isRunning = false;
      delayExecutor.shutdownNow();
      server = null;
      throw new IllegalStateException(name + " cannot start on port " + port, e);
    }
    return this;
  }

  /**
   * Stops the server and discards delayed effects and responses. Later connections are refused.
   * Does nothing if the server is not running.
   *
   * @throws IllegalStateException if the port is still open after ten seconds
   */
  public synchronized void stop() {
    releasePort();
    if (server != null) {
      isRunning = false;
      delayExecutor.shutdownNow();
      server.stop();
      server = null;
      awaitPortClosed();
    }
  }

  /**
   * Returns the faults to inject.
   *
   * @return the modifiable list of faults, never null
   */
  public FaultList getFaults() {
    return faults;
  }

  /**
   * Returns the base URL.
   *
   * @return for example {@code http://127.0.0.1:7000}
   */
  public String getBaseUrl() {
    return "http://" + HOST + ":" + port;
  }

  /**
   * Returns the port, which is known before the server starts.
   *
   * @return the port
   */
  public int getPort() {
    return port;
  }

  private Jooby newApp() {
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.EVENT_LOOP);
    app.setStartupSummary(List.of(StartupSummary.NONE));
    routes.forEach(route -> route.accept(app));
    return app;
  }

  private ScheduledThreadPoolExecutor newDelayExecutor() {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, name + "-delays");
              thread.setDaemon(true);
              return thread;
            });
    // A request that arrives while the server stops must not fail with a rejected-task exception.
    executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    return executor;
  }

  private Object serve(Context context, StandinHandler handler) {
    if (!isRunning) {
      closeConnection(context);
      return context;
    }
    StandinRequest request = StandinRequest.of(context);
    if (delayExecutor.getQueue().size() >= MAX_DELAYED) {
      return send(
          context,
          StandinResponse.ofError(StandinResponse.UNAVAILABLE, "too many delayed requests"));
    }
    Fault fault = faults.take(request.path());
    switch (fault.kind()) {
      case SLOW -> schedule(fault.delayMs(), () -> send(context, handle(handler, request)));
      case CLOSE -> closeConnection(context);
      case REFUSE ->
          send(
              context,
              StandinResponse.ofError(StandinResponse.UNAVAILABLE, name + " is unavailable"));
      case LOSE_ANSWER -> {
        handle(handler, request);
        closeConnection(context);
      }
      case LATE_ANSWER -> {
        StandinResponse response = handle(handler, request);
        schedule(fault.delayMs(), () -> send(context, response));
      }
      case LATE_EFFECT -> {
        closeConnection(context);
        schedule(fault.delayMs(), () -> handle(handler, request));
      }
      case NO_LENGTH -> RawResponse.sendWithoutLength(channelOf(context), handle(handler, request));
      case ENDLESS_HEAD -> {
        handle(handler, request);
        RawResponse.sendEndlessHead(channelOf(context));
      }
      case ENDLESS_BODY -> {
        handle(handler, request);
        RawResponse.sendEndlessBody(channelOf(context));
      }
      default -> send(context, handle(handler, request));
    }
    return context;
  }

  private static StandinResponse handle(StandinHandler handler, StandinRequest request) {
    try {
      return handler.handle(request);
    } catch (Exception e) {
      return StandinResponse.ofError(StandinResponse.BAD_REQUEST, e.toString());
    }
  }

  private Object send(Context context, StandinResponse response) {
    if (response.delayMs() > 0) {
      schedule(response.delayMs(), () -> sendNow(context, response));
      return context;
    }
    return sendNow(context, response);
  }

  private static Object sendNow(Context context, StandinResponse response) {
    context.setResponseCode(response.status());
    context.setResponseType(response.contentType());
    return context.send(response.body());
  }

  private void schedule(long delayMs, Runnable action) {
    delayExecutor.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  private StandinResponse getFaultList() {
    return StandinResponse.ofJson(StandinResponse.OK, faults.get());
  }

  private StandinResponse setFaults(Context context) {
    try {
      faults.set(
          StandinResponse.MAPPER.readValue(
              context.body().bytes(), new TypeReference<List<Fault>>() {}));
      return StandinResponse.ofJson(StandinResponse.OK, faults.get());
    } catch (IOException | RuntimeException e) {
      return StandinResponse.ofError(StandinResponse.BAD_REQUEST, e.toString());
    }
  }

  /** Closes the connection without a response. */
  private static void closeConnection(Context context) {
    channelOf(context).close();
  }

  /** Returns the connection of a request, which Jooby's public API does not offer. */
  private static Channel channelOf(Context context) {
    try {
      Field field = context.getClass().getDeclaredField("ctx");
      field.setAccessible(true);
      return ((ChannelHandlerContext) field.get(context)).channel();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("connection of " + context + " is not known", e);
    }
  }

  private static ServerSocket bind(String name, int port) {
    try {
      return new ServerSocket(port, 1, InetAddress.getByName(HOST));
    } catch (IOException e) {
      throw new IllegalStateException(
          name + " cannot listen on " + HOST + ":" + port + "; choose another port", e);
    }
  }

  /**
   * Waits until the port is closed; Netty closes its sockets some time after the stop call returns.
   */
  private void awaitPortClosed() {
    long startNanos = System.nanoTime();
    while (true) {
      try {
        bind(name, port).close();
        return;
      } catch (IOException | IllegalStateException e) {
        if (System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(STOP_TIMEOUT_MS)) {
          throw new IllegalStateException(
              name + " did not stop in time; it still listens on port " + port, e);
        }
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STOP_POLL_MS));
    }
  }

  private void releasePort() {
    if (portReservation == null) {
      return;
    }
    try {
      portReservation.close();
    } catch (IOException e) {
      throw new UncheckedIOException(name + " cannot release port " + port, e);
    }
    portReservation = null;
  }
}
