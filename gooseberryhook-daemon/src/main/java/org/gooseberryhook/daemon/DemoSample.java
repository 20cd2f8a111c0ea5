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
import org.gooseberryhook.standin.StandinEngine;
import org.gooseberryhook.standin.StandinPlatform.Part;
import org.gooseberryhook.standin.StandinServer;
import org.gooseberryhook.standin.TokenFunction;
import org.gooseberryhook.transport.NodeService;

/** The mixed sample of the demo. Each check prints one line and says what was proved. */
final class DemoSample {

  private static final int ANSWER_TOKENS = 40;
  private static final int LONG_ANSWER_TOKENS = 200;
  private static final int REQUESTS_AFTER_STOP = 12;
  private static final String PROMPT =
      "Quote a ramp with a rise of 300 mm for the clinic at Otjikango.";
  private static final String SERVICE = DemoLayout.SERVICE_NAME;
  private static final String BOOK = DemoLayout.ONCE_ONLY_OPERATION;

  private final LocalCluster cluster;
  private final DemoCaller caller = new DemoCaller();
  private final List<String> addresses;
  private boolean isFailed;

  DemoSample(LocalCluster cluster) {
    this.cluster = cluster;
    this.addresses = cluster.getCallerAddresses();
  }

  /** Runs all checks; the last ones take nodes away. Returns whether all claims held. */
  boolean run() {
    check("whole answer is the model's own, so each layer ran once in order", this::isWholeRight);
    check("streamed answer at a second node is the same", this::isStreamRight);
    check("chat shape gives the model's answer to the chat prompt", this::isChatRight);
    check(
        "once-only call had one effect; its key at another node gave the recorded result",
        this::isOnceOnly);
    check(
        "table service away: lookup served, once-only call refused as not-run without effect",
        this::isOutageRight);
    check(
        "two racing contract changes: one in force at all nodes, one conflict with both versions",
        this::isRaceRight);
    check(
        "planned stop of a target: its stream finished and it got no new work",
        this::isPlannedStopRight);
    check(
        "a stage died after 10 tokens; no token was lost, repeated or changed",
        this::isStageDeathRight);
    check("a cancelled request ended early and left no engine running", this::isCancelRight);
    check(
        "a node drained: its stream finished, nothing was cut off, callers learn other addresses",
        this::isDrainRight);
    check("a node died after 15 tokens; another node resumed the stream", this::isNodeDeathRight);
    return !isFailed;
  }

  private void check(String claim, Callable<Boolean> claimHolds) {
    boolean isHolding = false;
    try {
      isHolding = claimHolds.call();
    } catch (Exception e) {
      System.out.println("      " + e.getMessage());
    }
    System.out.println((isHolding ? "ok    " : "FAIL  ") + claim);
    isFailed |= !isHolding;
  }

  private boolean isWholeRight() throws IOException {
    return caller
        .complete(addresses.get(0), PROMPT, ANSWER_TOKENS)
        .equals(expected(PROMPT, ANSWER_TOKENS));
  }

  private boolean isStreamRight() throws IOException {
    return isExpected(stream(1, "demo-stream", ANSWER_TOKENS, count -> true), ANSWER_TOKENS);
  }

  private boolean isChatRight() throws IOException {
    return caller
        .chat(addresses.get(2), PROMPT, ANSWER_TOKENS)
        .equals(expected("user: " + PROMPT, ANSWER_TOKENS));
  }

  private boolean isOnceOnly() throws IOException {
    DemoCaller.Reply first = caller.callService(addresses.get(0), BOOK, "demo-once", true);
    DemoCaller.Reply again = caller.callService(addresses.get(1), BOOK, "demo-once", true);
    return first.status() == 200 && again.equals(first) && effects("demo-once") == 1;
  }

