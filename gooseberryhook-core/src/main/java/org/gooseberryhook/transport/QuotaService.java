package org.gooseberryhook.transport;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.HeldLease;
import org.gooseberryhook.coordination.OutgoingMessage;
import org.gooseberryhook.coordination.QuotaGrantor;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.QuotaShard;
import org.gooseberryhook.coordination.RunningRequests;
import org.gooseberryhook.coordination.ShardNodeRanking;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.QuotaMessage;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.Versioned;
import org.jboss.logging.Logger;

/**
 * Drives the quota grantor and the quota holder of this node, which enforce the limits of the
 * contracts.
 *
 * @since 0.1
 */
public final class QuotaService {

  private static final Logger LOG = Logger.getLogger(QuotaService.class);
  private static final long TICK_MS = 20;
  private static final String SHARD_LEASE_PREFIX = "duty/quota/";

  /**
   * Represents nodes that this one does not know of and that may hold units. It never reports, so a
   * new grantor waits until all grants of earlier grantors have expired.
   */
  private static final NodeId UNKNOWN_NODE = NodeId.of("unknown", 0);

  private final ClusterService cluster;
  private final ScheduledExecutorService timer;
  private final LeaseService leases;
  private final QuotaGrantor grantor;
  private final QuotaHolder holder;
  private final Map<String, Long> versionByWorkspace = new HashMap<>();
  private final Set<Integer> shardIndexes = ConcurrentHashMap.newKeySet();
  private ScheduledFuture<?> task;

  /**
   * Creates a service.
   *
   * @param self this node
   * @param cluster members, configuration and messages
   * @param leases holds the leases on the shards
   * @param timer runs the ticks, which never block
   */
  public QuotaService(
      NodeId self, ClusterService cluster, LeaseService leases, ScheduledExecutorService timer) {
    this.cluster = cluster;
    this.leases = leases;
    this.timer = timer;
    RunningRequests running = new RunningRequests();
    this.grantor = new QuotaGrantor(self, running);
    this.holder = new QuotaHolder(self, grantor, running, this::getPreferredNode);
    cluster.setHandler(QuotaMessage.class, this::onQuotaMessage);
    leases.addDuties(this::getDuties);
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

  /** Starts the ticks. */
  public void start() {
    task = timer.scheduleWithFixedDelay(this::safeTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
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
    shardIndexes.clear();
    contracts.keySet().forEach(id -> shardIndexes.add(QuotaShard.of(id).index()));
  }

  private NodeId getPreferredNode(QuotaShard shard) {
    List<NodeId> rankedNodes = ShardNodeRanking.rank(shard, getPlacedNodes(), null, 1);
    return rankedNodes.isEmpty() ? null : rankedNodes.get(0);
  }

  private List<ShardNodeRanking.PlacedNode> getPlacedNodes() {
    return cluster.getLiveMembers().stream()
        .map(member -> new ShardNodeRanking.PlacedNode(member.id(), member.place()))
        .toList();
  }

  private void safeTick() {
    try {
      tick();
    } catch (RuntimeException e) {
      LOG.error("quota tick failed; it runs again", e);
    }
  }

  private synchronized void tick() {
    long nowNanos = System.nanoTime();
    Map<String, HeldLease> held = leases.getHeldLeases(SHARD_LEASE_PREFIX);
    held.forEach(
        (key, lease) -> {
          QuotaShard shard = QuotaShard.ofLeaseKey(key);
          if (shard != null) {
            holder.discardUnitsBefore(shard.index(), lease.fencingNumber());
          }
        });
    Set<NodeId> unendedNodes = cluster.getUnendedRuns();
    unendedNodes.add(UNKNOWN_NODE);
    // A leaving node still runs requests on slots granted by earlier grantors.
    grantor.setHeldLeases(held, cluster.getServingRuns(), unendedNodes, nowNanos);
    send(grantor.tick(nowNanos));
    send(holder.tick(nowNanos));
  }

  private Map<String, List<NodeId>> getDuties(LeaseService.Nodes nodes) {
    Map<String, List<NodeId>> duties = new LinkedHashMap<>();
    for (int index : shardIndexes) {
      QuotaShard shard = new QuotaShard(index);
      nodes
          .getDeputies(
              ShardNodeRanking.rank(shard, nodes.liveNodes(), null, nodes.liveNodes().size()))
          .ifPresent(deputies -> duties.put(shard.toLeaseKey(), deputies));
    }
    return duties;
  }

  /**
   * Records the proof that a run of a node has ended, which frees its units.
   *
   * @param node the run
   */
  public synchronized void onNodeEnded(NodeId node) {
    grantor.removeHolder(node, System.nanoTime());
  }

  private void send(List<OutgoingMessage> messages) {
    messages.forEach(outgoing -> cluster.send(outgoing.to().address(), outgoing.message()));
  }

  private void onQuotaMessage(NodeId sender, PeerMessage message) {
    long nowNanos = System.nanoTime();
    if (message instanceof QuotaMessage.QuotaAsk ask) {
      cluster.send(sender.address(), grantor.onQuotaAsk(sender, ask, nowNanos));
    } else if (message instanceof QuotaMessage.QuotaGiven given) {
      holder.onQuotaGiven(sender, given, nowNanos);
    } else if (message instanceof QuotaMessage.QuotaTerms terms) {
      holder.onQuotaTerms(sender, terms);
    }
  }
}
