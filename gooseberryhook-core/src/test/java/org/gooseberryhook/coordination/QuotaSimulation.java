package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.PledgeMessage.PledgeAsk;
import org.gooseberryhook.protocol.PledgeMessage.PledgeGiven;
import org.gooseberryhook.protocol.PledgeMessage.PledgeRelease;
import org.gooseberryhook.protocol.QuotaMessage.QuotaAsk;
import org.gooseberryhook.protocol.QuotaMessage.QuotaGiven;
import org.gooseberryhook.protocol.QuotaMessage.QuotaTerms;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PriorityClass;

/**
 * Runs the leases and quotas of several nodes on a faulty network in simulated time, and checks the
 * results by an oracle that knows only the invariants: one holder for each lease, and no more
 * requests, tokens and concurrent requests than the contract allows.
 */
final class QuotaSimulation {

  static final long MS = 1_000_000L;
  private static final long STEP_NANOS = 20 * MS;
  private static final int MAX_QUEUED = 40;

  /** Length of a burst of requests, and of the pause that follows it. */
  private static final long BURST_NANOS = 2500 * MS;

  /** Workspace without refunds, because refunds leave unused units that would hide small errors. */
  private static final String WORKSPACE_WITHOUT_REFUNDS = "workspace-0";

  /** A variant of the nodes; all but {@link #CORRECT} have a deliberate fault. */
  enum Variant {
    CORRECT,
    IGNORES_GRANT_EXPIRY,
    ACQUIRES_WITHOUT_WAITING
  }

  private static final class Node {
    NodeId id;
    long clockOffset;
    boolean isDead;
    boolean isVmListed = true;
    long pausedUntil;
    long backlogServedUntil;
    int partitionSide;

    /**
     * Maximum requests in one step; changes suddenly, which leaves a node with units that it cannot
     * use.
     */
    int maxRequestsPerStep = 24;

    DutyLeaseKeeper keeper;
    QuotaGrantor grantor;
    QuotaHolder holder;
    final List<Request> requests = new ArrayList<>();
  }

  private static final class Request {
    QuotaAdmission admission;
    long endsNanos;
    Charge charge;
  }

  private static final class Charge {
    long requests;
    long tokens;
  }

  private record Event(long atNanos, long order, Runnable action) {}

  private record ContractPhase(long fromNanos, Contract contract) {}

  final List<String> violations = new ArrayList<>();
  long admitted;

  /**
   * Smallest share of the request burst that was left in any window; shows how close the runs come
   * to the limit.
   */
  double minRequestsLeft = 1;

  int holderChanges;

  /** Steps in which a node held a lease while the table service was unavailable. */
  int holderStepsWithoutTable;

  private final SplittableRandom random;
  private final Variant variant;
  private final FakeTableService table = new FakeTableService();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, TreeMap<Long, Charge>> charges = new LinkedHashMap<>();
  private final Map<String, List<ContractPhase>> contractPhases = new HashMap<>();
  private final Map<String, Contract> contracts = new HashMap<>();
  private final Map<String, NodeId> lastHolders = new HashMap<>();
  private long now = 1_000_000 * MS;
  private long order;
  private long tableUnavailableUntil;
  private long lossPercent;
  private long incarnations;

  QuotaSimulation(long seed, int nodeCount, Variant variant) {
    this.random = new SplittableRandom(seed);
    this.variant = variant;
    for (int index = 0; index < 3; index++) {
      setContract("workspace-" + index, 40 + random.nextInt(200), 0);
    }
    for (int index = 0; index < nodeCount; index++) {
      nodes.add(startNode("10.0.0." + index + ":7000"));
    }
  }

