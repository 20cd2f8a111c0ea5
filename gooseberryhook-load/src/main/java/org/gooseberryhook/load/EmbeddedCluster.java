package org.gooseberryhook.load;

import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.load.Experiment.Flow;
import org.gooseberryhook.load.Experiment.ModelShape;
import org.gooseberryhook.load.Experiment.ServiceShape;
import org.gooseberryhook.standin.Fault;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.StandinPlatform;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;

/**
 * A {@link LocalCluster} with the layout of an experiment, and the fault actions that only the
 * process of the cluster can run.
 *
 * @since 0.1
 */
public final class EmbeddedCluster {

  /** Base URL that experiment files use for the engine stand-in. */
  public static final String ENGINES_URL = "http://127.0.0.1:9100";

  /** Base URL that experiment files use for the plain services. */
  public static final String SERVICES_URL = "http://127.0.0.1:9300";

  private static final int NODE_COUNT = 9;
  private static final int STAGE_COUNT = 4;
  private static final int PIPELINE_COUNT = 30;
  private static final int MAX_RUNNING = 32;
  private static final int SERVICE_REPLICAS = 3;
  private static final long DRAIN_TIMEOUT_MS = 10_000;

  /** Leaves 8 ms of the 53 ms goal between tokens for the links and the router. */
  private static final long STEP_MICROS = 45_000;

  /** A prompt of 750 tokens takes 150 ms of the 370 ms goal to the first token. */
  private static final long PREFILL_MICROS_PER_TOKEN = 200;

  private static final double BURST_SECONDS = 2;
  private static final double CONCURRENT_SECONDS = 10;
  private static final int CHARS_PER_TOKEN = 4;
  private static final int FIRST_TOKEN_GOAL_MS = 370;
  private static final int TOKEN_GAP_GOAL_MS = 53;
  private static final int RETRY_BUDGET_PERCENT = 20;
  private static final double RAISED_FACTOR = 1.5;

  private final Experiment experiment;
  private final LocalCluster cluster;
  private final AtomicInteger nextPipeline = new AtomicInteger(2);
  private volatile SimulatedEngine faultyEngine;

  /**
   * Creates a cluster, not yet started.
   *
   * @param experiment the experiment; it needs a model and calls one service at most
   * @param basePort first port of the nodes; 0 for free ports
   * @throws IllegalArgumentException if the experiment has no model, or several services or
   *     once-only operations
   */
  public EmbeddedCluster(Experiment experiment, int basePort) {
    if (experiment.model() == null) {
      throw new IllegalArgumentException("--embedded needs a table [model] in the experiment");
    }
    this.experiment = experiment;
    this.cluster = new LocalCluster(toLayout(experiment), basePort);
  }

  /**
   * Starts the cluster and waits until every node serves the experiment's model and contracts.
   *
   * @throws IOException if a node does not become ready in time or a declaration fails
   */
  public void start() throws IOException {
    cluster.start();
  }

  /** Stops the cluster. */
  public void stop() {
    cluster.stop();
  }

  /**
   * Returns the cluster.
   *
   * @return the cluster, never null
   */
  public LocalCluster getCluster() {
    return cluster;
  }

  /**
   * Returns a copy of an experiment that calls this cluster: its caller addresses are the only
   * variant, and its ports replace those of {@link #ENGINES_URL} and {@link #SERVICES_URL}.
   *
   * @param original the experiment
   * @return a copy, never null
   */
  public Experiment withClusterAddresses(Experiment original) {
    List<Experiment.Fault> faults =
        original.faults().stream()
            .map(
                fault ->
                    new Experiment.Fault(
                        fault.name(),
                        fault.atMs(),
                        fault.action(),
                        fault.method(),
                        toRealUrl(fault.url()),
                        fault.body()))
            .toList();
    return original
        .withFaults(faults)
        .withVariants(List.of(new Variant("embedded", cluster.getCallerAddresses())))
        .withEffectsUrl(toRealUrl(original.effectsUrl()));
  }

