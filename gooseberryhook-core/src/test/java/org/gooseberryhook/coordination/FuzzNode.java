package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.gooseberryhook.coordination.FuzzWorld.Variant;
import org.gooseberryhook.protocol.ConfigurationMessage;
import org.gooseberryhook.protocol.CrashMessage;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.PledgeMessage.PledgeAsk;
import org.gooseberryhook.protocol.PledgeMessage.PledgeGiven;
import org.gooseberryhook.protocol.PledgeMessage.PledgeRelease;
import org.gooseberryhook.protocol.QuotaMessage.QuotaAsk;
import org.gooseberryhook.protocol.QuotaMessage.QuotaGiven;
import org.gooseberryhook.protocol.QuotaMessage.QuotaTerms;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TargetMessage.TargetLeaving;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.Target;

/**
 * One run of an entry node: the production decision classes, wired as the services in package
 * transport wire them, and driven by simulated ticks, messages and results.
 */
final class FuzzNode {

  /** As in the production node, so that no grantor starts before earlier grants have expired. */
  private static final List<NodeId> UNKNOWN_NODES = List.of(NodeId.of("unknown", 0));

  private static final long MS = FuzzWorld.MS;
  private static final long TICK_NANOS = 50 * MS;
  private static final long ADDRESS_EXPIRY_NANOS = 2_000 * MS;
  private static final long DRAIN_NANOS = 25_000 * MS;
  private static final long RELEASE_NANOS = 2_000 * MS;

  final FuzzWorld world;
  final int index;
  final NodeId id;
  final RandomGenerator random;
  final FuzzTable table;
  final Membership membership;
  final ConfigurationStore store = new ConfigurationStore();
  final ConfigurationSync sync;
  final DutyLeaseKeeper leases;
  final QuotaHolder holder;
  final CrashMarkRegistry crashMarks = new CrashMarkRegistry();
  final PipelineRouter router;
  final List<FuzzModelCall> calls = new ArrayList<>();
  final Set<FuzzOnceCall> onceCalls = new HashSet<>();
  final ConfigurationWriter writer;
  Configuration inForce = Configuration.EMPTY;
  boolean isEnded;
  boolean isStopping;
  long pausedUntil;
  final long startNanos;

  private final ConfigurationLog log;
  private final QuotaGrantor grantor;
  private final PipelineComposer composer = new PipelineComposer();
  private final PipelineTable pipelines = new PipelineTable();
  private final Map<String, Long> deadUntil = new HashMap<>();
  private final Map<String, Long> leavingUntil = new HashMap<>();
  private final Map<String, Long> lastDeath = new HashMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final Set<NodeId> endedRuns = new HashSet<>();
  private final long clockOffset;
  private final double clockRate;
  private long stopNanos;
  private long drainedNanos;
  private boolean isRefusing;
  private int ticks;
  private long seenChangeCount = -1;
  private int seenCount;

  FuzzNode(FuzzWorld world, int index, FakeTableService shared) {
    this.world = world;
    this.index = index;
    this.startNanos = world.now;
    this.id = NodeId.of(FuzzWorld.addressOf(index), world.now / MS);
    this.random = new SplittableRandom(world.random.nextLong());
    this.clockOffset = world.random.nextLong(1_000_000 * MS);
    this.clockRate = 0.99 + world.random.nextDouble() * 0.02;
    this.table = new FuzzTable(world, this, shared);
    this.log = new ConfigurationLog(table);
    this.writer = new ConfigurationWriter(table);
    Member self = new Member(id, "p" + index % 2, "r", "c" + index, MemberStatus.ALIVE, 0);
    this.membership = new Membership(self, world.addresses());
    this.sync = new ConfigurationSync(membership, store);
    RunningRequests running = new RunningRequests();
    this.leases = new DutyLeaseKeeper(id, LeaseTiming.of(3_000 * MS));
    this.grantor = new QuotaGrantor(id, running);
    boolean isGrantEndless = world.variant == Variant.IGNORES_GRANT_EXPIRY;
    this.holder =
        new QuotaHolder(
            id,
            grantor,
            running,
            this::homeNode,
            isGrantEndless ? 1_000_000 * MS : QuotaLedger.GRANT_TTL_NANOS);
    this.router = new PipelineRouter(pipelines, new PipelineHealth(), new PrefixIndex());
    post(world.random.nextLong(TICK_NANOS), this::tick);
  }