  /** Runs the cluster for some simulated seconds and checks the invariants. */
  void run(int seconds) {
    long end = now + seconds * 1000 * MS;
    while (now < end) {
      now += STEP_NANOS;
      injectFaults();
      while (!events.isEmpty() && events.peek().atNanos() <= now) {
        events.poll().action().run();
      }
      for (Node node : List.copyOf(nodes)) {
        if (isRunning(node)) {
          step(node);
        }
        checkHolders();
      }
      checkSlots();
    }
    charges.forEach(this::checkWindows);
  }

  private Node startNode(String address) {
    Node node = new Node();
    node.id = NodeId.of(address, ++incarnations);
    node.clockOffset = random.nextLong(1_000_000 * MS);
    RunningRequests running = new RunningRequests();
    LeaseTiming timing = LeaseTiming.of(3000 * MS);
    if (variant == Variant.ACQUIRES_WITHOUT_WAITING) {
      timing = new LeaseTiming(timing.usableNanos(), 0, timing.renewPeriodNanos());
    }
    node.keeper = new DutyLeaseKeeper(node.id, timing);
    node.grantor = new QuotaGrantor(node.id, running);
    long grantTtl =
        variant == Variant.IGNORES_GRANT_EXPIRY ? 1000_000 * MS : QuotaLedger.GRANT_TTL_NANOS;
    node.holder =
        new QuotaHolder(node.id, node.grantor, running, shard -> rankNodes(shard).get(0), grantTtl);
    contracts.values().forEach(contract -> applyContract(node, contract));
    return node;
  }

  private void applyContract(Node node, Contract contract) {
    node.holder.setContract(contract);
    node.grantor.setContract(contract, clock(node));
  }

  private void setContract(String workspace, int rate, long delay) {
    Contract contract =
        new Contract(
            workspace,
            PriorityClass.BATCH,
            rate,
            rate / 2,
            rate * 100,
            rate * 60,
            rate + 4,
            null,
            null,
            1,
            1,
            0,
            4000,
            null);
    Contract before = contracts.put(workspace, contract);
    for (Node node : nodes) {
      schedule(
          now + (delay == 0 ? 0 : random.nextLong(delay)), () -> applyContract(node, contract));
    }
    List<ContractPhase> list = contractPhases.computeIfAbsent(workspace, key -> new ArrayList<>());
    if (before != null) {
      list.add(new ContractPhase(now, before.requestsPerSecond() > rate ? before : contract));
    }
    list.add(new ContractPhase(now + delay, contract));
  }

  private long clock(Node node) {
    return now + node.clockOffset;
  }

  private boolean isRunning(Node node) {
    return !node.isDead && node.pausedUntil <= now;
  }

  private void schedule(long when, Runnable action) {
    events.add(new Event(when, order++, action));
  }

  /** Returns the nodes for a shard, best first; all nodes have the same list of live nodes. */
  private List<NodeId> rankNodes(QuotaShard shard) {
    List<ShardNodeRanking.PlacedNode> live =
        nodes.stream()
            .filter(node -> !node.isDead)
            .map(node -> new ShardNodeRanking.PlacedNode(node.id, "a"))
            .toList();
    return ShardNodeRanking.rank(shard, live, "a", 3);
  }

  private void injectFaults() {
    Node node = nodes.get(random.nextInt(nodes.size()));
    int roll = random.nextInt(4000);
    if (roll >= 3980) {
      node.pausedUntil = now + random.nextLong(5000 * MS);
    } else if (roll < 16) {
      nodes.forEach(each -> each.partitionSide = random.nextInt(2));
    } else if (roll < 28) {
      nodes.forEach(each -> each.partitionSide = 0);
    } else if (roll < 32) {
      tableUnavailableUntil = now + random.nextLong(15_000 * MS);
    } else if (roll < 40) {
      lossPercent = random.nextLong(30);
    } else if (roll < 44 && !node.isDead) {
      kill(node);
    } else if (roll < 48) {
      node.keeper.setDuties(Map.of());
    } else if (roll < 52) {
      String workspace = "workspace-" + random.nextInt(3);
      List<ContractPhase> list = contractPhases.get(workspace);
      if (list.get(list.size() - 1).fromNanos() < now) {
        setContract(workspace, 40 + random.nextInt(200), 2000 * MS);
      }
    }
  }

