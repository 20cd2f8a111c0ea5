package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.gooseberryhook.coordination.QuotaDecision.Bound;
import org.gooseberryhook.protocol.QuotaMessage.Grant;
import org.gooseberryhook.protocol.QuotaMessage.Need;
import org.gooseberryhook.protocol.QuotaMessage.QuotaAsk;
import org.gooseberryhook.protocol.QuotaMessage.QuotaGiven;
import org.gooseberryhook.protocol.QuotaMessage.QuotaTerms;
import org.gooseberryhook.protocol.QuotaMessage.ShardTerm;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;

/**
 * Grants units of the contracts in the shards whose duty lease this node holds. Thread-safe; shards
 * are locked one at a time. Times are of one monotonic clock, in nanoseconds.
 *
 * @since 0.1
 */
public final class QuotaGrantor {

  /** Time between announcements of this grantor to a node that has not reported yet. */
  static final long ANNOUNCE_PERIOD_NANOS = 500_000_000L;

  /** One shard; its monitor guards all fields. */
  private static final class Shard {
    private final Map<String, Contract> contracts = new HashMap<>();
    private final Map<String, QuotaLedger> ledgers = new HashMap<>();

    /** Nodes that may run requests on slots of earlier grantors and have not reported yet. */
    private final Set<NodeId> nodesWithUnknownSlots = new HashSet<>();

    /** Nodes that may hold units of earlier grantors and have not reported yet. */
    private final Set<NodeId> nodesWithUnknownUnits = new HashSet<>();

    private long term;
    private long grantsFromNanos;
    private long usableUntilNanos;
    private boolean isActive;
    private boolean areAllSlotsKnown;
    private long lastAnnouncedNanos;

    private boolean isUsable(long nowNanos) {
      return isActive && nowNanos < usableUntilNanos;
    }

    private QuotaLedger ledgerOf(String workspaceId) {
      Contract contract = contracts.get(workspaceId);
      if (contract == null) {
        return null;
      }
      QuotaLedger ledger =
          ledgers.computeIfAbsent(
              workspaceId, id -> new QuotaLedger(contract, term, grantsFromNanos));
      if (areAllSlotsKnown) {
        ledger.setAllSlotsKnown();
      }
      return ledger;
    }
  }

  private final NodeId self;
  private final RunningRequests running;
  private final Set<Integer> activeShards = ConcurrentHashMap.newKeySet();
  private final Shard[] shards = new Shard[QuotaShard.SHARD_COUNT];

  /**
   * Creates a grantor that holds no shard.
   *
   * @param self this node
   * @param running count of this node's running requests, shared with its holder
   */
  public QuotaGrantor(NodeId self, RunningRequests running) {
    this.self = self;
    this.running = running;
    for (int index = 0; index < shards.length; index++) {
      shards[index] = new Shard();
    }
  }

  /**
   * Sets a contract; a lowered bound applies at once, also to units already granted.
   *
   * @param contract the contract
   * @param nowNanos monotonic time
   */
  public void setContract(Contract contract, long nowNanos) {
    Shard shard = shardOf(contract.workspaceId());
    synchronized (shard) {
      shard.contracts.put(contract.workspaceId(), contract);
      QuotaLedger ledger = shard.ledgers.get(contract.workspaceId());
      if (ledger != null) {
        ledger.setContract(contract, nowNanos);
      }
    }
  }

  /**
   * Removes a contract; no more units are granted to its workspace.
   *
   * @param workspaceId the workspace
   */
  public void removeContract(String workspaceId) {
    Shard shard = shardOf(workspaceId);
    synchronized (shard) {
      shard.contracts.remove(workspaceId);
    }
  }

  /**
   * Starts, extends and ends terms according to the leases that this node holds. Must be called
   * after each tick of the lease keeper and before a lease is released.
   *
   * @param leases leases by key, as the lease keeper returns them; those of other duties are
   *     ignored
   * @param earlierHolders see {@link #beginTerm}
   * @param possiblyRunningNodes see {@link #beginTerm}
   * @param nowNanos monotonic time
   */
  public void setHeldLeases(
      Map<String, HeldLease> leases,
      Collection<NodeId> earlierHolders,
      Collection<NodeId> possiblyRunningNodes,
      long nowNanos) {
    Set<Integer> heldShards = new HashSet<>();
    leases.forEach(
        (key, lease) -> {
          QuotaShard shard = QuotaShard.ofLeaseKey(key);
          if (shard == null) {
            return;
          }
          heldShards.add(shard.index());
          long until = lease.usableUntilNanos();
          if (!extendTerm(shard.index(), lease.fencingNumber(), until)) {
            beginTerm(
                shard.index(),
                lease.fencingNumber(),
                until,
                earlierHolders,
                possiblyRunningNodes,
                nowNanos);
          }
        });
    for (int index : activeShards) {
      if (!heldShards.contains(index)) {
        endTerm(index);
      }
    }
  }

