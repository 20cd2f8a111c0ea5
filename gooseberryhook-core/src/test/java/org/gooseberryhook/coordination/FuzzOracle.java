package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.Versioned;

/**
 * Checks the promises P1 to P7 and the invariant Q of the contracts, independently of how the nodes
 * keep them.
 *
 * <p>P5 and P7 are checked for a node only if a change must have reached it, which holds in two
 * cases. Either the node was not paused, polled the log and had no fault of its table service for
 * the whole bound; the log head that it reads each second then shows every accepted change. Or,
 * since before the change was accepted, no message was lost, no node was paused, started or ended,
 * and every node listed every other one as alive; pushes and probes then reach it. Otherwise
 * nothing is checked, because possibly no message informed the node of the change.
 */
final class FuzzOracle {

  /** The promises, and the invariant Q of the contracts. */
  enum Promise {
    P1,
    P2,
    P3,
    P4,
    P5,
    P6,
    P7,
    Q
  }

  private static final long MS = FuzzWorld.MS;
  private static final long LEAVING_BOUND_NANOS = 3_000 * MS;
  private static final long IN_FORCE_BOUND_NANOS = 10_000 * MS;
  private static final long RELEASE_BOUND_NANOS = 2_000 * MS;

  /** Clocks of nodes run up to a hundredth fast, so their buckets refill faster by as much. */
  private static final double MAX_CLOCK_RATE = 1.011;

  /** Units by which rounding to whole units may exceed a bound. */
  private static final double ROUNDING_TOLERANCE = 1;

  final long[] checks = new long[Promise.values().length];
  final Map<String, Long> eventCounts = new HashMap<>();
  Promise brokenPromise;

  /**
   * Fewest request units left after an admission; shows how closely the runs approach the bound.
   */
  double minRequestsLeft = Double.MAX_VALUE;

  String violation;

  private final FuzzWorld world;
  private final FakeTableService table;
  private final Set<FuzzModelCall> callsThatRan = new HashSet<>();
  private final Set<FuzzModelCall> reportedNotRun = new HashSet<>();
  private final Map<String, Integer> effects = new HashMap<>();
  private final Set<String> effectClaims = new HashSet<>();
  private final Set<String> claimsReportedNotRun = new HashSet<>();
  private final Map<String, Long> leavingSince = new HashMap<>();
  private final List<Configuration> configurations = new ArrayList<>(List.of(Configuration.EMPTY));
  private final List<String> changeIds = new ArrayList<>(List.of(""));
  private final Map<Long, Long> acceptedAt = new HashMap<>();
  private final Set<String> refusedChangeIds = new HashSet<>();
  private final Map<FuzzNode, Long> lastTableFaultNanos = new HashMap<>();
  private final Map<FuzzNode, Long> lastVersions = new HashMap<>();
  private final Map<String, Bucket> buckets = new HashMap<>();
  private List<FuzzNode> lastLive = List.of();
  private long lastNetworkFaultNanos;
  private long highestAccepted;

  /**
   * A bucket that starts full and does not fall below zero as long as every window keeps the bound.
   */
  private static final class Bucket {
    private double requests;
    private double tokens;
    private Contract bound;
    private long lastNanos;
  }

  FuzzOracle(FuzzWorld world, FakeTableService table) {
    this.world = world;
    this.table = table;
  }

  private void check(Promise promise, boolean isKept, Supplier<String> description) {
    checks[promise.ordinal()]++;
    if (!isKept && violation == null) {
      brokenPromise = promise;
      violation = promise + " at " + world.now / MS + " ms: " + description.get();
    }
  }

  void countEvent(String event) {
    eventCounts.merge(event, 1L, Long::sum);
  }

  void onToken(FuzzModelCall.Request request, int step, int tokenId) {
    List<Integer> expected = FuzzEngines.expected(request.prompt);
    boolean isNext = step == request.received.size() && step < expected.size();
    check(
        Promise.P1,
        isNext && expected.get(step) == tokenId,
        () ->
            "token "
                + step
                + " of "
                + request.id
                + " differs from the result of all layers in order");
    request.received.add(tokenId);
  }

  void onComplete(FuzzModelCall.Request request) {
    countEvent("answers");
    countEvent(request.resumes > 0 ? "resumed answers" : "plain answers");
    check(
        Promise.P2,
        request.received.equals(FuzzEngines.expected(request.prompt)),
        () ->
            "the response to " + request.id + " was completed at token " + request.received.size());
  }

  void onEngineRun(FuzzModelCall call) {
    callsThatRan.add(call);
    check(
        Promise.P3,
        !reportedNotRun.contains(call),
        () -> call.request.id + " ran after it was reported as not run");
  }

  void onProblem(FuzzModelCall call, Outcome outcome) {
    countEvent("problems " + outcome);
    if (outcome == Outcome.NOT_RUN) {
      reportedNotRun.add(call);
      check(
          Promise.P3,
          !callsThatRan.contains(call),
          () -> call.request.id + " had run before it was reported as not run");
    }
  }

