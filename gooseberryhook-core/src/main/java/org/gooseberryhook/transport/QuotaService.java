package org.gooseberryhook.transport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.gooseberryhook.coordination.DutyLeaseKeeper;
import org.gooseberryhook.coordination.HomeNodes;
import org.gooseberryhook.coordination.LeaseActions;
import org.gooseberryhook.coordination.LeaseTiming;
import org.gooseberryhook.coordination.OutgoingMessage;
import org.gooseberryhook.coordination.QuotaGrantor;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.QuotaShard;
import org.gooseberryhook.coordination.RunningRequests;
import org.gooseberryhook.coordination.TableCall;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.PledgeMessage;
import org.gooseberryhook.protocol.QuotaMessage;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.Versioned;
import org.jboss.logging.Logger;

/**
 * Drives the limits of the contracts: leases on shards, the grantor and the holder of this node.
 *
 * @since 0.1
 */
public final class QuotaService {

  private static final Logger LOG = Logger.getLogger(QuotaService.class);
  private static final long TICK_MS = 50;
  private static final int DEPUTY_COUNT = 2;

  private static final long SMALL_CLUSTER_TTL_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final ClusterService cluster;
  private final TableService table;
  private final ScheduledExecutorService timer;
  private final DutyLeaseKeeper leases;
  private final QuotaGrantor grantor;
  private final QuotaHolder holder;
  private final Map<String, Long> versionByWorkspace = new HashMap<>();
  private final Set<Integer> shards = ConcurrentHashMap.newKeySet();
  private ScheduledFuture<?> task;
  private boolean isStopping;

  /**
   * Creates a service.
   *
   * @param self this node
   * @param cluster members, configuration and messages
   * @param table the table service
   * @param timer runs the ticks; must not block
   */
  public QuotaService(
      NodeId self, ClusterService cluster, TableService table, ScheduledExecutorService timer) {
    this.cluster = cluster;
    this.table = table;
    this.timer = timer;
    RunningRequests running = new RunningRequests();
    this.leases = new DutyLeaseKeeper(self, LeaseTiming.of(SMALL_CLUSTER_TTL_NANOS));
    this.grantor = new QuotaGrantor(self, running);
    this.holder = new QuotaHolder(self, grantor, running, this::getHomeNode);
    cluster.setHandler(QuotaMessage.class, this::onQuotaMessage);
    cluster.setHandler(PledgeMessage.class, this::onPledgeMessage);
    cluster.addListener(this::onConfiguration);
  }

  /**
   * Returns the holder that admits this node's requests.
   *
   * @return the holder, never null
   */
  public QuotaHolder getHolder() {
    return holder;
  }

