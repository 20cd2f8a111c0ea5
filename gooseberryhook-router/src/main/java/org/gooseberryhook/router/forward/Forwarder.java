package org.gooseberryhook.router.forward;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.LoadBook;
import org.gooseberryhook.router.admission.RetryAllowance;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.fleet.CrashMarks;
import org.gooseberryhook.router.fleet.TargetHealth;

/**
 * Serves callers: the whole path of a request. Methods other than {@link #start} are to be called
 * on the event loop.
 */
public final class Forwarder {

  /** Share of the heap that bodies may fill; connections and decoded lists need the rest. */
  private static final double BODY_MEMORY_SHARE = 0.25;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final CallerServer server;

  /**
   * Creates a forwarder that does not listen yet.
   *
   * @param loop the event loop
   * @param clock the clock
   * @param random random numbers for ties and for spreading retries
   * @param dialect the deployment's headers
   * @param loads requests in flight
   * @param configuration the configuration in force
   * @param fleet the targets and pipelines in use
   * @param allowance the budget of repeats
   * @param health targets that failed lately
   * @param crashMarks requests that crash targets
   * @param meter counts and times of requests
   * @param log notes of decisions
   * @param address IP address and port for callers
   * @param maxConnections callers' connections at most
   */
  public Forwarder(
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      HeaderCodec dialect,
      LoadBook loads,
      Supplier<Optional<RoutingConfiguration>> configuration,
      FleetView fleet,
      RetryAllowance allowance,
      TargetHealth health,
      CrashMarks crashMarks,
      RequestMetrics meter,
      DecisionLog log,
      String address,
      int maxConnections) {
    context =
        new ForwardContext(
            loop,
            clock,
            random,
            dialect,
            new TargetChannelPool(loop, clock, dialect),
            loads,
            configuration,
            fleet,
            allowance,
            health,
            crashMarks,
            new BodyMemoryBudget((long) (Runtime.getRuntime().maxMemory() * BODY_MEMORY_SHARE)),
            meter,
            log);
    dispatcher = new RequestDispatcher(context);
    server = new CallerServer(context, dispatcher, address, maxConnections);
  }

  /**
   * Starts to listen for callers.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    server.start();
  }

  /** Looks at waiting requests because pipelines or loads have changed. */
  public void startWaiting() {
    dispatcher.startWaiting();
  }

  /** Has running streams leave targets that are lost or about to leave. */
  public void replaceLostTargets() {
    dispatcher.replaceLostTargets();
  }

  /** Ends each connection after the request that it serves. */
  public void stopConnections() {
    server.stopConnections();
  }

  /** Takes no further connections. */
  public void stopListening() {
    server.stopListening();
  }

  /** Breaks off what is still being served. */
  public void abortAll() {
    server.abortAll();
  }

  /**
   * Returns the number of requests that are being served.
   *
   * @return requests, waiting ones included
   */
  public int requestCount() {
    return server.requestCount();
  }

  /**
   * Returns the number of requests that wait for room.
   *
   * @return waiting requests
   */
  public int waitingCount() {
    return dispatcher.waitingCount();
  }

  /**
   * Returns the number of callers' connections.
   *
   * @return open connections
   */
  public int connectionCount() {
    return server.connectionCount();
  }
}
