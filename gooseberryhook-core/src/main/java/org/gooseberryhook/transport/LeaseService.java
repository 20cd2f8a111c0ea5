package org.gooseberryhook.transport;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gooseberryhook.coordination.DutyLeaseKeeper;
import org.gooseberryhook.coordination.HeldLease;
import org.gooseberryhook.coordination.LeaseActions;
import org.gooseberryhook.coordination.LeaseTiming;
import org.gooseberryhook.coordination.OutgoingMessage;
import org.gooseberryhook.coordination.ShardNodeRanking;
import org.gooseberryhook.coordination.TableCall;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.PledgeMessage;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.NodeId;
import org.jboss.logging.Logger;

/**
 * Acquires, renews and releases the duty leases of a node. All duties share one {@link
 * DutyLeaseKeeper}, so that the leases of a node are renewed together.
 *
 * @since 0.1
 */
public final class LeaseService {

  private static final Logger LOG = Logger.getLogger(LeaseService.class);
  private static final long TICK_MS = 50;
  private static final int DEPUTY_COUNT = 2;

  private final ClusterService cluster;
  private final TableService table;
  private final ScheduledExecutorService timer;
  private final DutyLeaseKeeper keeper;
  private final List<DutySource> sources = new CopyOnWriteArrayList<>();
  private ScheduledFuture<?> task;
  private boolean isStopping;

  /**
   * Creates a service without duties.
   *
   * @param self this node
   * @param cluster members and messages
   * @param table the table service
   * @param timer runs the ticks, which never block
   */
  public LeaseService(
      NodeId self, ClusterService cluster, TableService table, ScheduledExecutorService timer) {
    this.cluster = cluster;
    this.table = table;
    this.timer = timer;
    this.keeper = new DutyLeaseKeeper(self, LeaseTiming.ofNodeCount(1));
    cluster.setHandler(PledgeMessage.class, this::onPledgeMessage);
  }

  /** A source of duties; its last result is kept when it fails. */
  private static final class DutySource {

    private final Function<Nodes, Map<String, List<NodeId>>> duties;
    private Map<String, List<NodeId>> lastDuties = Map.of();

    private DutySource(Function<Nodes, Map<String, List<NodeId>>> duties) {
      this.duties = duties;
    }

    private Map<String, List<NodeId>> get(Nodes nodes) {
      try {
        lastDuties = duties.apply(nodes);
      } catch (RuntimeException e) {
        LOG.error("duties could not be determined; the previous ones are kept", e);
      }
      return lastDuties;
    }
  }

  /**
   * Snapshot of the live nodes.
   *
   * @param self this node
   * @param liveNodes all live nodes, including this one
   * @since 0.1
   */
  public record Nodes(NodeId self, List<ShardNodeRanking.PlacedNode> liveNodes) {

    /**
     * Returns the deputies for a duty if this node is the most preferred one for it.
     *
     * @param rankedNodes all live nodes in order of preference for the duty
     * @return the deputies, best first; empty if another node should hold the duty
     */
    public Optional<List<NodeId>> getDeputies(List<NodeId> rankedNodes) {
      return rankedNodes.isEmpty() || !rankedNodes.get(0).equals(self)
          ? Optional.empty()
          : Optional.of(chooseDeputies(rankedNodes));
    }

    /**
     * Returns the deputies for a duty if this node is the most preferred one in the ranking by the
     * hash of the lease key.
     *
     * @param key key of the lease
     * @return the deputies, best first; empty if another node should hold the duty
     */
    public Optional<List<NodeId>> getDeputies(String key) {
      return getDeputies(ShardNodeRanking.rank(key, liveNodes, liveNodes.size()));
    }

    /**
     * Prefers deputies in other data centres, so that an elector remains if a data centre is lost.
     */
    private List<NodeId> chooseDeputies(List<NodeId> rankedNodes) {
      Map<NodeId, String> placeById =
          liveNodes.stream()
              .collect(
                  Collectors.toMap(
                      ShardNodeRanking.PlacedNode::id, ShardNodeRanking.PlacedNode::place));
      Set<String> usedPlaces = new HashSet<>();
      usedPlaces.add(placeById.get(rankedNodes.get(0)));
      List<NodeId> deputies = new ArrayList<>();
      List<NodeId> remaining = new ArrayList<>();
      for (NodeId node : rankedNodes.subList(1, rankedNodes.size())) {
        if (usedPlaces.add(placeById.get(node))) {
          deputies.add(node);
        } else {
          remaining.add(node);
        }
      }
      deputies.addAll(remaining);
      return List.copyOf(deputies.subList(0, Math.min(DEPUTY_COUNT, deputies.size())));
    }
  }

