package org.gooseberryhook.router.forward;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.ServiceRetryBudget;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsView;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.TargetHealth;

/**
 * Entry point of this package: accepts callers' connections and forwards their requests to targets.
 * Methods other than {@link #start} must be called on the event loop.
 */
public final class Forwarder {

  /**
   * Share of the heap that buffered bodies may take; connections and decoded lists need the rest.
   */
  private static final double BODY_MEMORY_SHARE = 0.25;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final CallerServer server;

  /**
   * Creates a forwarder that does not listen yet.
   *
   * @param loop the event loop
   * @param clock monotonic clock
   * @param random random numbers that break ties and spread retries over time
   * @param headerCodec reads and writes the deployment's headers
   * @param loads load of requests in flight by target
   * @param configuration the configuration in force
   * @param fleet the targets and pipelines in use
   * @param relayView the nodes that requests may be relayed to
   * @param retryBudget budget of retries by service
   * @param health recent failures by target
   * @param crashCauses what is known about requests that crash targets
   * @param limits limits that targets named, and this node's permits
   * @param answerListener receives what targets state about themselves
   * @param metrics counts and latencies of requests
   * @param log log of routing decisions
   * @param fleetSums amounts of all nodes, such as the demand of callers
   * @param address IP address and port for callers
   * @param maxConnections maximum number of open connections of callers; further ones are refused
   */
  public Forwarder(
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      HeaderCodec headerCodec,
      LoadTracker loads,
      Supplier<Optional<RoutingConfiguration>> configuration,
      FleetView fleet,
      RelayView relayView,
      ServiceRetryBudget retryBudget,
      TargetHealth health,
      CrashCauses crashCauses,
      TargetLimits limits,
      TargetAnswerListener answerListener,
      RequestMetrics metrics,
      DecisionLog log,
      FleetSumsView fleetSums,
      String address,
      int maxConnections) {
    context =
        new ForwardContext(
            loop,
            clock,
            random,
            headerCodec,
            new TargetChannelPool(
                loop, clock, headerCodec, answerListener, TargetChannelPool.MAX_IDLE_MS),
            new RelayConnections(
                relayView,
                new TargetChannelPool(
                    loop,
                    clock,
                    headerCodec,
                    (node, metadata, sentMs) -> {},
                    RelayConnections.MAX_IDLE_MS)),
            loads,
            configuration,
            fleet,
            retryBudget,
            health,
            crashCauses,
            limits,
            new BodyMemoryBudget((long) (Runtime.getRuntime().maxMemory() * BODY_MEMORY_SHARE)),
            new StopForecast(),
            metrics,
            log);
    dispatcher = new RequestDispatcher(context, fleetSums);
    server = new CallerServer(context, dispatcher, address, maxConnections);
  }

  /**
   * Starts listening for callers.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    server.start();
  }

  /** Starts waiting requests as far as there is capacity; called when pipelines or loads change. */
  public void startWaitingRequests() {
    dispatcher.startWaitingRequests();
  }

  /**
   * Ends waiting requests that the configuration does not allow any more; called when it changes.
   */
  public void onConfigurationChanged() {
    dispatcher.onConfigurationChanged();
  }

  /** Moves running streams off targets that are lost or about to leave. */
  public void replaceLostTargets() {
    dispatcher.replaceLostTargets();
  }

  /**
   * Closes each connection after the requests that were received or after the next one. From now
   * on, requests are sent to targets only if they are likely to end in time.
   *
   * @param endMs monotonic time at which the requests that are left are ended, in milliseconds
   */
  public void stopConnections(long endMs) {
    context.stopForecast().setStop(endMs);
    server.stopConnections();
  }

  /**
   * Accepts the connections that wait, stops listening and closes the idle connections.
   *
   * @param onStopped called when the node listens no more
   */
  public void stopListening(Runnable onStopped) {
    server.stopListening(onStopped);
  }

  /**
   * Ends all requests in flight, and closes each connection once its responses are written.
   *
   * @param onClosed called when all connections are closed
   */
  public void abortAll(Runnable onClosed) {
    server.abortAll(onClosed);
  }

  /**
   * Explains where a request would go now. Nothing is sent or reserved.
   *
   * @param query the request
   * @return the explanation
   */
  public Explanation explain(ExplainQuery query) {
    return new RequestExplainer(
            new RequestExplainer.NodeState(
                context.configuration().get(),
                context.fleet(),
                context.loads(),
                context.limits(),
                context.health(),
                dispatcher.admission(),
                dispatcher::waitingCount,
                context.relays()::isCutOff,
                dispatcher.costs(),
                dispatcher::overload))
        .explain(query, context.clock().nowMs());
  }

  /**
   * Returns the number of requests in progress.
   *
   * @return number of requests, including waiting ones
   */
  public int requestCount() {
    return server.requestCount();
  }

  /**
   * Returns the number of requests that wait for capacity.
   *
   * @return number of waiting requests
   */
  public int waitingCount() {
    return dispatcher.waitingCount();
  }

  /**
   * Returns this node's demand and the lengths of streams that it learned, for the sums of the
   * fleet.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the amounts; without demand if no service has requests of several ranks
   */
  public FleetSums ownDemand(long nowMs) {
    return dispatcher.ownDemand(nowMs);
  }

  /**
   * Returns the admitted fractions of the services whose requests have several ranks.
   *
   * @return fractions by service and rank
   */
  public Map<String, Map<Integer, Double>> admittedFractions() {
    return dispatcher.admittedFractions();
  }

  /**
   * Returns the number of workspaces that are admitted far less than their rank, because they ask
   * for more than their share.
   *
   * @return numbers by service and rank; 0 without a shortage
   */
  public Map<String, Map<Integer, Integer>> heldBackWorkspaces() {
    return dispatcher.heldBackWorkspaces();
  }

  /**
   * Returns figures about the costs of requests.
   *
   * @return values by name of the gauge
   */
  public Map<String, Long> costGauges() {
    return dispatcher.costs().gauges();
  }

  /**
   * Returns the number of requests that are relayed to other nodes now.
   *
   * @return number of requests
   */
  public int relayedCount() {
    return context.relays().requestCount();
  }

  /**
   * Returns the number of open connections of callers.
   *
   * @return number of connections
   */
  public int connectionCount() {
    return server.connectionCount();
  }
}
