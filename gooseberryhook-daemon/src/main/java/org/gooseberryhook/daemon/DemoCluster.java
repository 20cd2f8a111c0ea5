package org.gooseberryhook.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmTarget;
import org.gooseberryhook.standin.EngineFleet;
import org.gooseberryhook.standin.EngineStandin;
import org.gooseberryhook.standin.StandinEngine;
import org.gooseberryhook.standin.StandinPlatform;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.ServiceSpec;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;
import org.gooseberryhook.transport.NodeSettings;

/** Entry nodes and stand-ins in one JVM, joined by real connections on loopback. */
final class DemoCluster {

  static final String MODEL_ID = "ramp-drafts";
  static final String MODEL_VERSION = "v1";
  static final int LAYER_COUNT = 32;
  static final String SERVICE_NAME = "booking";
  static final String WORKSPACE_ID = "franchise-north";
  static final String CALLER_KEY = "demo-key";
  static final String OPERATOR_KEY = "demo-operator-key";

  private static final List<String> PLACES = List.of("khomas-a", "khomas-b", "khomas-c");
  private static final String REGION = "khomas";
  private static final int STAGE_COUNT = 4;
  private static final int MAX_RUNNING = 32;
  private static final int MAX_CACHED_BLOCKS = 4_096;
  private static final int SERVICE_REPLICAS = 3;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_CONCURRENT_REQUESTS = 2_000;
  private static final long DRAIN_TIMEOUT_MS = 10_000;
  private static final long READY_TIMEOUT_MS = 20_000;
  private static final long POLL_MS = 20;

  private final EngineFleet fleet;
  private final StandinPlatform platform = StandinPlatform.ofFreePorts();
  private final List<NodeService> nodes = new ArrayList<>();
  private final int pipelineCount;
  private EngineStandin engineServer;
  private int enginePort;

  DemoCluster(int pipelineCount, long stepMicros, long prefillMicrosPerToken) {
    this.pipelineCount = pipelineCount;
    this.fleet = new EngineFleet(stepMicros, prefillMicrosPerToken);
  }

