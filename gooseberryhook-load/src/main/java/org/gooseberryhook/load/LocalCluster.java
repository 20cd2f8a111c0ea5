package org.gooseberryhook.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.gooseberryhook.coordination.ShardNodeRanking;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmTarget;
import org.gooseberryhook.standin.EngineFleet;
import org.gooseberryhook.standin.EngineStandin;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.StandinPlatform;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.ServiceSpec;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;
import org.gooseberryhook.transport.NodeSettings;

/**
 * Entry nodes and stand-ins in one JVM that communicate over real loopback connections, for the
 * demo, tests and experiments.
 *
 * @since 0.1
 */
public final class LocalCluster {

  /** The operator key that the administration API of every node accepts. */
  public static final String OPERATOR_KEY = "demo-operator-key";

  private static final int MAX_CACHED_BLOCKS = 4_096;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_CONCURRENT_REQUESTS = 2_000;
  private static final String SPARE = "spare";
  private static final long LAYER_BYTES = 1L << 30;
  private static final long READY_TIMEOUT_MS = 30_000;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long POLL_MS = 20;
  private static final int START_TRIES = 3;

  private final LocalLayout layout;
  private final EngineFleet fleet;
  private final StandinPlatform platform = StandinPlatform.ofFreePorts();
  private final List<NodeService> nodes = new CopyOnWriteArrayList<>();
  private final int enginePort = freePort();
  private final AtomicInteger nextPort;
  private final EngineStandin engineServer;
  private boolean isMemoryPublished;

  /**
   * Creates a cluster, not yet started, whose nodes use free ports.
   *
   * @param layout the layout
   */
  public LocalCluster(LocalLayout layout) {
    this(layout, 0);
  }

  /**
   * Creates a cluster, not yet started, whose nodes use consecutive ports. The home node of a
   * workspace depends on the addresses of the nodes, so runs with the same ports have the same home
   * nodes.
   *
   * @param layout the layout
   * @param basePort port from which on each node takes the next three; 0 for free ports
   */
  public LocalCluster(LocalLayout layout, int basePort) {
    this.layout = layout;
    this.nextPort = new AtomicInteger(basePort);
    this.fleet = new EngineFleet(layout.stepMicros(), layout.prefillMicrosPerToken());
    this.engineServer = new EngineStandin(fleet, enginePort);
  }

  /**
   * Starts stand-ins and nodes, declares the model, the service and the contracts, and waits until
   * every node serves them.
   *
   * @throws IOException if a node does not become ready in time or a declaration fails
   */
  public void start() throws IOException {
    platform.start();
    engineServer.start();
    for (int i = 0; i < layout.pipelineCount(); i++) {
      addPipeline(i, layout.modelVersion());
    }
    for (int i = 0; i < layout.serviceReplicas(); i++) {
      addServiceReplica(i);
    }
    for (int i = 0; i < layout.nodeCount(); i++) {
      addNode();
    }
    await("all nodes to be ready", () -> nodes.stream().allMatch(NodeService::isReady));
    AdminClient admin = newAdminClient(0);
    admin.put("models/" + layout.modelId(), newModel(layout.modelVersion()), 0);
    admin.put(
        "services/" + layout.serviceName(),
        new ServiceSpec(layout.serviceName(), Set.of(layout.onceOnlyOperation()), true),
        0);
    for (Contract contract : layout.contracts()) {
      admin.put("contracts/" + contract.workspaceId(), contract, 0);
    }
    awaitVersion(2L + layout.contracts().size());
  }

  /**
   * Publishes memory and speed of the targets of pipelines that are added later, without which
   * placement orders no weight loads there.
   */
  public void setMemoryPublished() {
    isMemoryPublished = true;
  }

  /** Stops nodes and stand-ins without draining. */
  public void stop() {
    nodes.forEach(NodeService::stop);
    nodes.clear();
    engineServer.stop();
    platform.stop();
  }