  private boolean isOutageRight() throws IOException {
    StandinServer table = cluster.getPlatform().getServer(Part.TABLE);
    table.stop();
    boolean isRefused;
    boolean isLookupServed;
    try {
      isLookupServed =
          caller.callService(addresses.get(0), "lookup-slots", "", true).status() == 200;
      DemoCaller.Reply refused = caller.callService(addresses.get(0), BOOK, "demo-outage", false);
      isRefused =
          refused.status() == 503
              && refused.retryAfter() != null
              && refused.body().path("outcome").asText().equals("not-run")
              && effects("demo-outage") == 0;
    } finally {
      table.start();
    }
    DemoCaller.Reply repeated = caller.callService(addresses.get(0), BOOK, "demo-outage", true);
    return isLookupServed && isRefused && repeated.status() == 200 && effects("demo-outage") == 1;
  }

  private boolean isRaceRight() throws IOException {
    String path = "contracts/" + DemoLayout.WORKSPACE_ID;
    long version = versionOf(cluster.newAdminClient(0).get(path).etag());
    int[] rates = {150, 120};
    List<CompletableFuture<AdminClient.AdminResponse>> racing = new ArrayList<>();
    for (int i = 0; i < rates.length; i++) {
      AdminClient admin = cluster.newAdminClient(i);
      int rate = rates[i];
      racing.add(CompletableFuture.supplyAsync(() -> put(admin, path, rate, version)));
    }
    AdminClient.AdminResponse first = racing.get(0).join();
    AdminClient.AdminResponse second = racing.get(1).join();
    AdminClient.AdminResponse won = first.isOk() ? first : second;
    AdminClient.AdminResponse lost = first.isOk() ? second : first;
    int rate = first.isOk() ? rates[0] : rates[1];
    int lostRate = first.isOk() ? rates[1] : rates[0];
    boolean isConflict =
        won.isOk()
            && lost.status() == 409
            && rateIn(lost.body().path("current")) == rate
            && rateIn(lost.body().path("yours")) == lostRate;
    cluster.awaitVersion(versionOf(won.etag()));
    boolean isInForce = true;
    for (String address : addresses) {
      String limit = caller.get(address, "/v1/models").rateLimit();
      isInForce &= Integer.toString(rate).equals(limit);
    }
    return isConflict && isInForce;
  }

  private boolean isPlannedStopRight() throws IOException {
    int pipelines = cluster.getNodes().get(0).getPipelineCount();
    AdminClient admin = cluster.newAdminClient(1);
    List<StandinEngine> stopped = new ArrayList<>();
    DemoCaller.Streamed streamed =
        stream(
            0,
            "demo-planned-stop",
            LONG_ANSWER_TOKENS,
            count -> {
              if (count == 5) {
                stopped.add(busyEngine());
                declare(admin, stopped.get(0).getState().targetId());
              }
              return true;
            });
    LocalCluster.await(
        "all nodes to stop routing to the target",
        () -> cluster.getNodes().stream().allMatch(n -> n.getPipelineCount() < pipelines));
    long starts = stopped.get(0).getStartCount();
    boolean isServed = true;
    for (int i = 0; i < REQUESTS_AFTER_STOP; i++) {
      List<Integer> tokens = caller.complete(addresses.get(i % addresses.size()), PROMPT + i, 4);
      isServed &= tokens.equals(expected(PROMPT + i, 4));
    }
    JsonNode listed = admin.get("planned-changes").body().path(0);
    boolean isCancelled =
        admin
            .delete(
                "planned-changes/" + listed.path("targetId").asText(),
                listed.path("version").asLong())
            .isOk();
    LocalCluster.await(
        "all nodes to route to the target again",
        () -> cluster.getNodes().stream().allMatch(n -> n.getPipelineCount() == pipelines));
    return isExpected(streamed, LONG_ANSWER_TOKENS)
        && isServed
        && stopped.get(0).getStartCount() == starts
        && isCancelled;
  }

  private boolean isStageDeathRight() throws IOException {
    List<StandinEngine> killed = new ArrayList<>();
    DemoCaller.Streamed streamed =
        stream(
            0,
            "demo-stage-death",
            ANSWER_TOKENS,
            count -> {
              if (count == 10) {
                killed.add(busyEngine());
                cluster.getFleet().kill(killed.get(0));
              }
              return true;
            });
    return killed.get(0).isDead() && isExpected(streamed, ANSWER_TOKENS);
  }

