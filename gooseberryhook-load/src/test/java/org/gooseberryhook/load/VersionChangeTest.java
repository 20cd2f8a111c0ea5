package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.TokenFunction;
import org.gooseberryhook.state.ModelSpec;
import org.junit.jupiter.api.Test;

/** Changes the version of a model while callers use it over real sockets. */
class VersionChangeTest {

  private static final int CALLERS = 4;
  private static final int TOKENS = 20;
  private static final OkHttpClient CLIENT = new OkHttpClient();

  private final Queue<String> failures = new ConcurrentLinkedQueue<>();
  private final Map<String, AtomicInteger> countByVersion =
      Map.of("v1", new AtomicInteger(), "v2", new AtomicInteger());
  private final AtomicBoolean isStopping = new AtomicBoolean();

  /**
   * Guards against responses that mix versions, calls that fail, and a change that never completes.
   */
  @Test
  void noCallFailsOrMixesVersionsWhileReplicasAreConvertedOneByOne() throws Exception {
    TinyCluster tiny = new TinyCluster(2, LocalCluster::setMemoryPublished);
    LocalCluster cluster = tiny.getCluster();
    List<Thread> callers = new ArrayList<>();
    try {
      for (int i = 0; i < CALLERS; i++) {
        String address = tiny.getAddresses().get(i % tiny.getAddresses().size());
        int number = i;
        callers.add(new Thread(() -> callUntilStopped(address, number), "version-caller-" + i));
      }
      callers.forEach(Thread::start);
      LocalCluster.await("calls on v1", () -> countByVersion.get("v1").get() > 20);
      // A grantor starts with an empty token bucket, so it may reject the first calls.
      failures.clear();
      AdminClient admin = cluster.newAdminClient(0);
      String etag = admin.get("models/drafting").etag();
      long version = Long.parseLong(etag.replace("\"", ""));
      admin.put("models/drafting", cluster.newModel("v2"), version);
      LocalCluster.await("all engines to hold v2", () -> isAllHolding(cluster, "v2"));
      LocalCluster.await("calls on v2", () -> countByVersion.get("v2").get() > 20);
      JsonNode plan = admin.get("placement/drafting").body();
      assertThat(plan.path("replicas")).hasSize(2);
      assertThat(plan.path("reasons").toString()).contains("drafting v2: 2 of 2 replicas");
      assertThat(admin.get("placement/drafting?preview=true").body().path("replicas"))
          .isEqualTo(plan.path("replicas"));
      assertThat(resume(tiny.getAddresses().get(0), "v1")).isGreaterThanOrEqualTo(400);
      assertThat(resume(tiny.getAddresses().get(0), "v2")).isEqualTo(200);
    } finally {
      isStopping.set(true);
      for (Thread caller : callers) {
        caller.join();
      }
      tiny.stop();
    }
    assertThat(failures).isEmpty();
    assertThat(cluster.getFleet().getAll()).allMatch(engine -> engine.getLoadCount() == 1);
  }

  /**
   * Guards against a missing replica that is not loaded although a spare target has memory for it.
   */
  @Test
  void aSpareTargetIsOrderedToLoadAMissingReplica() throws Exception {
    TinyCluster tiny = new TinyCluster(1, cluster -> {});
    LocalCluster cluster = tiny.getCluster();
    try {
      cluster.addSpareEngine("s0");
      AdminClient admin = cluster.newAdminClient(0);
      long version = Long.parseLong(admin.get("models/drafting").etag().replace("\"", ""));
      admin.put("models/drafting", new ModelSpec("drafting", "v1", 8, 1L << 30, 2), version);
      LocalCluster.await(
          "two pipelines at all nodes",
          () -> cluster.getNodes().stream().allMatch(node -> node.getPipelineCount() == 2));
      SimulatedEngine.State state = cluster.getFleet().get("s0").orElseThrow().getState();
      assertThat(state.modelVersion()).isEqualTo("v1");
      assertThat(state.fencingNumber()).isPositive();
      // The memory of the first target is unknown, so placement never orders it to load.
      assertThat(cluster.getFleet().get("t0-0").orElseThrow().getLoadCount()).isZero();
    } finally {
      tiny.stop();
    }
  }

  private static boolean isAllHolding(LocalCluster cluster, String version) {
    return cluster.getFleet().getAll().stream()
        .map(SimulatedEngine::getState)
        .allMatch(state -> state.modelVersion().equals(version));
  }

  /** Resumes a response whose first two tokens came from a version; returns the HTTP status. */
  private static int resume(String address, String version) throws IOException {
    List<Integer> receivedTokens =
        TokenFunction.expectedTokens(version, TinyCluster.LAYER_COUNT, "resumed", TOKENS)
            .subList(0, 2);
    String body =
        Json.MAPPER.writeValueAsString(
            Map.of(
                "model",
                "drafting",
                "prompt",
                "resumed",
                "max_tokens",
                TOKENS,
                "resume_token_ids",
                receivedTokens));
    Request request =
        newRequest(address, body)
            .header("X-Resume-From", "2")
            .header("X-Model-Version", version)
            .build();
    try (Response response = CLIENT.newCall(request).execute()) {
      return response.code();
    }
  }

  private static Request.Builder newRequest(String address, String body) {
    return new Request.Builder()
        .url("http://" + address + "/v1/completions")
        .header("Authorization", "Bearer " + TinyCluster.KEY)
        .post(RequestBody.create(body, MediaType.get("application/json")));
  }

  private void callUntilStopped(String address, int number) {
    for (int i = 0; !isStopping.get(); i++) {
      try {
        call(address, "ramp " + number + "-" + i);
      } catch (IOException e) {
        failures.add(e.toString());
      }
    }
  }

  private void call(String address, String prompt) throws IOException {
    String body =
        Json.MAPPER.writeValueAsString(
            Map.of("model", "drafting", "prompt", prompt, "max_tokens", TOKENS));
    Request request = newRequest(address, body).build();
    try (Response response = CLIENT.newCall(request).execute()) {
      String responseBody = response.body().string();
      String text =
          Json.MAPPER.readTree(responseBody).path("choices").path(0).path("text").asText();
      String version = text.equals(textOf("v1", prompt)) ? "v1" : "v2";
      if (response.isSuccessful() && text.equals(textOf(version, prompt))) {
        countByVersion.get(version).incrementAndGet();
      } else {
        failures.add(response.code() + " " + responseBody);
      }
    }
  }

  private static String textOf(String version, String prompt) {
    List<Integer> tokens =
        TokenFunction.expectedTokens(version, TinyCluster.LAYER_COUNT, prompt, TOKENS);
    return IntStream.range(0, TOKENS)
        .mapToObj(step -> TokenFunction.textOf(tokens.get(step)))
        .collect(Collectors.joining());
  }
}