  private void kill(Node node) {
    node.isDead = true;
    node.requests.clear();
    schedule(
        now + random.nextLong(10_000 * MS),
        () -> {
          node.isVmListed = false;
          nodes.remove(node);
          nodes.forEach(
              other -> {
                other.keeper.onNodeEnded(node.id);
                other.grantor.removeHolder(node.id, clock(other));
              });
          nodes.add(startNode(node.id.address()));
        });
  }

  private void step(Node node) {
    long clock = clock(node);
    boolean isEarly = random.nextBoolean();
    if (node.pausedUntil > node.backlogServedUntil) {
      // Requests that queued up during a pause are served before anything else happens.
      node.backlogServedUntil = node.pausedUntil;
      contracts.keySet().forEach(workspace -> admit(node, workspace, MAX_QUEUED));
    }
    if (isEarly) {
      admitAll(node);
    }
    if (random.nextInt(25) == 0) {
      node.maxRequestsPerStep = random.nextInt(3) == 0 ? 1 : 1 + random.nextInt(60);
    }
    if (random.nextInt(50) == 0) {
      setDuties(node);
    }
    LeaseActions actions = node.keeper.tick(clock);
    List<NodeId> all = nodes.stream().map(each -> each.id).toList();
    Map<String, HeldLease> held = node.keeper.getHeldLeases(clock);
    held.forEach(
        (key, lease) ->
            node.holder.discardUnitsBefore(
                QuotaShard.ofLeaseKey(key).index(), lease.fencingNumber()));
    node.grantor.setHeldLeases(held, all, all, clock);
    actions.calls().forEach(call -> sendCall(node, call));
    actions.messages().forEach(message -> send(node, message));
    node.grantor.tick(clock).forEach(message -> send(node, message));
    node.holder.tick(clock).forEach(message -> send(node, message));
    for (Request request : List.copyOf(node.requests)) {
      if (request.endsNanos <= now) {
        settle(node, request);
      }
    }
    if (!isEarly) {
      admitAll(node);
    }
  }

  private void admitAll(Node node) {
    for (String workspace : contracts.keySet()) {
      // Pauses let the bucket fill up, so that the following burst shows any excess unit.
      int tries =
          isBurst(workspace, now) && random.nextInt(4) == 0
              ? random.nextInt(node.maxRequestsPerStep)
              : 0;
      admit(node, workspace, tries);
    }
  }

  private void setDuties(Node node) {
    Map<String, List<NodeId>> duties = new HashMap<>();
    for (String workspace : contracts.keySet()) {
      QuotaShard shard = QuotaShard.of(workspace);
      List<NodeId> ranked = rankNodes(shard);
      // Sometimes a node wrongly considers itself the preferred holder of the lease.
      if (ranked.get(0).equals(node.id) || random.nextInt(6) == 0) {
        List<NodeId> deputies = ranked.stream().filter(id -> !id.equals(node.id)).limit(2).toList();
        duties.put(shard.toLeaseKey(), deputies);
      }
    }
    node.keeper.setDuties(duties);
  }

  private static boolean isBurst(String workspace, long when) {
    return (when / BURST_NANOS + workspace.hashCode()) % 2 == 0;
  }

  private void admit(Node node, String workspace, int tries) {
    for (int index = 0; index < tries; index++) {
      admitOne(node, workspace);
    }
  }

