package org.gooseberryhook.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntPredicate;
import org.gooseberryhook.load.AdminClient;
import org.gooseberryhook.load.LocalCluster;
import org.gooseberryhook.standin.ServiceStandin;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.StandinPlatform.Part;
import org.gooseberryhook.standin.StandinServer;
import org.gooseberryhook.standin.TokenFunction;
import org.gooseberryhook.transport.NodeService;

/**
 * Checks of the demo, run against a cluster with mixed requests and failures. Each check prints one
 * line with its description and whether it passed.
 */
final class DemoChecks {

  private static final int COMPLETION_TOKENS = 40;
  private static final int LONG_COMPLETION_TOKENS = 200;
  private static final int REQUESTS_AFTER_STOP = 12;
  private static final String PROMPT =
      "Quote a ramp with a rise of 300 mm for the clinic at Otjikango.";
  private static final String SERVICE = DemoLayout.SERVICE_NAME;
  private static final String BOOK = DemoLayout.ONCE_ONLY_OPERATION;

  private final LocalCluster cluster;
  private final DemoCaller caller = new DemoCaller();
  private final List<String> addresses;
  private boolean isFailed;

  DemoChecks(LocalCluster cluster) {
    this.cluster = cluster;
    this.addresses = cluster.getCallerAddresses();
  }

  /** Runs all checks and returns whether all passed. The last two drain and stop nodes. */
  boolean run() {
    check(
        "whole answer is the model's own, so each layer ran once in order",
        this::isCompletionCorrect);
    check("streamed answer at a second node is the same", this::isStreamedCompletionCorrect);
    check("chat shape gives the model's answer to the chat prompt", this::isChatCompletionCorrect);
    check(
        "once-only call had one effect; its key at another node gave the recorded result",
        this::isOnceOnlyCallAppliedOnce);
    check(
        "table service away: lookup served, once-only call refused as not-run without effect",
        this::isTableOutageHandled);
    check(
        "two racing contract changes: one in force at all nodes, one conflict with both versions",
        this::isConcurrentChangeRejected);
    check(
        "planned stop of a target: its stream finished and it got no new work",
        this::isPlannedStopHandled);
    check(
        "a stage died after 10 tokens; no token was lost, repeated or changed",
        this::isStageDeathHandled);
    check(
        "a cancelled request ended early and left no engine running", this::isCancellationHandled);
    check(
        "a node drained: its stream finished, nothing was cut off, callers learn other addresses",
        this::isDrainHandled);
    check("a node died after 15 tokens; another node resumed the stream", this::isNodeDeathHandled);
    return !isFailed;
  }

  private void check(String description, Callable<Boolean> check) {
    boolean isPassed = false;
    try {
      isPassed = check.call();
    } catch (Exception e) {
      System.out.println("      " + e.getMessage());
    }
    System.out.println((isPassed ? "ok    " : "FAIL  ") + description);
    isFailed |= !isPassed;
  }

  private boolean isCompletionCorrect() throws IOException {
    return caller
        .complete(addresses.get(0), PROMPT, COMPLETION_TOKENS)
        .equals(expectedTokens(PROMPT, COMPLETION_TOKENS));
  }

  private boolean isStreamedCompletionCorrect() throws IOException {
    return isStreamCorrect(
        stream(1, "demo-stream", COMPLETION_TOKENS, count -> true), COMPLETION_TOKENS);
  }

  private boolean isChatCompletionCorrect() throws IOException {
    return caller
        .chat(addresses.get(2), PROMPT, COMPLETION_TOKENS)
        .equals(expectedTokens("user: " + PROMPT, COMPLETION_TOKENS));
  }

  private boolean isOnceOnlyCallAppliedOnce() throws IOException {
    DemoCaller.CallResponse first = caller.callService(addresses.get(0), BOOK, "demo-once", true);
    DemoCaller.CallResponse repeated =
        caller.callService(addresses.get(1), BOOK, "demo-once", true);
    return first.status() == 200 && repeated.equals(first) && effectCountOf("demo-once") == 1;
  }

  private boolean isTableOutageHandled() throws IOException {
    StandinServer table = cluster.getPlatform().getServer(Part.TABLE);
    table.stop();
    boolean isRefused;
    boolean isLookupServed;
    try {
      isLookupServed =
          caller.callService(addresses.get(0), "lookup-slots", "", true).status() == 200;
      DemoCaller.CallResponse refused =
          caller.callService(addresses.get(0), BOOK, "demo-outage", false);
      isRefused =
          refused.status() == 503
              && refused.retryAfter() != null
              && refused.body().path("outcome").asText().equals("not-run")
              && effectCountOf("demo-outage") == 0;
    } finally {
      table.start();
    }
    DemoCaller.CallResponse repeated =
        caller.callService(addresses.get(0), BOOK, "demo-outage", true);
    return isLookupServed
        && isRefused
        && repeated.status() == 200
        && effectCountOf("demo-outage") == 1;
  }