  /**
   * Returns the fault actions by the names that experiment files use.
   *
   * @return the actions, never null
   */
  public Map<String, FaultAction> getActions() {
    return Map.ofEntries(
        Map.entry("stop-entry-node", this::stopGrantor),
        Map.entry("drain-entry-node", this::drainNode),
        Map.entry("add-entry-node", cluster::addNode),
        Map.entry("table-service-down", () -> setTable(Fault.of(Fault.Kind.REFUSE, 0))),
        Map.entry("table-service-slow", () -> setTable(Fault.of(Fault.Kind.SLOW, 500))),
        Map.entry(
            "table-service-loses-answers", () -> setTable(Fault.of(Fault.Kind.LOSE_ANSWER, 0))),
        Map.entry("table-service-up", () -> setTable(Fault.NONE)),
        Map.entry("kill-stage", this::killStage),
        Map.entry("hang-head", this::hangHead),
        Map.entry("revive-stage", this::reviveStage),
        Map.entry("planned-stop-target", this::declarePlannedStop),
        Map.entry("place-lost", this::stopDataCentre),
        Map.entry("raise-contract", () -> changeContract(RAISED_FACTOR)),
        Map.entry("lower-contract", () -> changeContract(1 / RAISED_FACTOR)));
  }

  /** Stops the home node of the first workspace without draining, like a crash. */
  private void stopGrantor() {
    NodeService node = cluster.getHomeNode(experiment.workspaces().get(0).name());
    cluster.removeNode(node);
    node.stop();
  }

  private void drainNode() {
    NodeService node = cluster.getHomeNode(experiment.workspaces().get(0).name());
    cluster.removeNode(node);
    Thread drain = new Thread(node::drain, "drain");
    drain.setDaemon(true);
    drain.start();
  }

  private void setTable(Fault fault) {
    cluster.getPlatform().getServer(StandinPlatform.Part.TABLE).getFaults().set(fault);
  }

  private void killStage() throws IOException {
    faultyEngine = takeNextEngine(1);
    cluster.getFleet().kill(faultyEngine);
  }

  private void hangHead() throws IOException {
    faultyEngine = takeNextEngine(0);
    faultyEngine.setHung(true);
  }

  private void reviveStage() {
    if (faultyEngine != null) {
      faultyEngine.setDead(false);
      faultyEngine.setHung(false);
    }
  }

  private SimulatedEngine takeNextEngine(int stage) throws IOException {
    int number = nextPipeline.getAndIncrement();
    return cluster
        .getFleet()
        .get("t" + number + "-" + stage)
        .orElseThrow(
            () -> new IOException("cannot inject a fault: pipeline " + number + " does not exist"));
  }

  private void declarePlannedStop() throws IOException {
    String targetId = "t" + nextPipeline.getAndIncrement() + "-0";
    AdminClient.AdminResponse response =
        cluster
            .newAdminClient(0)
            .declarePlannedChange("target", targetId, "planned by the experiment");
    if (!response.isOk()) {
      throw new IOException(
          "declaring a planned stop of a target failed with status " + response.status());
    }
  }

  /** Stops every engine and every node of the last data centre. */
  private void stopDataCentre() {
    List<String> places = cluster.getLayout().places();
    String place = places.get(places.size() - 1);
    for (int number = places.size() - 1; number < PIPELINE_COUNT; number += places.size()) {
      for (int stage = 0; stage < STAGE_COUNT; stage++) {
        cluster.getFleet().get("t" + number + "-" + stage).ifPresent(cluster.getFleet()::kill);
      }
    }
    for (NodeService node : cluster.getNodes()) {
      if (node.getSettings().node().place().equals(place)) {
        cluster.removeNode(node);
        node.stop();
      }
    }
  }

  private void changeContract(double factor) throws IOException {
    String workspaceId = experiment.workspaces().get(0).name();
    AdminClient admin = cluster.newAdminClient(0);
    AdminClient.AdminResponse before = admin.get("contracts/" + workspaceId);
    if (!before.isOk()) {
      throw new IOException(
          "reading the contract of the first workspace failed with status " + before.status());
    }
    long version = Long.parseLong(before.etag().replace("\"", ""));
    Experiment.Workspace workspace = experiment.workspaces().get(0);
    admin.put("contracts/" + workspaceId, toContract(experiment, workspace, factor), version);
  }

