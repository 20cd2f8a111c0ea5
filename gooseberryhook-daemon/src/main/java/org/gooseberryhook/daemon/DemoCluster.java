package org.gooseberryhook.daemon;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.coordination.RouteChooser;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.standin.EngineFleet;
import org.gooseberryhook.standin.EngineStandin;
import org.gooseberryhook.standin.StandinEngine;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;

/** Entry nodes and stand-ins in one JVM, joined by real connections on loopback. */
final class DemoCluster {

  static final String MODEL_ID = "drafting";
  static final String MODEL_VERSION = "v1";
  static final int LAYER_COUNT = 32;
  static final String WORKSPACE_ID = "omaruru-quotes";
  static final String CALLER_KEY = "demo-key";

  private static final int STAGE_COUNT = 4;
  private static final int MAX_RUNNING = 32;
  private static final int MAX_CACHED_BLOCKS = 4_096;
  private static final long STEP_MICROS = 8_000;
  private static final long PREFILL_MICROS_PER_TOKEN = 50;

  private final EngineFleet fleet = new EngineFleet(STEP_MICROS, PREFILL_MICROS_PER_TOKEN);
  private final List<NodeService> nodes = new ArrayList<>();
  private final List<Pipeline> pipelines = new ArrayList<>();
  private EngineStandin engineServer;

  void start(int nodeCount, int pipelineCount) {
    int enginePort = freePort();
    engineServer = new EngineStandin(fleet, enginePort);
    engineServer.start();
    for (int i = 0; i < pipelineCount; i++) {
      pipelines.add(addPipeline(i, "http://127.0.0.1:" + enginePort));
    }
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      addresses.add("127.0.0.1:" + freePort());
    }
    Configuration configuration = configuration();
    RouteChooser router = roundRobin();
    for (String address : addresses) {
      NodeService node = new NodeService(address, () -> configuration, router, () -> addresses);
      node.start();
      nodes.add(node);
    }
  }

  void stop() {
    nodes.forEach(NodeService::stop);
    engineServer.stop();
  }

  EngineFleet getFleet() {
    return fleet;
  }

  String getAddress(int index) {
    return nodes.get(index).getCallerAddress();
  }

  NodeService getNode(int index) {
    return nodes.get(index);
  }

  private Pipeline addPipeline(int number, String serverUrl) {
    List<Target> stages = new ArrayList<>();
    int layersPerStage = LAYER_COUNT / STAGE_COUNT;
    for (int stage = 0; stage < STAGE_COUNT; stage++) {
      String targetId = "t" + number + "-" + stage;
      LayerRange layers = LayerRange.of(stage * layersPerStage, (stage + 1) * layersPerStage);
      fleet.add(
          new StandinEngine(
              targetId, MODEL_ID, MODEL_VERSION, layers, MAX_RUNNING, MAX_CACHED_BLOCKS));
      stages.add(
          new Target(
              targetId,
              "vm-" + targetId,
              "khomas-" + number % 3,
              "khomas",
              TargetKind.ENGINE,
              serverUrl + "/targets/" + targetId,
              MODEL_ID,
              MODEL_VERSION,
              layers,
              "a100",
              true,
              false));
    }
    return Pipeline.of(LAYER_COUNT, stages);
  }

  private RouteChooser roundRobin() {
    AtomicInteger next = new AtomicInteger();
    return (ModelCall call, Set<String> excluded) -> {
      for (int i = 0; i < pipelines.size(); i++) {
        int index = Math.floorMod(next.getAndIncrement(), pipelines.size());
        Pipeline pipeline = pipelines.get(index);
        if (excluded.stream().noneMatch(pipeline::isUsing)) {
          return Optional.of(pipeline);
        }
      }
      return Optional.empty();
    };
  }

  private static Configuration configuration() {
    Contract contract =
        new Contract(
            WORKSPACE_ID,
            PriorityClass.INTERACTIVE,
            100,
            200,
            50_000,
            100_000,
            64,
            Set.of(MODEL_ID),
            Set.of(),
            370,
            53,
            10,
            60_000,
            List.of(CallerKeys.digestOf(CALLER_KEY)));
    ModelSpec model = new ModelSpec(MODEL_ID, MODEL_VERSION, LAYER_COUNT, 1 << 30, 6);
    return Configuration.EMPTY
        .with(1, new ConfigurationChange.PutContract(contract))
        .with(2, new ConfigurationChange.PutModel(model));
  }

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException("no free loopback port", e);
    }
  }
}