  private boolean isConcurrentChangeRejected() throws IOException {
    String path = "contracts/" + DemoLayout.WORKSPACE_ID;
    long version = versionOf(cluster.newAdminClient(0).get(path).etag());
    int[] rates = {150, 120};
    List<CompletableFuture<AdminClient.AdminResponse>> responses = new ArrayList<>();
    for (int i = 0; i < rates.length; i++) {
      AdminClient admin = cluster.newAdminClient(i);
      int rate = rates[i];
      responses.add(CompletableFuture.supplyAsync(() -> putContract(admin, path, rate, version)));
    }
    AdminClient.AdminResponse first = responses.get(0).join();
    AdminClient.AdminResponse second = responses.get(1).join();
    AdminClient.AdminResponse accepted = first.isOk() ? first : second;
    AdminClient.AdminResponse rejected = first.isOk() ? second : first;
    int acceptedRate = first.isOk() ? rates[0] : rates[1];
    int rejectedRate = first.isOk() ? rates[1] : rates[0];
    boolean isConflict =
        accepted.isOk()
            && rejected.status() == 409
            && rateOf(rejected.body().path("current")) == acceptedRate
            && rateOf(rejected.body().path("yours")) == rejectedRate;
    cluster.awaitVersion(versionOf(accepted.etag()));
    boolean isAppliedEverywhere = true;
    for (String address : addresses) {
      String limit = caller.get(address, "/v1/models").rateLimit();
      isAppliedEverywhere &= Integer.toString(acceptedRate).equals(limit);
    }
    return isConflict && isAppliedEverywhere;
  }

  private boolean isPlannedStopHandled() throws IOException {
    int pipelines = cluster.getNodes().get(0).getPipelineCount();
    AdminClient admin = cluster.newAdminClient(1);
    List<SimulatedEngine> stopped = new ArrayList<>();
    DemoCaller.StreamResult streamed =
        stream(
            0,
            "demo-planned-stop",
            LONG_COMPLETION_TOKENS,
            count -> {
              if (count == 5) {
                stopped.add(busyEngine());
                declarePlannedStop(admin, stopped.get(0).getState().targetId());
              }
              return true;
            });
    LocalCluster.await(
        "all nodes to stop routing to the target",
        () -> cluster.getNodes().stream().allMatch(n -> n.getPipelineCount() < pipelines));
    long startCount = stopped.get(0).getStartCount();
    boolean isServed = true;
    for (int i = 0; i < REQUESTS_AFTER_STOP; i++) {
      List<Integer> tokens = caller.complete(addresses.get(i % addresses.size()), PROMPT + i, 4);
      isServed &= tokens.equals(expectedTokens(PROMPT + i, 4));
    }
    JsonNode plannedChange = admin.get("planned-changes").body().path(0);
    boolean isCancelled =
        admin
            .delete(
                "planned-changes/" + plannedChange.path("targetId").asText(),
                plannedChange.path("version").asLong())
            .isOk();
    LocalCluster.await(
        "all nodes to route to the target again",
        () -> cluster.getNodes().stream().allMatch(n -> n.getPipelineCount() == pipelines));
    return isStreamCorrect(streamed, LONG_COMPLETION_TOKENS)
        && isServed
        && stopped.get(0).getStartCount() == startCount
        && isCancelled;
  }

  private boolean isStageDeathHandled() throws IOException {
    List<SimulatedEngine> killed = new ArrayList<>();
    DemoCaller.StreamResult streamed =
        stream(
            0,
            "demo-stage-death",
            COMPLETION_TOKENS,
            count -> {
              if (count == 10) {
                killed.add(busyEngine());
                cluster.getFleet().kill(killed.get(0));
              }
              return true;
            });
    return killed.get(0).isDead() && isStreamCorrect(streamed, COMPLETION_TOKENS);
  }