  private String toRealUrl(String url) {
    return url.replace(ENGINES_URL, cluster.getEngineUrl())
        .replace(SERVICES_URL, cluster.getPlatform().getBaseUrl(StandinPlatform.Part.SERVICES));
  }

  private static LocalLayout toLayout(Experiment experiment) {
    Set<String> services = new LinkedHashSet<>();
    Set<String> onceOnly = new LinkedHashSet<>();
    for (Experiment.RequestShape shape : experiment.mix()) {
      if (shape instanceof ServiceShape service) {
        services.add(service.service());
        if (service.isOnce()) {
          onceOnly.add(service.operation());
        }
      }
    }
    if (services.size() > 1 || onceOnly.size() > 1) {
      throw new IllegalArgumentException(
          "--embedded runs one service with one once-only operation; the experiment names "
              + services
              + " with "
              + onceOnly);
    }
    String region = experiment.name();
    return new LocalLayout(
        region,
        List.of(region + "-a", region + "-b", region + "-c"),
        NODE_COUNT,
        experiment.model().id(),
        experiment.model().version(),
        experiment.model().layerCount(),
        STAGE_COUNT,
        PIPELINE_COUNT,
        MAX_RUNNING,
        STEP_MICROS,
        PREFILL_MICROS_PER_TOKEN,
        services.stream().findFirst().orElse("service"),
        onceOnly.stream().findFirst().orElse("once"),
        SERVICE_REPLICAS,
        experiment.workspaces().stream()
            .map(workspace -> toContract(experiment, workspace, 1))
            .toList(),
        DRAIN_TIMEOUT_MS);
  }

  /**
   * Returns the contract of a workspace. The token bound of an experiment file counts response
   * tokens only. A contract counts prompt tokens too, so its bound is raised by the share of prompt
   * tokens in the mix.
   */
  private static Contract toContract(
      Experiment experiment, Experiment.Workspace workspace, double factor) {
    double requests = factor * boundOr(workspace.boundRequestsPerSecond(), workspace);
    double answerTokens =
        workspace.boundTokensPerSecond() > 0 ? workspace.boundTokensPerSecond() : 100 * requests;
    double tokens = factor * answerTokens * totalTokensPerResponseToken(experiment);
    Set<String> services = new HashSet<>();
    experiment.mix().stream()
        .filter(shape -> shape instanceof ServiceShape)
        .forEach(shape -> services.add(((ServiceShape) shape).service()));
    return new Contract(
        workspace.name(),
        workspace.priorityClass() == null ? PriorityClass.INTERACTIVE : workspace.priorityClass(),
        requests,
        BURST_SECONDS * requests,
        tokens,
        BURST_SECONDS * tokens,
        (int) Math.ceil(CONCURRENT_SECONDS * requests),
        Set.of(experiment.model().id()),
        services,
        FIRST_TOKEN_GOAL_MS,
        TOKEN_GAP_GOAL_MS,
        RETRY_BUDGET_PERCENT,
        (int) Math.max(1, experiment.caller().timeoutMs()),
        List.of(CallerKeys.digestOf(workspace.key())));
  }

  private static double boundOr(double bound, Experiment.Workspace workspace) {
    return bound > 0 ? bound : 2 * workspace.requestsPerSecond();
  }

  private static double totalTokensPerResponseToken(Experiment experiment) {
    double totalTokens = 0;
    double responseTokens = 0;
    for (Experiment.RequestShape shape : experiment.mix()) {
      if (shape.flow() == Flow.MODEL) {
        ModelShape model = (ModelShape) shape;
        totalTokens +=
            model.weight()
                * (model.requestedTokens() + (double) model.promptChars() / CHARS_PER_TOKEN);
        responseTokens += model.weight() * model.requestedTokens();
      }
    }
    return responseTokens > 0 ? totalTokens / responseTokens : 1;
  }
}