  long clock() {
    return clockOffset + (long) (world.now * clockRate);
  }

  boolean isPaused() {
    return pausedUntil > world.now;
  }

  /**
   * Runs an action on this node after a delay: after the end of a pause, and never after the node
   * has ended.
   */
  void post(long delay, Runnable action) {
    world.schedule(
        delay,
        () -> {
          if (isPaused()) {
            // Waiting actions run in any order, as threads do after a pause.
            post(pausedUntil - world.now + 1 + world.random.nextInt(2_000_000), action);
          } else if (!isEnded) {
            action.run();
          }
        });
  }

  private void tick() {
    long now = clock();
    if (ticks % 2 == 0) {
      send(membership.onTick(now, random));
      send(sync.onTick(now));
      applyConfiguration();
    }
    if (ticks % 6 == 0) {
      checkEndedRuns();
    }
    if (ticks % 20 == 0) {
      pollLogHead();
      router.refresh(now, random);
      compose();
    }
    if (ticks % 100 == 50) {
      gossipCrashMarks();
    }
    tickQuota(now);
    List.copyOf(calls).forEach(FuzzModelCall::checkTimeouts);
    ticks++;
    if (isStopping) {
      drain();
    }
    post(TICK_NANOS, this::tick);
  }

  private void tickQuota(long now) {
    boolean isJoined = !membership.getMembers().isEmpty() || world.now - startNanos > 5_000 * MS;
    if (!isStopping && sync.isReady() && isJoined) {
      leases.setDuties(duties());
    }
    LeaseActions actions = leases.tick(now);
    Set<NodeId> earlierHolders =
        membership.getMembers().stream()
            .filter(Member::isPresent)
            .map(Member::id)
            .collect(Collectors.toSet());
    earlierHolders.removeAll(endedRuns);
    grantor.setHeldLeases(leases.getHeldLeases(now), earlierHolders, UNKNOWN_NODES, now);
    for (TableCall call : actions.calls()) {
      (call instanceof TableCall.Transact transact
              ? table.transact(transact.operations())
              : table.get(((TableCall.Get) call).key()))
          .thenAccept(result -> onLeaseResult(call, result));
    }
    sendAll(actions.messages());
    sendAll(grantor.tick(now));
    sendAll(holder.tick(now));
  }

  private void onLeaseResult(TableCall call, TableResult result) {
    leases.onTableResult(call.callId(), result, clock());
  }

  /** Starts a planned stop. */
  void stop() {
    if (isStopping || isEnded) {
      return;
    }
    isStopping = true;
    stopNanos = clock();
    send(membership.leave(random));
    leases.stop();
    if (world.variant == Variant.EXITS_AT_ONCE) {
      world.oracle.onPlannedEnd(this);
      world.endNode(this);
    }
  }

  /**
   * Serves new calls until the callers' addresses of this node expire, then refuses them until
   * running calls end.
   */
  private void drain() {
    long sinceStop = clock() - stopNanos;
    isRefusing |= sinceStop >= ADDRESS_EXPIRY_NANOS;
    boolean isBusy = (!calls.isEmpty() || !onceCalls.isEmpty()) && sinceStop < DRAIN_NANOS;
    if (!isRefusing || isBusy) {
      return;
    }
    drainedNanos = drainedNanos == 0 ? clock() : drainedNanos;
    if (leases.isEverythingReleased() || clock() - drainedNanos >= RELEASE_NANOS) {
      world.oracle.onPlannedEnd(this);
      world.endNode(this);
    }
  }

  /** Returns whether this node lists at least as many nodes as expected, including itself. */
  boolean isListingAll(List<FuzzNode> expected) {
    if (membership.getChangeCount() != seenChangeCount) {
      seenChangeCount = membership.getChangeCount();
      seenCount = liveMembers().size();
    }
    return seenCount >= expected.size();
  }

  boolean isServing() {
    return sync.isReady() && !isPaused() && !isRefusing;
  }