  private void admitOne(Node node, String workspace) {
    long tokens = 20 + random.nextInt(100);
    if (node.holder.tryAdmit(workspace, 1, tokens, clock(node))
        instanceof QuotaDecision.Admitted result) {
      admitted++;
      Request request = new Request();
      request.admission = result.admission();
      request.endsNanos = now + random.nextLong(random.nextInt(4) == 0 ? 3900 * MS : 200 * MS);
      request.charge = new Charge();
      request.charge.requests = 1;
      request.charge.tokens = tokens;
      node.requests.add(request);
      // Requests admitted at one moment are kept apart by a nanosecond.
      charges
          .computeIfAbsent(workspace, key -> new TreeMap<>())
          .put(now + order++ % STEP_NANOS, request.charge);
    }
  }

  private void settle(Node node, Request request) {
    node.requests.remove(request);
    boolean isWithoutRefunds = request.admission.workspaceId().equals(WORKSPACE_WITHOUT_REFUNDS);
    boolean hasRun = isWithoutRefunds || random.nextInt(5) > 0;
    long actual =
        isWithoutRefunds ? request.charge.tokens : random.nextLong(request.charge.tokens + 1);
    node.holder.settle(request.admission, hasRun, actual, clock(node));
    if (hasRun) {
      Charge credit = new Charge();
      credit.tokens = actual - request.charge.tokens;
      charges.get(request.admission.workspaceId()).put(now + order++ % STEP_NANOS, credit);
    } else {
      // A request that did not run counts as never admitted.
      request.charge.requests = 0;
      request.charge.tokens = 0;
    }
  }

