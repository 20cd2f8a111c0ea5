package org.gooseberryhook.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.approvaltests.Approvals;
import org.gooseberryhook.daemon.ApiCalls.CallResponse;
import org.gooseberryhook.load.AdminClient;
import org.gooseberryhook.load.LocalCluster;
import org.gooseberryhook.load.LocalLayout;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;
import org.gooseberryhook.transport.NodeSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Calls the APIs of a small cluster over real sockets. */
class ApiTest {

  private static final String KEY = "test-key-a";
  private static final String OTHER_KEY = "test-key-b";
  private static final String JSON_CALL =
      "{\"model\":\"drafts\",\"prompt\":\"Quote a ramp\",\"max_tokens\":3}";
  private static final String BOOK = "/v1/services/booking/book";
  private static final Map<String, String> NONE = Map.of();
  private static final int MAX_ATTEMPTS = 1_000;
  private static final int LARGE_BODY_CHARS = 5_000_000;
  private static final int LONG_HEADER_CHARS = 20_000;

  private static LocalCluster cluster;
  private static String caller;
  private static String admin;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster =
        new LocalCluster(
            new LocalLayout(
                "khomas",
                List.of("a", "b"),
                2,
                "drafts",
                "v1",
                4,
                2,
                2,
                8,
                5_000,
                10,
                "booking",
                "book",
                1,
                List.of(contract("ws-a", KEY), contract("ws-b", OTHER_KEY)),
                2_000));
    cluster.start();
    cluster.newAdminClient(0).put("models/hidden", new ModelSpec("hidden", "v1", 4, 1, 1), 0);
    cluster.awaitVersion(5);
    NodeSettings.Node node = cluster.getNodes().get(0).getSettings().node();
    caller = "http://" + node.callerAddress();
    LocalCluster.await("both nodes to be listed", ApiTest::isEachNodeListed);
    admin = "http://" + node.adminAddress() + "/admin/v1";
  }

  @AfterAll
  static void stopCluster() {
    cluster.stop();
  }

  /**
   * Guards against error responses that lack a type, a remedy or an outcome, or change their shape.
   */
  @Test
  void everyWrongCallGetsItsProblem() throws IOException {
    StringBuilder seen = new StringBuilder();
    addResponse(seen, "missing key", post("/v1/completions", null, NONE, JSON_CALL));
    addResponse(seen, "bad key", post("/v1/completions", "wrong", NONE, JSON_CALL));
    addResponse(seen, "bad body", post("/v1/completions", KEY, NONE, "{\"model\":"));
    addResponse(seen, "no prompt", post("/v1/completions", KEY, NONE, "{\"model\":\"drafts\"}"));
    Map<String, String> text = Map.of("Content-Type", "text/plain");
    addResponse(seen, "other content type", post("/v1/completions", KEY, text, JSON_CALL));
    addResponse(
        seen,
        "unknown model",
        post("/v1/completions", KEY, NONE, JSON_CALL.replace("drafts", "none")));
    addResponse(
        seen,
        "forbidden model",
        post("/v1/completions", KEY, NONE, JSON_CALL.replace("drafts", "hidden")));
    String large = JSON_CALL.replace("ramp", "r".repeat(LARGE_BODY_CHARS));
    addResponse(seen, "oversized body", post("/v1/completions", KEY, NONE, large));
    Map<String, String> header = Map.of("X-Long", "h".repeat(LONG_HEADER_CHARS));
    addResponse(seen, "oversized header", post("/v1/completions", KEY, header, JSON_CALL));
    addResponse(seen, "missing idempotency key", post(BOOK, KEY, NONE, "{}"));
    Map<String, String> once = Map.of("Idempotency-Key", "reused");
    assertThat(post(BOOK, KEY, once, "{\"crew\":1}").status()).isEqualTo(200);
    addResponse(seen, "key reused with another body", post(BOOK, KEY, once, "{\"crew\":2}"));
    addResponse(seen, "unknown service", post("/v1/services/none/book", KEY, NONE, "{}"));
    addResponse(
        seen, "bad percent-encoding", get(caller + "/v1/outcomes/%zz?service=booking", KEY));
    Approvals.verify(seen);
  }

  /** Guards against changes in the shape of the responses that callers parse. */
  @Test
  void answersKeepTheirShapes() throws IOException {
    StringBuilder seen = new StringBuilder();
    addResponse(seen, "completion", post("/v1/completions", KEY, NONE, JSON_CALL));
    String chat =
        JSON_CALL.replace(
            "\"prompt\":\"Quote a ramp\"",
            "\"messages\":[{\"role\":\"user\",\"content\":\"Quote a ramp\"}]");
    addResponse(seen, "chat completion", post("/v1/chat/completions", KEY, NONE, chat));
    addResponse(seen, "models", get(caller + "/v1/models", KEY));
    addResponse(seen, "addresses", get(caller + "/v1/addresses", KEY));
    Map<String, String> once = Map.of("Idempotency-Key", "shape/1");
    addResponse(seen, "once-only call", post(BOOK, KEY, once, "{}"));
    addResponse(seen, "outcome", get(caller + "/v1/outcomes/shape%2F1?service=booking", KEY));
    Approvals.verify(seen);
  }

  /** Guards against operators' changes that are lost, and changes without a precondition. */
  @Test
  void operatorsCannotOverwriteEachOther() throws IOException {
    String url = admin + "/contracts/ws-c";
    String contract = Json.MAPPER.writeValueAsString(contract("ws-c", "test-key-c"));
    String changed = contract.replace("\"retryBudgetPercent\":20", "\"retryBudgetPercent\":30");
    StringBuilder seen = new StringBuilder();
    addResponse(seen, "wrong operator key", ApiCalls.send("GET", url, KEY, NONE, null));
    addResponse(seen, "missing If-Match", put(url, NONE, contract));
    addResponse(seen, "unknown field", put(url, NONE, "{\"color\":1}"));
    addResponse(seen, "dry run", put(url + "?dryRun=true", NONE, contract));
    assertThat(get(url, LocalCluster.OPERATOR_KEY).status()).isEqualTo(404);
    assertThat(put(url, Map.of("If-Match", "\"0\""), contract).status()).isEqualTo(200);
    addResponse(seen, "conflict", put(url, Map.of("If-Match", "\"0\""), changed));
    String etag = get(url, LocalCluster.OPERATOR_KEY).etag();
    assertThat(put(url, Map.of("If-Match", etag), changed).status()).isEqualTo(200);
    String other = url.replace("ws-c", "ws-d");
    addResponse(
        seen, "other record than the path", put(other, Map.of("If-Match", "\"0\""), contract));
    Approvals.verify(seen.toString().replaceAll("(ersion\"? ?:?) \\d+", "$1 <n>"));
  }

  /**
   * Guards against a caller that reads or cancels another workspace's requests by using the same
   * request id or idempotency key.
   */
  @Test
  void workspacesSeeNothingOfEachOther() throws IOException {
    String call = JSON_CALL.replace(":3", ":200");
    Map<String, String> id = Map.of("X-Request-Id", "shared-id");
    CompletableFuture<CallResponse> running =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return postUntilRun("/v1/completions", id, call);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    String outcome = caller + "/v1/outcomes/shared-id";
    LocalCluster.await("the call to run", () -> isRunning(outcome));
    assertThat(get(outcome, OTHER_KEY).status()).isEqualTo(404);
    assertThat(post("/v1/requests/shared-id/cancel", OTHER_KEY, NONE, "{}").status())
        .isEqualTo(404);
    LocalCluster.await(
        "the call's own workspace to cancel it",
        () -> isCancelled("/v1/requests/shared-id/cancel"));
    running.join();

    Map<String, String> once = Map.of("Idempotency-Key", "shared-key");
    assertThat(post(BOOK, KEY, once, "{\"secret\":1}").status()).isEqualTo(200);
    CallResponse others = get(caller + "/v1/outcomes/shared-key?service=booking", OTHER_KEY);
    CallResponse never = get(caller + "/v1/outcomes/never-used?service=booking", OTHER_KEY);
    assertThat(others.text()).isEqualTo(never.text().replace("never-used", "shared-key"));
    assertThat(others.json().has("result")).isFalse();
    CallResponse own = post(BOOK, OTHER_KEY, once, "{\"secret\":2}");
    assertThat(own.json().path("key").asText()).isEqualTo("ws-b/shared-key");
    assertThat(get(caller + "/metrics", OTHER_KEY).status()).isEqualTo(404);
  }

  /** Guards against a node that serves callers before it has read the contracts. */
  @Test
  void aNodeWithoutConfigurationServesNobody() throws IOException {
    NodeSettings known = cluster.getNodes().get(0).getSettings();
    NodeSettings.Node node =
        new NodeSettings.Node(
            freeAddress(),
            freeAddress(),
            freeAddress(),
            "a",
            "khomas",
            List.of("a", "b"),
            List.of(),
            1_000);
    String unreachable = "http://" + freeAddress();
    NodeService isolated =
        new NodeService(
            new NodeSettings(
                node,
                new NodeSettings.Platform(unreachable, unreachable, unreachable, unreachable),
                known.operators(),
                known.targetGroups(),
                known.limits()));
    isolated.start();
    try {
      CallResponse response =
          ApiCalls.send(
              "POST", "http://" + node.callerAddress() + "/v1/completions", KEY, NONE, JSON_CALL);
      assertThat(get("http://" + node.adminAddress() + "/readyz", KEY).status()).isEqualTo(503);
      Approvals.verify(response.toText());
    } finally {
      isolated.stop();
    }
  }

  /** Guards against an operator who mistakenly declares a running node gone. */
  @Test
  void aNodeThatAnswersIsNotDeclaredGone() throws IOException {
    AdminClient client = cluster.newAdminClient(0);
    String peer = cluster.getNodes().get(1).getSettings().node().peerAddress();
    LocalCluster.await(
        "the declaration of the other node as gone to be refused",
        () -> {
          try {
            return client.declarePlannedChange("node-gone", peer, "test").status() == 409;
          } catch (IOException e) {
            return false;
          }
        });
    assertThat(client.declarePlannedChange("node-gone", "127.0.0.1:1", "test").status())
        .isEqualTo(404);
  }

  private static boolean isEachNodeListed() {
    try {
      return get(caller + "/v1/addresses", KEY).json().path("addresses").size() == 2;
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean isRunning(String outcome) {
    try {
      return get(outcome, KEY).text().contains("running");
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean isCancelled(String path) {
    try {
      return post(path, KEY, NONE, "{}").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Repeats a call until it is not refused as not-run. A call may be refused so for a short time,
   * for example before the first quota grant.
   */
  private static CallResponse postUntilRun(String path, Map<String, String> headers, String body)
      throws IOException {
    CallResponse response = post(path, KEY, headers, body);
    for (int i = 0; i < MAX_ATTEMPTS && response.text().contains("not-run"); i++) {
      response = post(path, KEY, headers, body);
    }
    return response;
  }

  private static CallResponse post(
      String path, String key, Map<String, String> headers, String body) throws IOException {
    return ApiCalls.send("POST", caller + path, key, headers, body);
  }

  private static CallResponse put(String url, Map<String, String> headers, String body)
      throws IOException {
    return ApiCalls.send("PUT", url, LocalCluster.OPERATOR_KEY, headers, body);
  }

  private static CallResponse get(String url, String key) throws IOException {
    return ApiCalls.send("GET", url, key, NONE, null);
  }

  private static void addResponse(StringBuilder seen, String title, CallResponse response) {
    seen.append("# ").append(title).append('\n').append(response.toText()).append('\n');
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static Contract contract(String workspaceId, String key) {
    return new Contract(
        workspaceId,
        PriorityClass.INTERACTIVE,
        100,
        200,
        10_000,
        50_000,
        50,
        Set.of("drafts"),
        Set.of("booking"),
        370,
        53,
        20,
        60_000,
        List.of(CallerKeys.digestOf(key)));
  }
}