  /**
   * Returns the leases that this node holds.
   *
   * @return fencing numbers by lease key
   */
  public Map<String, Long> getHeldLeases() {
    return leases.getHeld(System.nanoTime()).entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().fencingNumber()));
  }

  /** Starts the ticks. */
  public void start() {
    task = timer.scheduleWithFixedDelay(this::safeTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Begins to release the leases; ticks go on until {@link #stop()}. */
  public synchronized void release() {
    isStopping = true;
    leases.stop();
  }

  /**
   * Tells whether all leases are released.
   *
   * @return true if none is held
   */
  public boolean isReleased() {
    return leases.isReleased();
  }

  /** Stops the ticks. */
  public void stop() {
    if (task != null) {
      task.cancel(false);
    }
  }

  private synchronized void onConfiguration(Configuration configuration) {
    long nowNanos = System.nanoTime();
    Map<String, Versioned<Contract>> contracts = configuration.contracts();
    contracts.forEach(
        (workspaceId, entry) -> {
          Long known = versionByWorkspace.put(workspaceId, entry.version());
          if (known == null || known != entry.version()) {
            grantor.setContract(entry.value(), nowNanos);
            holder.setContract(entry.value());
          }
        });
    versionByWorkspace
        .keySet()
        .removeIf(
            workspaceId -> {
              boolean isGone = !contracts.containsKey(workspaceId);
              if (isGone) {
                grantor.removeContract(workspaceId);
                holder.removeContract(workspaceId);
              }
              return isGone;
            });
    shards.clear();
    contracts.keySet().forEach(id -> shards.add(QuotaShard.of(id).index()));
  }

  private NodeId getHomeNode(QuotaShard shard) {
    List<NodeId> homes = HomeNodes.of(shard, getPlacedNodes(), null, 1);
    return homes.isEmpty() ? null : homes.get(0);
  }

  private List<HomeNodes.PlacedNode> getPlacedNodes() {
    return cluster.getLiveMembers().stream()
        .map(member -> new HomeNodes.PlacedNode(member.id(), member.place()))
        .toList();
  }

  private void safeTick() {
    try {
      tick();
    } catch (RuntimeException e) {
      LOG.error("tick of the limits failed; it runs again", e);
    }
  }

  private synchronized void tick() {
    long nowNanos = System.nanoTime();
    if (!isStopping && cluster.isReady()) {
      leases.setDuties(getDuties());
    }
    LeaseActions actions = leases.tick(nowNanos);
    // A leaving node still runs requests on slots of earlier grantors.
    grantor.setHeldLeases(leases.getHeld(nowNanos), cluster.getServingRuns(), nowNanos);
    actions.calls().forEach(this::call);
    send(actions.messages());
    send(grantor.tick(nowNanos));
    send(holder.tick(nowNanos));
  }

  private Map<String, List<NodeId>> getDuties() {
    NodeId self = cluster.getSelf().id();
    List<HomeNodes.PlacedNode> nodes = getPlacedNodes();
    Map<String, List<NodeId>> duties = new LinkedHashMap<>();
    for (int index : shards) {
      QuotaShard shard = new QuotaShard(index);
      List<NodeId> homes = HomeNodes.of(shard, nodes, null, nodes.size());
      if (!homes.isEmpty() && homes.get(0).equals(self)) {
        duties.put(shard.toLeaseKey(), getDeputies(homes, nodes));
      }
    }
    return duties;
  }

  /** Chooses deputies in other places first, so that the loss of a place leaves an elector. */
  private static List<NodeId> getDeputies(List<NodeId> homes, List<HomeNodes.PlacedNode> nodes) {
    Map<NodeId, String> placeById =
        nodes.stream()
            .collect(Collectors.toMap(HomeNodes.PlacedNode::id, HomeNodes.PlacedNode::place));
    Set<String> places = new HashSet<>();
    places.add(placeById.get(homes.get(0)));
    List<NodeId> deputies = new ArrayList<>();
    List<NodeId> others = new ArrayList<>();
    for (NodeId home : homes.subList(1, homes.size())) {
      if (places.add(placeById.get(home))) {
        deputies.add(home);
      } else {
        others.add(home);
      }
    }
    deputies.addAll(others);
    return List.copyOf(deputies.subList(0, Math.min(DEPUTY_COUNT, deputies.size())));
  }

  /**
   * Takes the proof that a run of a node has ended, so that its leases and units are free.
   *
   * @param node the run
   */
  public void onNodeEnded(NodeId node) {
    leases.onVmGone(node);
    grantor.removeHolder(node);
  }

  private void call(TableCall tableCall) {
    CompletableFuture<TableResult> result =
        tableCall instanceof TableCall.Transact transact
            ? table.transact(transact.operations())
            : table.get(((TableCall.Get) tableCall).key());
    result.thenAccept(
        answer -> leases.onTableResult(tableCall.callId(), answer, System.nanoTime()));
  }

  private void send(List<OutgoingMessage> messages) {
    messages.forEach(outgoing -> cluster.send(outgoing.to().address(), outgoing.message()));
  }

  private void onQuotaMessage(NodeId sender, PeerMessage message) {
    long nowNanos = System.nanoTime();
    if (message instanceof QuotaMessage.QuotaAsk ask) {
      cluster.send(sender.address(), grantor.onAsk(sender, ask, nowNanos));
    } else if (message instanceof QuotaMessage.QuotaGiven given) {
      holder.onGiven(sender, given, nowNanos);
    } else if (message instanceof QuotaMessage.QuotaTerms terms) {
      holder.onTerms(sender, terms);
    }
  }

  private void onPledgeMessage(NodeId sender, PeerMessage message) {
    long nowNanos = System.nanoTime();
    if (message instanceof PledgeMessage.PledgeAsk ask) {
      leases.onPledgeAsk(sender, ask, nowNanos);
    } else if (message instanceof PledgeMessage.PledgeGiven given) {
      leases.onPledgeGiven(sender, given, nowNanos);
    } else if (message instanceof PledgeMessage.PledgeRelease release) {
      leases.onPledgeRelease(sender, release);
    }
  }
}