  /**
   * Starts another node that joins through the running ones.
   *
   * @return the node
   */
  public NodeService addNode() {
    List<String> seeds =
        nodes.stream().map(node -> node.getSettings().node().peerAddress()).toList();
    NodeService node = startNode(seeds);
    nodes.add(node);
    return node;
  }

  /**
   * Starts a node and retries with other ports, because another process may have taken a port since
   * it was found free.
   */
  private NodeService startNode(List<String> seeds) {
    for (int i = 1; ; i++) {
      NodeService node = new NodeService(newSettings(nodes.size(), seeds));
      try {
        node.start();
        return node;
      } catch (IllegalStateException e) {
        node.stop();
        if (i == START_TRIES) {
          throw e;
        }
      }
    }
  }

  /**
   * Removes a node from the list without stopping it; the caller must stop it.
   *
   * @param node the node
   */
  public void removeNode(NodeService node) {
    nodes.remove(node);
  }

  /**
   * Returns the layout.
   *
   * @return the layout, never null
   */
  public LocalLayout getLayout() {
    return layout;
  }

  /**
   * Returns the engines.
   *
   * @return the fleet, never null
   */
  public EngineFleet getFleet() {
    return fleet;
  }

  /**
   * Returns the stand-ins of the platform.
   *
   * @return the platform, never null
   */
  public StandinPlatform getPlatform() {
    return platform;
  }

  /**
   * Returns the nodes.
   *
   * @return the running nodes, in the order of their start
   */
  public List<NodeService> getNodes() {
    return new ArrayList<>(nodes);
  }

  /**
   * Returns the addresses for callers.
   *
   * @return {@code ip:port} of each running node
   */
  public List<String> getCallerAddresses() {
    return nodes.stream().map(node -> node.getSettings().node().callerAddress()).toList();
  }

  /**
   * Returns the running node whose address callers of a workspace receive first.
   *
   * @param workspaceId the workspace
   * @return the node, never null
   */
  public NodeService getHomeNode(String workspaceId) {
    List<ShardNodeRanking.PlacedNode> placed =
        nodes.stream()
            .map(
                node ->
                    new ShardNodeRanking.PlacedNode(
                        node.getId(), node.getSettings().node().place()))
            .toList();
    NodeId home = ShardNodeRanking.rank(workspaceId, placed, 1).get(0);
    return nodes.stream().filter(node -> node.getId().equals(home)).findFirst().orElseThrow();
  }

  /**
   * Returns the base URL of the engine stand-in; a target is below {@code /targets/{targetId}}.
   *
   * @return the URL, never null
   */
  public String getEngineUrl() {
    return "http://127.0.0.1:" + enginePort;
  }

  /**
   * Returns a client of a node's administration API.
   *
   * @param index index of the node in {@link #getNodes}
   * @return the client, never null
   */
  public AdminClient newAdminClient(int index) {
    return new AdminClient(nodes.get(index).getSettings().node().adminAddress(), OPERATOR_KEY);
  }

  /**
   * Returns the specification of the model in a version.
   *
   * @param version the version
   * @return the specification, never null
   */
  public ModelSpec newModel(String version) {
    return new ModelSpec(
        layout.modelId(), version, layout.layerCount(), LAYER_BYTES, layout.pipelineCount());
  }

  /**
   * Adds the engines of one pipeline and lists them in the VM list.
   *
   * @param number number of the pipeline; the targets are {@code t{number}-{stage}}
   * @param version the model version that they hold
   */
  public void addPipeline(int number, String version) {
    int layersPerStage = layout.layerCount() / layout.stageCount();
    String place = placeOf(number);
    for (int stage = 0; stage < layout.stageCount(); stage++) {
      String targetId = "t" + number + "-" + stage;
      LayerRange layers = LayerRange.of(stage * layersPerStage, (stage + 1) * layersPerStage);
      fleet.add(
          new SimulatedEngine(
              targetId, layout.modelId(), version, layers, layout.maxRunning(), MAX_CACHED_BLOCKS));
      VmTarget target =
          new VmTarget(
              targetId,
              VmTarget.ENGINE,
              getEngineUrl() + "/targets/" + targetId,
              layout.modelId(),
              version,
              layers.firstLayer(),
              layers.endLayer(),
              "accelerator-" + stage,
              true,
              isMemoryPublished ? layersPerStage * LAYER_BYTES : 0,
              isMemoryPublished ? (double) layout.stepMicros() / layout.layerCount() : 0);
      putVm("vm-" + targetId, place, target);
    }
  }