  /**
   * Adds a source of duties.
   *
   * @param source returns the leases that this node should hold, with their deputies; called at
   *     each tick, must not block
   */
  public void addDuties(Function<Nodes, Map<String, List<NodeId>>> source) {
    sources.add(new DutySource(source));
  }

  /**
   * Returns whether this node may act as the holder, by the monotonic clock. Must be called right
   * before each action.
   *
   * @param key key of the lease
   * @return true if the lease may be used
   */
  public boolean isHolder(String key) {
    return keeper.isHolder(key, System.nanoTime());
  }

  /**
   * Returns the leases that this node may use.
   *
   * @param prefix prefix of the keys
   * @return a copy, by key
   */
  public Map<String, HeldLease> getHeldLeases(String prefix) {
    Map<String, HeldLease> held = new LinkedHashMap<>(keeper.getHeldLeases(System.nanoTime()));
    held.keySet().removeIf(key -> !key.startsWith(prefix));
    return held;
  }

  /** Starts the ticks. */
  public void start() {
    task = timer.scheduleWithFixedDelay(this::safeTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Starts to release the leases; the ticks continue until {@link #stop()}. */
  public synchronized void release() {
    isStopping = true;
    keeper.stop();
  }

  /**
   * Returns whether all leases are released.
   *
   * @return true if none is held
   */
  public boolean isEverythingReleased() {
    return keeper.isEverythingReleased();
  }

  /** Stops the ticks. */
  public void stop() {
    if (task != null) {
      task.cancel(false);
    }
  }

  /**
   * Records the proof that a run of a node has ended, which frees its leases.
   *
   * @param node the run
   */
  public void onNodeEnded(NodeId node) {
    keeper.onNodeEnded(node);
  }

  private void safeTick() {
    try {
      tick();
    } catch (RuntimeException e) {
      LOG.error("lease tick failed; it runs again", e);
    }
  }

  private synchronized void tick() {
    if (!isStopping && cluster.isReady() && cluster.isJoined()) {
      Nodes nodes = getNodes();
      keeper.setTiming(LeaseTiming.ofNodeCount(nodes.liveNodes().size()));
      Map<String, List<NodeId>> duties = new LinkedHashMap<>();
      sources.forEach(source -> duties.putAll(source.get(nodes)));
      keeper.setDuties(duties);
    }
    LeaseActions actions = keeper.tick(System.nanoTime());
    actions.calls().forEach(this::call);
    for (OutgoingMessage outgoing : actions.messages()) {
      cluster.send(outgoing.to().address(), outgoing.message());
    }
  }

  private Nodes getNodes() {
    return new Nodes(
        cluster.getSelf().id(),
        cluster.getLiveMembers().stream()
            .map(member -> new ShardNodeRanking.PlacedNode(member.id(), member.place()))
            .toList());
  }

  private void call(TableCall tableCall) {
    CompletableFuture<TableResult> future =
        tableCall instanceof TableCall.Transact transact
            ? table.transact(transact.operations())
            : table.get(((TableCall.Get) tableCall).key());
    future.thenAccept(
        tableResult -> keeper.onTableResult(tableCall.callId(), tableResult, System.nanoTime()));
  }

  private void onPledgeMessage(NodeId sender, PeerMessage message) {
    long nowNanos = System.nanoTime();
    if (message instanceof PledgeMessage.PledgeAsk ask) {
      keeper.onPledgeAsk(sender, ask, nowNanos);
    } else if (message instanceof PledgeMessage.PledgeGiven given) {
      keeper.onPledgeGiven(sender, given, nowNanos);
    } else if (message instanceof PledgeMessage.PledgeRelease release) {
      keeper.onPledgeRelease(sender, release);
    }
  }
}