  void receive(NodeId sender, PeerMessage message, Configuration senderConfiguration) {
    long now = clock();
    if (message instanceof MembershipMessage membershipMessage) {
      send(membership.onMessage(sender, membershipMessage, now, random));
      long version =
          message instanceof MembershipMessage.Probe probe
              ? probe.configurationVersion()
              : message instanceof MembershipMessage.ProbeAnswer response
                  ? response.configurationVersion()
                  : MembershipMessage.NO_VERSION;
      send(sync.onPeerVersion(sender, version, now));
    } else if (message instanceof ConfigurationMessage configuration) {
      send(sync.onMessage(sender, configuration, now, random));
      applyConfiguration();
      if (world.variant == Variant.TAKES_ANY_SNAPSHOT) {
        inForce = senderConfiguration;
      }
    } else if (message instanceof QuotaAsk ask) {
      send(sender.address(), grantor.onQuotaAsk(sender, ask, now));
    } else if (message instanceof QuotaGiven given) {
      holder.onQuotaGiven(sender, given, now);
    } else if (message instanceof QuotaTerms terms) {
      holder.onQuotaTerms(sender, terms);
    } else if (message instanceof PledgeAsk ask) {
      leases.onPledgeAsk(sender, ask, now);
    } else if (message instanceof PledgeGiven given) {
      leases.onPledgeGiven(sender, given, now);
    } else if (message instanceof PledgeRelease release) {
      leases.onPledgeRelease(sender, release);
    } else if (message instanceof CrashMessage.CrashMarks marks) {
      crashMarks.merge(marks, now);
    } else if (message instanceof CrashMessage.CrashClears clears) {
      crashMarks.merge(clears, now);
    } else if (message instanceof TargetLeaving leaving) {
      leavingUntil.put(leaving.targetId(), now + 30_000 * MS);
      compose();
    }
  }

  /** Submits a change; one with an unknown outcome is settled later, as an operator's tool does. */
  void submit(String changeId, ConfigurationChange change, long expectedVersion) {
    writer
        .submit(changeId, "operator", world.now / MS, change, expectedVersion)
        .thenAccept(result -> onChangeResult(changeId, change, result, 5));
  }

  private void onChangeResult(
      String changeId, ConfigurationChange change, ChangeResult result, int triesLeft) {
    if (result instanceof ChangeResult.Accepted accepted) {
      world.oracle.onAccepted(accepted.entry());
      if (change instanceof ConfigurationChange.SetTargetLeaving set) {
        TargetLeaving leaving = new TargetLeaving(set.targetId(), set.reason());
        receive(id, leaving, inForce);
        broadcast(leaving);
      }
      send(sync.onEntries(List.of(accepted.entry()), clock(), random));
      if (store.get().version() < accepted.version()) {
        readLog();
      }
      applyConfiguration();
    } else if (result instanceof ChangeResult.Unsettled unsettled) {
      if (triesLeft > 0) {
        post(
            1_000 * MS,
            () ->
                writer
                    .settle(unsettled)
                    .thenAccept(next -> onChangeResult(changeId, change, next, triesLeft - 1)));
      }
    } else {
      world.oracle.onRefused(changeId);
    }
  }

  void applyConfiguration() {
    Configuration now = store.get();
    if (now.version() == inForce.version()) {
      return;
    }
    inForce = now;
    now.contracts()
        .forEach(
            (workspace, entry) -> {
              Long known = versions.put(workspace, entry.version());
              if (known == null || known != entry.version()) {
                grantor.setContract(entry.value(), clock());
                holder.setContract(entry.value());
              }
            });
    compose();
  }

  private void pollLogHead() {
    if (sync.isReady() && !sync.shouldPollHead()) {
      return;
    }
    log.readHead()
        .thenAccept(
            result -> {
              if (result instanceof ConfigurationLog.LogResult.HeadVersion head
                  && sync.onHeadRead(head.version())) {
                readLog();
              }
            });
  }

  private void readLog() {
    log.readEntriesAfter(store.get().version(), 500)
        .thenAccept(
            result -> {
              if (result instanceof ConfigurationLog.LogResult.Entries found) {
                List<ConfigurationLogEntry> entries = found.entries();
                send(sync.onEntries(entries, clock(), random));
                applyConfiguration();
              }
            });
  }