  /**
   * Starts granting for a shard after its lease was acquired. The buckets start empty, and nothing
   * is granted until all grants of earlier lease holders have expired, or every node that may have
   * such grants has reported and discarded them. The first term of a lease has no earlier holders
   * and grants at once.
   *
   * @param shardIndex the shard
   * @param term fencing number of the lease
   * @param usableUntilNanos time from which the lease may no longer be used
   * @param earlierHolders nodes that may still run requests on slots of earlier grantors; slots are
   *     granted once each has reported or is removed, or when the longest deadline has passed
   * @param possiblyRunningNodes all nodes that were ever seen and are not proved to have ended,
   *     whether or not they are thought to be alive; the holder on this node must have discarded
   *     its own units
   * @param nowNanos monotonic time
   */
  public void beginTerm(
      int shardIndex,
      long term,
      long usableUntilNanos,
      Collection<NodeId> earlierHolders,
      Collection<NodeId> possiblyRunningNodes,
      long nowNanos) {
    Shard shard = shards[shardIndex];
    synchronized (shard) {
      // A lease that expired here and was then confirmed late begins its term a second time.
      boolean isFirstTerm = term == DutyLease.FIRST_FENCING_NUMBER && shard.term < term;
      shard.term = term;
      shard.isActive = true;
      activeShards.add(shardIndex);
      shard.usableUntilNanos = usableUntilNanos;
      shard.grantsFromNanos =
          isFirstTerm
              ? nowNanos
              : nowNanos + QuotaLedger.GRANT_TTL_NANOS + QuotaLedger.EXPIRY_MARGIN_NANOS;
      shard.ledgers.clear();
      shard.nodesWithUnknownSlots.clear();
      if (!isFirstTerm) {
        shard.nodesWithUnknownSlots.addAll(earlierHolders);
      }
      shard.nodesWithUnknownSlots.remove(self);
      shard.nodesWithUnknownUnits.clear();
      shard.nodesWithUnknownUnits.addAll(possiblyRunningNodes);
      shard.nodesWithUnknownUnits.remove(self);
      startIfAllReported(shard, nowNanos);
      shard.areAllSlotsKnown = shard.nodesWithUnknownSlots.isEmpty();
      shard.lastAnnouncedNanos = nowNanos - ANNOUNCE_PERIOD_NANOS;
    }
  }

  /**
   * Records that the lease of the present term was renewed or frozen.
   *
   * @param shardIndex the shard
   * @param term fencing number of the lease
   * @param usableUntilNanos time from which the lease may no longer be used
   * @return false if {@code term} is not the present term
   */
  public boolean extendTerm(int shardIndex, long term, long usableUntilNanos) {
    Shard shard = shards[shardIndex];
    synchronized (shard) {
      boolean isPresent = shard.isActive && shard.term == term;
      if (isPresent) {
        shard.usableUntilNanos = usableUntilNanos;
      }
      return isPresent;
    }
  }

  /**
   * Stops granting for a shard. Must be called before the lease is released.
   *
   * @param shardIndex the shard
   */
  public void endTerm(int shardIndex) {
    Shard shard = shards[shardIndex];
    synchronized (shard) {
      shard.isActive = false;
      activeShards.remove(shardIndex);
      shard.ledgers.clear();
      shard.nodesWithUnknownSlots.clear();
      shard.nodesWithUnknownUnits.clear();
    }
  }

  /**
   * Frees the slots of a node whose process is known to have ended, for example because its VM was
   * removed from the VM list or a later incarnation runs at its address.
   *
   * @param node the node
   * @param nowNanos monotonic time
   */
  public void removeHolder(NodeId node, long nowNanos) {
    for (int index : activeShards) {
      Shard shard = shards[index];
      synchronized (shard) {
        onNodeReported(shard, node, nowNanos);
        shard.ledgers.values().forEach(ledger -> ledger.removeHolder(node));
      }
    }
  }

  /**
   * Returns whether this node grants units of a workspace now.
   *
   * @param workspaceId the workspace
   * @param nowNanos monotonic time
   * @return true if the lease of the shard may be used
   */
  public boolean isGrantorOf(String workspaceId, long nowNanos) {
    Shard shard = shardOf(workspaceId);
    synchronized (shard) {
      return shard.isUsable(nowNanos);
    }
  }