  private void send(Node from, OutgoingMessage message) {
    int copies = random.nextInt(100) < lossPercent ? 0 : random.nextInt(20) == 0 ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      long delay = random.nextInt(30) == 0 ? random.nextLong(4000 * MS) : random.nextLong(30 * MS);
      schedule(now + delay, () -> deliver(from, message));
    }
  }

  private void deliver(Node from, OutgoingMessage message) {
    for (Node to : nodes) {
      if (!to.id.equals(message.to()) || to.isDead || to.partitionSide != from.partitionSide) {
        continue;
      }
      if (to.pausedUntil > now) {
        schedule(to.pausedUntil + 1, () -> deliver(from, message));
      } else {
        receive(to, from.id, message.message());
      }
    }
  }

  private void receive(Node to, NodeId from, PeerMessage message) {
    long clock = clock(to);
    if (message instanceof QuotaAsk ask) {
      send(to, new OutgoingMessage(from, to.grantor.onQuotaAsk(from, ask, clock)));
    } else if (message instanceof QuotaGiven given) {
      to.holder.onQuotaGiven(from, given, clock);
      boolean hasUnits =
          given.grants().stream()
              .anyMatch(
                  one ->
                      one.workspaceId().equals(WORKSPACE_WITHOUT_REFUNDS)
                          && one.granted().requests() > 1);
      if (hasUnits && isBurst(WORKSPACE_WITHOUT_REFUNDS, now) && random.nextInt(20) == 0) {
        // The worst time for a pause: it begins with new units and ends within the next burst.
        long nextBurst = (now / BURST_NANOS + 2) * BURST_NANOS;
        to.pausedUntil = nextBurst + random.nextLong(BURST_NANOS / 2);
      }
    } else if (message instanceof QuotaTerms terms) {
      to.holder.onQuotaTerms(from, terms);
    } else if (message instanceof PledgeAsk ask) {
      to.keeper.onPledgeAsk(from, ask, clock);
    } else if (message instanceof PledgeGiven given) {
      to.keeper.onPledgeGiven(from, given, clock);
    } else if (message instanceof PledgeRelease release) {
      to.keeper.onPledgeRelease(from, release);
    }
  }

  /**
   * Sends a call, which may be refused, lose its result, or take effect after it was reported as
   * unknown.
   */
  private void sendCall(Node node, TableCall call) {
    int roll = random.nextInt(100);
    long delay = random.nextLong(roll < 5 ? 3000 * MS : 40 * MS);
    schedule(
        now + delay,
        () -> {
          boolean isUnavailable = tableUnavailableUntil > now;
          TableResult result =
              isUnavailable ? new TableResult.NotApplied("unavailable") : execute(call);
          if (isUnavailable && roll < 50 || roll < 10) {
            result = new TableResult.Unknown("result lost");
          }
          completeCall(node, call, result, random.nextLong(30 * MS));
        });
    if (roll < 3) {
      completeCall(node, call, new TableResult.Unknown("no result in time"), 500 * MS);
    }
  }

  private TableResult execute(TableCall call) {
    return call instanceof TableCall.Get get
        ? table.get(get.key()).join()
        : table.transact(((TableCall.Transact) call).operations()).join();
  }

  private void completeCall(Node node, TableCall call, TableResult result, long delay) {
    schedule(
        now + delay,
        () -> {
          if (node.pausedUntil > now) {
            completeCall(node, call, result, node.pausedUntil - now + 1);
          } else if (!node.isDead) {
            node.keeper.onTableResult(call.callId(), result, clock(node));
          }
        });
  }

  private void checkHolders() {
    for (String workspace : contracts.keySet()) {
      String key = QuotaShard.of(workspace).toLeaseKey();
      Set<NodeId> holders = new HashSet<>();
      for (Node node : nodes) {
        if (!node.isDead && node.keeper.isHolder(key, clock(node))) {
          holders.add(node.id);
        }
      }
      if (holders.size() > 1) {
        violations.add(key + " has holders " + holders + " at " + now / MS);
      }
      for (NodeId holder : holders) {
        holderChanges += holder.equals(lastHolders.put(key, holder)) ? 0 : 1;
        holderStepsWithoutTable += tableUnavailableUntil > now ? 1 : 0;
      }
    }
  }

  private void checkSlots() {
    for (String workspace : contracts.keySet()) {
      long running =
          nodes.stream()
              .flatMap(node -> node.requests.stream())
              .filter(request -> request.admission.workspaceId().equals(workspace))
              // The deadline ends a request even on a paused node.
              .filter(request -> request.endsNanos > now)
              .count();
      int bound = 0;
      for (ContractPhase each : contractPhases.get(workspace)) {
        // Requests admitted under a higher bound run until their deadline.
        boolean isRecent = each.fromNanos() > now - 8000 * MS;
        int slots = each.contract().maxConcurrentRequests();
        bound = isRecent ? Math.max(bound, slots) : slots;
      }
      if (running > bound) {
        violations.add(workspace + " runs " + running + " of " + bound + " at " + now / MS);
      }
    }
  }

  /**
   * Checks all windows of a workspace: its charges fit them if and only if a bucket that starts
   * full never runs below zero.
   */
  private void checkWindows(String workspace, TreeMap<Long, Charge> list) {
    List<ContractPhase> phases = contractPhases.get(workspace);
    int phase = -1;
    double requests = 0;
    double tokens = 0;
    long last = 0;
    for (Map.Entry<Long, Charge> entry : list.entrySet()) {
      boolean isNew = false;
      while (phase + 1 < phases.size() && phases.get(phase + 1).fromNanos() <= entry.getKey()) {
        phase++;
        isNew = true;
      }
      Contract contract = phases.get(phase).contract();
      double seconds = (entry.getKey() - last) / 1e9;
      requests += seconds * contract.requestsPerSecond();
      tokens += seconds * contract.tokensPerSecond();
      requests = isNew ? contract.requestBurst() : Math.min(contract.requestBurst(), requests);
      tokens = isNew ? contract.tokenBurst() : Math.min(contract.tokenBurst(), tokens);
      requests -= entry.getValue().requests;
      tokens -= entry.getValue().tokens;
      last = entry.getKey();
      // One step of refill is allowed because charges are stamped at the start of a step.
      minRequestsLeft = Math.min(minRequestsLeft, requests / contract.requestBurst());
      if (requests < -1e-3 || tokens < -1e-3) {
        violations.add(workspace + " over by " + -requests + " requests, " + -tokens + " tokens");
        return;
      }
    }
  }
}