  private boolean isCancelRight() throws IOException {
    List<Integer> statuses = new ArrayList<>();
    DemoCaller.Streamed streamed =
        stream(
            1,
            "demo-cancel",
            LONG_ANSWER_TOKENS,
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
        && streamed.tokens().size() < LONG_ANSWER_TOKENS;
  }

  private boolean isDrainRight() throws IOException {
    NodeService node = cluster.getNodes().get(2);
    String address = addresses.get(2);
    List<CompletableFuture<Integer>> drain = new ArrayList<>();
    DemoCaller.Streamed streamed =
        stream(
            2,
            "demo-drain",
            LONG_ANSWER_TOKENS,
            count -> {
              if (count == 5) {
                drain.add(CompletableFuture.supplyAsync(node::drain));
              }
              return true;
            });
    LocalCluster.await(
        "the node to leave the address answers",
        () -> !addressesAt(0).contains(address) && !addressesAt(1).contains(address));
    int cutOff = drain.get(0).join();
    return isExpected(streamed, LONG_ANSWER_TOKENS) && cutOff == 0;
  }

  private boolean isNodeDeathRight() throws IOException {
    DemoCaller.Streamed before = stream(0, "demo-resume", ANSWER_TOKENS, count -> count < 15);
    cluster.getNodes().get(0).stop();
    List<Integer> tokens = new ArrayList<>(before.tokens());
    DemoCaller.Streamed after =
        caller.stream(
            addresses.get(1), "demo-resume", PROMPT, ANSWER_TOKENS, tokens, count -> true);
    tokens.addAll(after.tokens());
    return before.tokens().size() == 15
        && after.isComplete()
        && tokens.equals(expected(PROMPT, ANSWER_TOKENS));
  }

  private DemoCaller.Streamed stream(
      int node, String requestId, int maxTokens, IntPredicate onToken) throws IOException {
    return caller.stream(addresses.get(node), requestId, PROMPT, maxTokens, List.of(), onToken);
  }

  private static List<Integer> expected(String prompt, int maxTokens) {
    return TokenFunction.answerTo(
        DemoLayout.MODEL_VERSION, DemoLayout.LAYER_COUNT, prompt, maxTokens);
  }

  private static boolean isExpected(DemoCaller.Streamed streamed, int maxTokens) {
    return streamed.isComplete() && streamed.tokens().equals(expected(PROMPT, maxTokens));
  }

  private StandinEngine busyEngine() {
    return cluster.getFleet().getAll().stream()
        .filter(engine -> engine.getRunningCount() > 0)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no engine runs the stream"));
  }

  private int effects(String key) {
    ServiceStandin services = cluster.getPlatform().getServices();
    // The router puts the workspace before the key, so that workspaces never share a key.
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
      throw new IllegalStateException("node " + node + " gives no addresses", e);
    }
  }

  private int cancel(String requestId) {
    try {
      return caller.cancel(addresses.get(1), requestId).status();
    } catch (IOException e) {
      throw new IllegalStateException("the request cannot be cancelled", e);
    }
  }

  private static void declare(AdminClient admin, String targetId) {
    try {
      AdminClient.AdminResponse answer = admin.declarePlannedChange("target", targetId, "demo");
      if (!answer.isOk()) {
        throw new IllegalStateException("planned stop answered " + answer.status());
      }
    } catch (IOException e) {
      throw new IllegalStateException("the planned stop cannot be declared", e);
    }
  }

  private static AdminClient.AdminResponse put(
      AdminClient admin, String path, int rate, long version) {
    try {
      return admin.tryPut(path, DemoLayout.newContract(rate), version);
    } catch (IOException e) {
      throw new IllegalStateException("the contract cannot be changed", e);
    }
  }

  private static int rateIn(JsonNode change) {
    return change.findPath("requestsPerSecond").asInt();
  }

  private static long versionOf(String etag) {
    return Long.parseLong(etag.replace("\"", ""));
  }
}
