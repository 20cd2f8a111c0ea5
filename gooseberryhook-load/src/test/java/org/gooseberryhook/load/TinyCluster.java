package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;

/** A cluster of two nodes and single-stage pipelines on loopback. */
final class TinyCluster {

  static final int LAYER_COUNT = 8;
  static final String KEY = "tiny-key";

  private final LocalCluster cluster;
  private final List<String> addresses;

  TinyCluster() throws IOException {
    this(4, cluster -> {});
  }

  TinyCluster(int pipelineCount, Consumer<LocalCluster> prepare) throws IOException {
    cluster =
        new LocalCluster(
            new LocalLayout(
                "khomas",
                List.of("khomas-1"),
                2,
                "drafting",
                "v1",
                LAYER_COUNT,
                1,
                pipelineCount,
                32,
                2_000,
                5,
                "booking",
                "book",
                1,
                List.of(newContract()),
                2_000));
    prepare.accept(cluster);
    cluster.start();
    addresses = cluster.getCallerAddresses();
  }

  LocalCluster getCluster() {
    return cluster;
  }

  List<String> getAddresses() {
    return addresses;
  }

  String getFaultsUrl(String targetId) {
    return cluster.getEngineUrl() + "/targets/" + targetId + "/faults";
  }

  /** Stops the node whose address callers receive first. */
  void stopHomeNode() throws IOException {
    Request request =
        new Request.Builder()
            .url("http://" + addresses.get(0) + "/v1/addresses")
            .header("Authorization", "Bearer " + KEY)
            .build();
    try (Response response = new OkHttpClient().newCall(request).execute()) {
      JsonNode body = Json.MAPPER.readTree(response.body().bytes());
      String home = body.path("addresses").path(0).asText();
      cluster.getNodes().get(addresses.indexOf(home)).stop();
    }
  }

  void kill(String targetId) {
    cluster.getFleet().kill(cluster.getFleet().get(targetId).orElseThrow());
  }

  void stop() {
    cluster.stop();
  }

  private static Contract newContract() {
    return new Contract(
        "omaruru-quotes",
        PriorityClass.INTERACTIVE,
        1_000,
        1_000,
        100_000,
        100_000,
        256,
        Set.of("drafting"),
        Set.of("booking"),
        370,
        53,
        10,
        60_000,
        List.of(CallerKeys.digestOf(KEY)));
  }
}