  private boolean isCancellationHandled() throws IOException {
    List<Integer> statuses = new ArrayList<>();
    DemoCaller.StreamResult streamed =
        stream(
            1,
            "demo-cancel",
            LONG_COMPLETION_TOKENS,
            count -> {
              if (count == 5) {
                statuses.add(cancel("demo-cancel"));
              }
              return true;
            });
    LocalCluster.await(
        "the engines to be idle",
        () -> cluster.getFleet().getAll().stream().allMatch(e -> e.getRunningCount() == 0));
    return statuses.equals(List.of(200))
        && !streamed.isComplete()
        && streamed.tokens().size() < LONG_COMPLETION_TOKENS;
  }

  private boolean isDrainHandled() throws IOException {
    NodeService node = cluster.getNodes().get(2);
    String address = addresses.get(2);
    List<CompletableFuture<Integer>> drain = new ArrayList<>();
    DemoCaller.StreamResult streamed =
        stream(
            2,
            "demo-drain",
            LONG_COMPLETION_TOKENS,
            count -> {
              if (count == 5) {
                drain.add(CompletableFuture.supplyAsync(node::drain));
              }
              return true;
            });
    LocalCluster.await(
        "the other nodes to stop listing the drained node's address",
        () -> !addressesAt(0).contains(address) && !addressesAt(1).contains(address));
    int abortedCount = drain.get(0).join();
    return isStreamCorrect(streamed, LONG_COMPLETION_TOKENS) && abortedCount == 0;
  }

  private boolean isNodeDeathHandled() throws IOException {
    DemoCaller.StreamResult before =
        stream(0, "demo-resume", COMPLETION_TOKENS, count -> count < 15);
    cluster.getNodes().get(0).stop();
    List<Integer> tokens = new ArrayList<>(before.tokens());
    DemoCaller.StreamResult after =
        caller.stream(
            addresses.get(1), "demo-resume", PROMPT, COMPLETION_TOKENS, tokens, count -> true);
    tokens.addAll(after.tokens());
    return before.tokens().size() == 15
        && after.isComplete()
        && tokens.equals(expectedTokens(PROMPT, COMPLETION_TOKENS));
  }

  private DemoCaller.StreamResult stream(
      int node, String requestId, int maxTokens, IntPredicate onToken) throws IOException {
    return caller.stream(addresses.get(node), requestId, PROMPT, maxTokens, List.of(), onToken);
  }

  private static List<Integer> expectedTokens(String prompt, int maxTokens) {
    return TokenFunction.expectedTokens(
        DemoLayout.MODEL_VERSION, DemoLayout.LAYER_COUNT, prompt, maxTokens);
  }

  private static boolean isStreamCorrect(DemoCaller.StreamResult streamed, int maxTokens) {
    return streamed.isComplete() && streamed.tokens().equals(expectedTokens(PROMPT, maxTokens));
  }

  private SimulatedEngine busyEngine() {
    return cluster.getFleet().getAll().stream()
        .filter(engine -> engine.getRunningCount() > 0)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no engine is running the stream"));
  }

  private int effectCountOf(String key) {
    ServiceStandin services = cluster.getPlatform().getServices();
    // The router prefixes the key with the workspace, so that workspaces never share a key.
    return services.getEffectCount(SERVICE, DemoLayout.WORKSPACE_ID + "/" + key);
  }

  private List<String> addressesAt(int node) {
    try {
      List<String> found = new ArrayList<>();
      caller
          .get(addresses.get(node), "/v1/addresses")
          .body()
          .path("addresses")
          .forEach(address -> found.add(address.asText()));
      return found;
    } catch (IOException e) {
      throw new IllegalStateException("node " + node + " returned no address list", e);
    }
  }

  private int cancel(String requestId) {
    try {
      return caller.cancel(addresses.get(1), requestId).status();
    } catch (IOException e) {
      throw new IllegalStateException("the request cannot be cancelled", e);
    }
  }

  private static void declarePlannedStop(AdminClient admin, String targetId) {
    try {
      AdminClient.AdminResponse response = admin.declarePlannedChange("target", targetId, "demo");
      if (!response.isOk()) {
        throw new IllegalStateException(
            "the planned stop was refused with status " + response.status());
      }
    } catch (IOException e) {
      throw new IllegalStateException("the planned stop cannot be declared", e);
    }
  }

  private static AdminClient.AdminResponse putContract(
      AdminClient admin, String path, int rate, long version) {
    try {
      return admin.tryPut(path, DemoLayout.newContract(rate), version);
    } catch (IOException e) {
      throw new IllegalStateException("the contract cannot be changed", e);
    }
  }

  private static int rateOf(JsonNode change) {
    return change.findPath("requestsPerSecond").asInt();
  }

  private static long versionOf(String etag) {
    return Long.parseLong(etag.replace("\"", ""));
  }
}