  private void compose() {
    long now = clock();
    deadUntil.values().removeIf(until -> until - now <= 0);
    leavingUntil.values().removeIf(until -> until - now <= 0);
    List<Target> usable = new ArrayList<>();
    for (Target target : world.engines.targets) {
      String targetId = target.targetId();
      boolean isLeaving =
          leavingUntil.containsKey(targetId) || inForce.leavingTargets().containsKey(targetId);
      if (!deadUntil.containsKey(targetId)) {
        usable.add(target.withLeaving(isLeaving && world.variant != Variant.IGNORES_LEAVING));
      }
    }
    Map<String, Integer> layerCounts =
        inForce.models().values().stream()
            .collect(Collectors.toMap(m -> m.value().modelId(), m -> m.value().layerCount()));
    PipelineComposer.Change change = composer.update(usable, layerCounts);
    pipelines.update(change.added(), change.removedPipelineIds());
    router.onPipelinesChanged(change);
  }

  void onTargetDied(String targetId, boolean isCrash) {
    long now = clock();
    Long before = lastDeath.get(targetId);
    if (isCrash && before != null && now - before < 2_000 * MS) {
      return;
    }
    deadUntil.put(targetId, now + 5_000 * MS);
    if (isCrash) {
      lastDeath.put(targetId, now);
      Collection<Long> fingerprints =
          calls.stream().filter(c -> c.isUsing(targetId)).map(c -> c.fingerprint).toList();
      if (!fingerprints.isEmpty()) {
        broadcast(crashMarks.recordCrash(targetId + "/" + world.nextId(), fingerprints, now));
      }
    }
    compose();
  }

  private void gossipCrashMarks() {
    List<Member> members = liveMembers();
    List<CrashMessage.Mark> marks = crashMarks.getMarks(clock());
    if (!marks.isEmpty() && members.size() > 1) {
      String other = members.get(1 + random.nextInt(members.size() - 1)).address();
      send(other, new CrashMessage.CrashMarks(marks));
      send(other, new CrashMessage.CrashClears(crashMarks.getClears(clock())));
    }
  }

  private void checkEndedRuns() {
    for (Member member : membership.getMembers()) {
      boolean isChecked = member.status() != MemberStatus.ALIVE && !endedRuns.contains(member.id());
      if (isChecked && world.isConnectionRefused(this, member.id())) {
        endedRuns.add(member.id());
        membership.onRunEnded(member.id(), clock());
        leases.onNodeEnded(member.id());
        grantor.removeHolder(member.id(), clock());
      }
    }
  }

  List<Member> liveMembers() {
    List<Member> live = new ArrayList<>();
    live.add(membership.getSelf());
    for (Member member : membership.getMembers()) {
      if (member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT) {
        live.add(member);
      }
    }
    return live;
  }

  private List<ShardNodeRanking.PlacedNode> placedNodes() {
    return liveMembers().stream()
        .map(member -> new ShardNodeRanking.PlacedNode(member.id(), member.place()))
        .toList();
  }

  private NodeId homeNode(QuotaShard shard) {
    return ShardNodeRanking.rank(shard, placedNodes(), null, 1).get(0);
  }

  private Map<String, List<NodeId>> duties() {
    Map<String, List<NodeId>> duties = new LinkedHashMap<>();
    for (String workspace : inForce.contracts().keySet()) {
      QuotaShard shard = QuotaShard.of(workspace);
      List<NodeId> rankedNodes = ShardNodeRanking.rank(shard, placedNodes(), null, 3);
      if (rankedNodes.get(0).equals(id)) {
        duties.put(shard.toLeaseKey(), rankedNodes.subList(1, rankedNodes.size()));
      }
    }
    return duties;
  }

  void broadcast(PeerMessage message) {
    for (Member member : liveMembers()) {
      if (!member.id().equals(id)) {
        send(member.address(), message);
      }
    }
  }

  private void send(List<Outgoing> messages) {
    messages.forEach(outgoing -> send(outgoing.address(), outgoing.message()));
  }

  /** Sorts the messages, because immutable sets iterate in a different order in each process. */
  private void sendAll(List<OutgoingMessage> messages) {
    messages.stream()
        .sorted(Comparator.comparing(outgoing -> outgoing.to().address()))
        .forEach(outgoing -> send(outgoing.to().address(), outgoing.message()));
  }

  private void send(String address, PeerMessage message) {
    world.send(this, address, message);
  }
}