  /**
   * Adds an engine that holds no layer of the model and has memory for all of them.
   *
   * @param targetId the identifier of its target
   */
  public void addSpareEngine(String targetId) {
    fleet.add(
        new SimulatedEngine(
            targetId, SPARE, SPARE, LayerRange.of(0, 1), layout.maxRunning(), MAX_CACHED_BLOCKS));
    VmTarget target =
        new VmTarget(
            targetId,
            VmTarget.ENGINE,
            getEngineUrl() + "/targets/" + targetId,
            SPARE,
            SPARE,
            0,
            1,
            "accelerator-spare",
            true,
            layout.layerCount() * LAYER_BYTES,
            (double) layout.stepMicros() / layout.layerCount());
    putVm("vm-" + targetId, placeOf(0), target);
  }

  /**
   * Waits until every node has a configuration version or a later one in force, and has pipelines.
   *
   * @param version the configuration version
   * @throws IOException if it takes longer than 30 s
   */
  public void awaitVersion(long version) throws IOException {
    await(
        "configuration version " + version + " and pipelines everywhere",
        () ->
            nodes.stream()
                .allMatch(
                    node ->
                        node.getConfigurationVersion() >= version && node.getPipelineCount() > 0));
  }

  /**
   * Waits for a condition.
   *
   * @param what description of the condition for the error message
   * @param condition the condition
   * @throws IOException if it does not hold within 30 s or the thread is interrupted
   */
  public static void await(String what, BooleanSupplier condition) throws IOException {
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MS * NANOS_PER_MS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IOException("timed out after " + READY_TIMEOUT_MS + " ms waiting for " + what);
      }
      try {
        Thread.sleep(POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while waiting for " + what, e);
      }
    }
  }

  private NodeSettings newSettings(int number, List<String> seeds) {
    return new NodeSettings(
        new NodeSettings.Node(
            "127.0.0.1:" + nextPort(),
            "127.0.0.1:" + nextPort(),
            "127.0.0.1:" + nextPort(),
            placeOf(number),
            layout.region(),
            layout.places(),
            seeds,
            layout.drainTimeoutMs()),
        new NodeSettings.Platform(
            platform.getBaseUrl(StandinPlatform.Part.TABLE),
            platform.getBaseUrl(StandinPlatform.Part.OBJECTS),
            platform.getBaseUrl(StandinPlatform.Part.WEIGHTS),
            platform.getBaseUrl(StandinPlatform.Part.VMS)),
        new NodeSettings.Operators(List.of(CallerKeys.digestOf(OPERATOR_KEY))),
        List.of(new NodeSettings.TargetGroup("models", layout.modelId(), true)),
        new NodeSettings.Limits(MAX_CONCURRENT_REQUESTS, MAX_BODY_BYTES, MAX_HEADER_BYTES));
  }

  private void addServiceReplica(int number) {
    VmTarget target =
        new VmTarget(
            layout.serviceName() + "-" + number,
            VmTarget.SERVICE,
            platform.getBaseUrl(StandinPlatform.Part.SERVICES),
            layout.serviceName(),
            "",
            0,
            0,
            "",
            false);
    putVm("vm-" + target.targetId(), placeOf(number), target);
  }

  private void putVm(String vmId, String place, VmTarget target) {
    platform.getVms().put(new VmEntry(vmId, place, layout.region(), VmEntry.LIVE, List.of(target)));
  }

  private String placeOf(int number) {
    return layout.places().get(number % layout.places().size());
  }

  private int nextPort() {
    return nextPort.get() == 0 ? freePort() : nextPort.getAndIncrement();
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot find a free loopback port", e);
    }
  }
}
