package org.gooseberryhook.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.coordination.RouteChooser;
import org.gooseberryhook.standin.EngineFleet;
import org.gooseberryhook.standin.EngineStandin;
import org.gooseberryhook.standin.StandinEngine;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;
import org.gooseberryhook.state.Versioned;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;

/** Two nodes and four single-stage engines on loopback. */
final class TinyCluster {

  static final int LAYER_COUNT = 8;
  static final String KEY = "tiny-key";

  private final EngineFleet fleet = new EngineFleet(2_000, 5);
  private final List<Pipeline> pipelines = new ArrayList<>();
  private final List<NodeService> nodes = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();
  private final int enginePort;
  private final EngineStandin engineServer;

  TinyCluster() throws IOException {
    enginePort = freePort();
    engineServer = new EngineStandin(fleet, enginePort);
    engineServer.start();
    for (int i = 0; i < 4; i++) {
      pipelines.add(addPipeline("t" + i));
    }
    addresses.add("127.0.0.1:" + freePort());
    addresses.add("127.0.0.1:" + freePort());
    Configuration configuration = configuration();
    for (String address : addresses) {
      NodeService node = new NodeService(address, () -> configuration, router(), () -> addresses);
      node.start();
      nodes.add(node);
    }
  }

  List<String> getAddresses() {
    return addresses;
  }

  String getFaultsUrl(String targetId) {
    return "http://127.0.0.1:" + enginePort + "/targets/" + targetId + "/faults";
  }

  void stopNode(int index) {
    nodes.get(index).stop();
  }

  void stop() {
    nodes.forEach(NodeService::stop);
    engineServer.stop();
  }

  private Pipeline addPipeline(String targetId) {
    LayerRange layers = LayerRange.of(0, LAYER_COUNT);
    fleet.add(new StandinEngine(targetId, "drafting", "v1", layers, 32, 64));
    String url = "http://127.0.0.1:" + enginePort + "/targets/" + targetId;
    Target target =
        new Target(
            targetId,
            "vm-" + targetId,
            "khomas-1",
            "khomas",
            TargetKind.ENGINE,
            url,
            "drafting",
            "v1",
            layers,
            "a100",
            true,
            false);
    return Pipeline.of(LAYER_COUNT, List.of(target));
  }

  private RouteChooser router() {
    AtomicInteger next = new AtomicInteger();
    return (call, excluded) -> {
      for (int i = 0; i < pipelines.size(); i++) {
        Pipeline pipeline = pipelines.get(Math.floorMod(next.getAndIncrement(), pipelines.size()));
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
            "omaruru-quotes",
            PriorityClass.INTERACTIVE,
            1_000,
            1_000,
            100_000,
            100_000,
            256,
            Set.of("drafting"),
            Set.of(),
            370,
            53,
            10,
            60_000,
            List.of(CallerKeys.digestOf(KEY)));
    ModelSpec model = new ModelSpec("drafting", "v1", LAYER_COUNT, 1 << 30, 6);
    return new Configuration(
        1,
        Map.of("omaruru-quotes", new Versioned<>(1, contract)),
        Map.of("drafting", new Versioned<>(1, model)),
        Map.of(),
        Map.of());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