  /** Starts everything and declares the demo's model, service and contract. */
  void start(int nodeCount) throws IOException {
    platform.start();
    enginePort = freePort();
    engineServer = new EngineStandin(fleet, enginePort);
    engineServer.start();
    for (int i = 0; i < pipelineCount; i++) {
      addPipeline(i);
    }
    for (int i = 0; i < SERVICE_REPLICAS; i++) {
      addServiceReplica(i);
    }
    List<NodeSettings> settings = new ArrayList<>();
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      settings.add(newSettings(i, List.copyOf(seeds)));
      seeds.add(settings.get(i).node().peerAddress());
    }
    for (NodeSettings each : settings) {
      startNode(each);
    }
    awaitReady();
    AdminClient admin = newAdminClient(0);
    admin.put("models/" + MODEL_ID, modelOf(MODEL_VERSION), 0);
    admin.put("services/" + SERVICE_NAME, new ServiceSpec(SERVICE_NAME, Set.of("book"), true), 0);
    admin.put("contracts/" + WORKSPACE_ID, contractOf(WORKSPACE_ID, CALLER_KEY, 200), 0);
    awaitVersion(3);
  }

  void stop() {
    nodes.forEach(NodeService::stop);
    engineServer.stop();
    platform.stop();
  }

  void startNode(NodeSettings settings) {
    NodeService node = new NodeService(settings);
    node.start();
    nodes.add(node);
  }

  EngineFleet getFleet() {
    return fleet;
  }

  StandinPlatform getPlatform() {
    return platform;
  }

  NodeService getNode(int index) {
    return nodes.get(index);
  }

  int getNodeCount() {
    return nodes.size();
  }

  String getAddress(int index) {
    return nodes.get(index).getSettings().node().callerAddress();
  }

  AdminClient newAdminClient(int index) {
    return new AdminClient(nodes.get(index).getSettings().node().adminAddress(), OPERATOR_KEY);
  }

  ModelSpec modelOf(String version) {
    return new ModelSpec(MODEL_ID, version, LAYER_COUNT, 1L << 30, pipelineCount);
  }

  static Contract contractOf(String workspaceId, String key, int requestsPerSecond) {
    return new Contract(
        workspaceId,
        PriorityClass.INTERACTIVE,
        requestsPerSecond,
        2.0 * requestsPerSecond,
        500.0 * requestsPerSecond,
        1_000.0 * requestsPerSecond,
        10 * requestsPerSecond,
        Set.of(MODEL_ID),
        Set.of(SERVICE_NAME),
        370,
        53,
        20,
        60_000,
        List.of(CallerKeys.digestOf(key)));
  }

  /** Waits until every node trusts its configuration. */
  void awaitReady() throws IOException {
    await("all nodes to be ready", () -> nodes.stream().allMatch(NodeService::isReady));
  }

  /** Waits until every node has a version in force and routes to all pipelines. */
  void awaitVersion(long version) throws IOException {
    await(
        "configuration version " + version + " and " + pipelineCount + " pipelines everywhere",
        () ->
            nodes.stream()
                .allMatch(
                    node ->
                        node.getConfigurationVersion() >= version && node.getPipelineCount() > 0));
  }

  static void await(String what, BooleanSupplier condition) throws IOException {
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
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

  NodeSettings newSettings(int number, List<String> seeds) {
    String place = PLACES.get(number % PLACES.size());
    return new NodeSettings(
        new NodeSettings.Node(
            "127.0.0.1:" + freePort(),
            "127.0.0.1:" + freePort(),
            "127.0.0.1:" + freePort(),
            place,
            REGION,
            PLACES,
            seeds,
            DRAIN_TIMEOUT_MS),
        new NodeSettings.Platform(
            platform.getBaseUrl(StandinPlatform.Part.TABLE),
            platform.getBaseUrl(StandinPlatform.Part.OBJECTS),
            platform.getBaseUrl(StandinPlatform.Part.WEIGHTS),
            platform.getBaseUrl(StandinPlatform.Part.VMS)),
        new NodeSettings.Operators(List.of(CallerKeys.digestOf(OPERATOR_KEY))),
        List.of(new NodeSettings.TargetGroup("drafting", MODEL_ID, true)),
        new NodeSettings.Limits(MAX_CONCURRENT_REQUESTS, MAX_BODY_BYTES, MAX_HEADER_BYTES));
  }

  private void addPipeline(int number) {
    int layersPerStage = LAYER_COUNT / STAGE_COUNT;
    String place = PLACES.get(number % PLACES.size());
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
      String targetId = "draft-" + number + "-" + stage;
      LayerRange layers = LayerRange.of(stage * layersPerStage, (stage + 1) * layersPerStage);
      fleet.add(
          new StandinEngine(
              targetId, MODEL_ID, MODEL_VERSION, layers, MAX_RUNNING, MAX_CACHED_BLOCKS));
      VmTarget target =
          new VmTarget(
              targetId,
              VmTarget.ENGINE,
              "http://127.0.0.1:" + enginePort + "/targets/" + targetId,
              MODEL_ID,
              MODEL_VERSION,
              layers.firstLayer(),
              layers.endLayer(),
              "accelerator-" + stage,
              true);
      platform
          .getVms()
          .put(new VmEntry("vm-" + targetId, place, REGION, VmEntry.LIVE, List.of(target)));
    }
  }

  private void addServiceReplica(int number) {
    VmTarget target =
        new VmTarget(
            "booking-" + number,
            VmTarget.SERVICE,
            platform.getBaseUrl(StandinPlatform.Part.SERVICES),
            SERVICE_NAME,
            "",
            0,
            0,
            "",
            false);
    platform
        .getVms()
        .put(
            new VmEntry(
                "vm-booking-" + number,
                PLACES.get(number % PLACES.size()),
                REGION,
                VmEntry.LIVE,
                List.of(target)));
  }

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("no free loopback port", e);
    }
  }
}