  /**
   * Returns the announcements that are due, to nodes that have yet to report.
   *
   * @param nowNanos monotonic time
   * @return messages to send
   */
  public List<OutgoingMessage> tick(long nowNanos) {
    Map<NodeId, List<ShardTerm>> due = new LinkedHashMap<>();
    for (int index : activeShards) {
      Shard shard = shards[index];
      synchronized (shard) {
        if (shard.isUsable(nowNanos)
            && !shard.nodesWithUnknownSlots.isEmpty()
            && nowNanos - shard.lastAnnouncedNanos >= ANNOUNCE_PERIOD_NANOS) {
          shard.lastAnnouncedNanos = nowNanos;
          for (NodeId node : shard.nodesWithUnknownSlots) {
            due.computeIfAbsent(node, id -> new ArrayList<>())
                .add(new ShardTerm(index, shard.term));
          }
        }
      }
    }
    return due.entrySet().stream()
        .map(entry -> new OutgoingMessage(entry.getKey(), new QuotaTerms(entry.getValue())))
        .toList();
  }

  /**
   * Handles a quota request. Duplicates and workspaces of other grantors are ignored.
   *
   * @param from the holder
   * @param request the quota request
   * @param nowNanos monotonic time
   * @return the grants; the list may be empty
   */
  public QuotaGiven onQuotaAsk(NodeId from, QuotaAsk request, long nowNanos) {
    List<Grant> grants = new ArrayList<>();
    for (Need need : request.needs()) {
      Shard shard = shardOf(need.workspaceId());
      synchronized (shard) {
        QuotaLedger ledger = shard.isUsable(nowNanos) ? shard.ledgerOf(need.workspaceId()) : null;
        if (ledger != null) {
          ledger.setOwnSlots(running.get(need.workspaceId()));
          Grant grant = ledger.processNeed(from, request.sequence(), need, nowNanos);
          if (grant != null) {
            grants.add(grant);
          }
        }
      }
    }
    for (ShardTerm complete : request.completeShards()) {
      Shard shard = shards[complete.shard()];
      synchronized (shard) {
        if (shard.isUsable(nowNanos) && shard.term == complete.term()) {
          onNodeReported(shard, from, nowNanos);
        }
      }
    }
    return new QuotaGiven(request.sequence(), grants);
  }

  /** Admits a request of this node directly from the bucket. */
  QuotaDecision tryAcquire(String workspaceId, long requestUnits, long tokenUnits, long nowNanos) {
    Shard shard = shardOf(workspaceId);
    synchronized (shard) {
      QuotaLedger ledger = shard.isUsable(nowNanos) ? shard.ledgerOf(workspaceId) : null;
      if (ledger == null) {
        return new QuotaDecision.Limited(0, Bound.AWAITING_GRANT);
      }
      ledger.setOwnSlots(running.get(workspaceId));
      QuotaDecision decision = ledger.tryAcquireLocal(requestUnits, tokenUnits, nowNanos);
      if (decision instanceof QuotaDecision.Admitted) {
        running.add(workspaceId, 1);
      }
      return decision;
    }
  }

  /** Settles a local admission; one of an earlier term is ignored. */
  void settle(QuotaAdmission admission, boolean hasRun, long unusedTokens, long nowNanos) {
    Shard shard = shardOf(admission.workspaceId());
    synchronized (shard) {
      QuotaLedger ledger = shard.ledgers.get(admission.workspaceId());
      if (ledger != null && shard.term == admission.term()) {
        ledger.settleLocal(admission, hasRun, unusedTokens, nowNanos);
      }
    }
  }

  private static void onNodeReported(Shard shard, NodeId node, long nowNanos) {
    if (shard.nodesWithUnknownUnits.remove(node)) {
      startIfAllReported(shard, nowNanos);
    }
    if (shard.nodesWithUnknownSlots.remove(node) && shard.nodesWithUnknownSlots.isEmpty()) {
      shard.areAllSlotsKnown = true;
      shard.ledgers.values().forEach(QuotaLedger::setAllSlotsKnown);
    }
  }

  private static void startIfAllReported(Shard shard, long nowNanos) {
    if (shard.nodesWithUnknownUnits.isEmpty() && nowNanos < shard.grantsFromNanos) {
      shard.grantsFromNanos = nowNanos;
      shard.ledgers.values().forEach(ledger -> ledger.startGrantingAt(nowNanos));
    }
  }

  private Shard shardOf(String workspaceId) {
    return shards[QuotaShard.of(workspaceId).index()];
  }
}