  void onEffect(FuzzOnceCall call) {
    int count = effects.merge(call.key, 1, Integer::sum);
    effectClaims.add(call.claimId);
    check(Promise.P4, count == 1, () -> count + " effects of " + call.key);
    boolean isTrue = !claimsReportedNotRun.contains(call.claimId);
    check(Promise.P3, isTrue, () -> call.claimId + " took effect after it was reported as not run");
  }

  boolean hasEffect(String key) {
    return effects.containsKey(key);
  }

  void onOnceResult(FuzzOnceCall call, OnceResult result) {
    countEvent("once " + result.outcome());
    if (result instanceof OnceResult.NotRun) {
      claimsReportedNotRun.add(call.claimId);
      boolean isTrue = !effectClaims.contains(call.claimId);
      check(
          Promise.P3,
          isTrue,
          () -> call.claimId + " had taken effect before it was reported as not run");
    } else if (result instanceof OnceResult.Ran ran) {
      boolean isOwn = hasEffect(call.key) && ran.body().equals("result of " + call.key);
      check(Promise.P2, isOwn, () -> "result of " + call.key + " is " + ran.body());
    }
  }

  void onAttemptStarted(FuzzNode node, Pipeline pipeline) {
    for (Target stage : pipeline.stages()) {
      Long since = leavingSince.get(stage.targetId());
      boolean mustKnow = since != null && mustKnow(node, since, LEAVING_BOUND_NANOS);
      check(
          Promise.P5,
          !mustKnow,
          () ->
              node.id
                  + " starts an attempt on "
                  + stage.targetId()
                  + " which is leaving since "
                  + since);
    }
  }

  void onPlannedEnd(FuzzNode node) {
    countEvent("planned stops");
    int cutOff = node.calls.size() + node.onceCalls.size();
    check(Promise.P6, cutOff == 0, () -> node.id + " ends with unfinished calls: " + cutOff);
    boolean isReleased = node.leases.isEverythingReleased();
    boolean canRelease =
        world.now - lastTableFaultNanos.getOrDefault(node, 0L) > RELEASE_BOUND_NANOS;
    check(
        Promise.P6,
        isReleased || !canRelease,
        () -> node.id + " ends without releasing its leases");
    if (isReleased) {
      List<TableRecord> records =
          ((TableResult.Read) table.scan("duty/", "", 10_000).join()).records();
      for (TableRecord found : records) {
        boolean isFree = !node.id.equals(DutyLease.ofJson(found.value()).holder());
        check(Promise.P6, isFree, () -> node.id + " has released its leases but holds " + found);
      }
    }
  }

  void onAccepted(ConfigurationLogEntry entry) {
    countEvent("accepted changes");
    readLog();
    boolean isLogged =
        entry.version() < changeIds.size()
            && changeIds.get((int) entry.version()).equals(entry.changeId());
    check(Promise.P7, isLogged, () -> "accepted " + entry + " is not in the log");
    acceptedAt.putIfAbsent(entry.version(), world.now);
    highestAccepted = Math.max(highestAccepted, entry.version());
    if (entry.change() instanceof ConfigurationChange.SetTargetLeaving set) {
      leavingSince.put(set.targetId(), world.now);
    }
  }

  void onRefused(String changeId) {
    countEvent("refused changes");
    readLog();
    refusedChangeIds.add(changeId);
    check(
        Promise.P7, !changeIds.contains(changeId), () -> "refused " + changeId + " is in the log");
  }

  private void readLog() {
    ConfigurationLog.LogResult read =
        new ConfigurationLog(table).readEntriesAfter(changeIds.size() - 1, 10_000).join();
    for (ConfigurationLogEntry entry : ((ConfigurationLog.LogResult.Entries) read).entries()) {
      changeIds.add(entry.changeId());
      configurations.add(
          configurations.get(configurations.size() - 1).with(entry.version(), entry.change()));
      boolean isAllowed = !refusedChangeIds.contains(entry.changeId());
      check(Promise.P7, isAllowed, () -> entry.changeId() + " is in the log after it was refused");
    }
  }

  /** Checks the invariants that hold at any time; must be called after every event. */
  void checkInvariants() {
    recordFaults();
    boolean isChanged = lastLive != world.liveNodes();
    for (FuzzNode node : world.liveNodes()) {
      isChanged |= checkConfiguration(node);
    }
    lastLive = world.liveNodes();
    if (isChanged) {
      FuzzWorld.WORKSPACES.forEach(this::refill);
    }
  }

  private void recordFaults() {
    List<FuzzNode> live = world.liveNodes();
    if (!world.isNetworkWhole()) {
      lastNetworkFaultNanos = world.now;
    }
    for (FuzzNode node : live) {
      boolean isTableUnread =
          node.isPaused() || world.isTableUnavailable(node) || world.tableFaultPercent > 0;
      if (isTableUnread || node.sync.isReady() && !node.sync.shouldPollHead()) {
        lastTableFaultNanos.put(node, world.now);
      }
      boolean isListingAll = node.isListingAll(live);
      if (node.isPaused() || node.isStopping || !isListingAll) {
        lastNetworkFaultNanos = world.now;
      }
    }
  }

  private boolean mustKnow(FuzzNode node, long since, long boundNanos) {
    long tableUnreadUntil = Math.max(node.startNanos, lastTableFaultNanos.getOrDefault(node, 0L));
    boolean hasReadTable = Math.max(since, tableUnreadUntil) + boundNanos < world.now;
    boolean isReachedByPeers =
        lastNetworkFaultNanos < since && node.startNanos < since && since + boundNanos < world.now;
    return !node.isPaused() && (hasReadTable || isReachedByPeers);
  }

  private boolean checkConfiguration(FuzzNode node) {
    long version = node.inForce.version();
    Long before = lastVersions.put(node, version);
    boolean isChanged = before == null || before != version;
    if (isChanged) {
      readLog();
      check(
          Promise.P7,
          before == null || before <= version,
          () -> node.id + " reverts to version " + version);
      Configuration expected =
          configurations.get((int) Math.min(version, configurations.size() - 1));
      boolean isSame =
          expected.contracts().equals(node.inForce.contracts())
              && expected.leavingTargets().equals(node.inForce.leavingTargets());
      check(Promise.P7, isSame, () -> node.id + " has different content for version " + version);
    }
    for (long next = version + 1; next <= highestAccepted; next++) {
      long missing = next;
      Long since = acceptedAt.get(missing);
      boolean isLate = since != null && mustKnow(node, since, IN_FORCE_BOUND_NANOS);
      check(
          Promise.P7,
          !isLate,
          () -> node.id + " has version " + version + " but must know version " + missing);
    }
    return isChanged;
  }

  /**
   * Returns the contract with the highest rate that any live node has in force. When it changes,
   * the bucket starts with a full burst.
   */
  private Contract highestBound(String workspace) {
    Contract highest = null;
    for (FuzzNode node : world.liveNodes()) {
      Versioned<Contract> found = node.inForce.contracts().get(workspace);
      if (found != null
          && (highest == null || found.value().requestsPerSecond() > highest.requestsPerSecond())) {
        highest = found.value();
      }
    }
    return highest;
  }

  private Bucket refill(String workspace) {
    Bucket bucket = buckets.computeIfAbsent(workspace, id -> new Bucket());
    Contract bound = highestBound(workspace);
    if (bound != null && !bound.equals(bucket.bound)) {
      bucket.bound = bound;
      bucket.requests = bound.requestBurst();
      bucket.tokens = bound.tokenBurst();
    }
    if (bucket.bound != null) {
      double seconds = MAX_CLOCK_RATE * (world.now - bucket.lastNanos) / 1e9;
      add(bucket, seconds * bucket.bound.requestsPerSecond());
      addTokens(bucket, seconds * bucket.bound.tokensPerSecond());
    }
    bucket.lastNanos = world.now;
    return bucket;
  }

  private static void add(Bucket bucket, double requests) {
    bucket.requests = Math.min(bucket.bound.requestBurst(), bucket.requests + requests);
  }

  private static void addTokens(Bucket bucket, double tokens) {
    bucket.tokens = Math.min(bucket.bound.tokenBurst(), bucket.tokens + tokens);
  }

  void onAdmitted(String workspace, long tokens) {
    countEvent("admissions");
    checkSlots(workspace);
    Bucket bucket = refill(workspace);
    bucket.requests--;
    bucket.tokens -= tokens;
    if (workspace.equals("fixed")) {
      minRequestsLeft = Math.min(minRequestsLeft, bucket.requests);
    }
    boolean isKept = bucket.requests >= -ROUNDING_TOLERANCE && bucket.tokens >= -ROUNDING_TOLERANCE;
    check(
        Promise.Q,
        isKept,
        () ->
            workspace
                + " exceeds its contract by "
                + -bucket.requests
                + " requests, "
                + -bucket.tokens
                + " tokens");
  }

  void onSettled(String workspace, long requestsBack, long tokensBack) {
    Bucket bucket = refill(workspace);
    add(bucket, requestsBack);
    addTokens(bucket, tokensBack);
  }

  private void checkSlots(String workspace) {
    long running =
        world.liveNodes().stream()
            .flatMap(node -> node.calls.stream())
            .filter(call -> call.isHoldingSlot(workspace))
            .count();
    check(
        Promise.Q,
        running <= FuzzWorld.slotsOf(workspace),
        () ->
            workspace
                + " runs "
                + running
                + " requests at the same time: "
                + world.describeSlots(workspace));
  }
}
