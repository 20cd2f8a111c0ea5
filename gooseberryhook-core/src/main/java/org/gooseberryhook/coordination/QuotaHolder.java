package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.gooseberryhook.coordination.QuotaDecision.Bound;
import org.gooseberryhook.protocol.QuotaMessage.Grant;
import org.gooseberryhook.protocol.QuotaMessage.Need;
import org.gooseberryhook.protocol.QuotaMessage.QuotaAsk;
import org.gooseberryhook.protocol.QuotaMessage.QuotaGiven;
import org.gooseberryhook.protocol.QuotaMessage.QuotaTerms;
import org.gooseberryhook.protocol.QuotaMessage.ShardTerm;
import org.gooseberryhook.protocol.QuotaUnits;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;

/**
 * Admits requests on one node: directly from the bucket where this node is the grantor, otherwise
 * from units that it requested from the grantor ahead of demand. Thread-safe; each workspace has
 * its own lock.
 *
 * @since 0.1
 */
public final class QuotaHolder {

  /** Time after which the state of a workspace without requests is removed. */
  private static final long IDLE_NANOS = 60_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MS = 1_000_000L;

  /** Longest time until a retry; refused requests that would come later all get this time. */
  private static final long MAX_RETRY_AFTER_NANOS = 10_000_000_000L;

  private record KnownGrantor(NodeId node, long term) {}

  private final NodeId self;
  private final QuotaGrantor ownGrantor;
  private final RunningRequests running;
  private final Function<QuotaShard, NodeId> homeNode;
  private final long grantTtlNanos;
  private final Map<String, Contract> contracts = new ConcurrentHashMap<>();
  private final Map<String, QuotaAllocation> allocations = new ConcurrentHashMap<>();
  private final Map<Integer, KnownGrantor> grantors = new ConcurrentHashMap<>();
  private final Map<Integer, Long> dueReportTerms = new ConcurrentHashMap<>();
  private final Map<String, Long> lastRetryNanos = new ConcurrentHashMap<>();
  private final AtomicLong lastSequence = new AtomicLong();

  /**
   * Creates a holder that has no units.
   *
   * @param self this node
   * @param ownGrantor grantor on the same node
   * @param running count of running requests, shared with the grantor
   * @param homeNode returns the node to send quota requests to while the grantor of a shard is not
   *     known; may return null
   */
  public QuotaHolder(
      NodeId self,
      QuotaGrantor ownGrantor,
      RunningRequests running,
      Function<QuotaShard, NodeId> homeNode) {
    this(self, ownGrantor, running, homeNode, QuotaLedger.GRANT_TTL_NANOS);
  }

  /**
   * Creates a holder with another lifetime of grants; only {@link QuotaLedger#GRANT_TTL_NANOS} is
   * safe.
   */
  QuotaHolder(
      NodeId self,
      QuotaGrantor ownGrantor,
      RunningRequests running,
      Function<QuotaShard, NodeId> homeNode,
      long grantTtlNanos) {
    this.grantTtlNanos = grantTtlNanos;
    this.self = self;
    this.ownGrantor = ownGrantor;
    this.running = running;
    this.homeNode = homeNode;
  }

  /**
   * Sets a contract.
   *
   * @param contract the contract
   */
  public void setContract(Contract contract) {
    contracts.put(contract.workspaceId(), contract);
  }

  /**
   * Removes a contract; requests of its workspace are no longer admitted.
   *
   * @param workspaceId the workspace
   */
  public void removeContract(String workspaceId) {
    contracts.remove(workspaceId);
    lastRetryNanos.remove(workspaceId);
    allocations.remove(workspaceId);
  }

  /**
   * Records the grantor of a shard; a term older than the known one is ignored.
   *
   * @param shard the shard
   * @param node the grantor
   * @param term fencing number of its lease
   */
  public void setGrantor(QuotaShard shard, NodeId node, long term) {
    grantors.merge(
        shard.index(),
        new KnownGrantor(node, term),
        (known, given) -> given.term() >= known.term() ? given : known);
  }

  /**
   * Tries to admit a request. Nothing is charged unless the result is {@link
   * QuotaDecision.Admitted}.
   *
   * @param workspaceId the workspace
   * @param requestUnits request units, at least 1
   * @param tokenUnits estimated tokens, at least 0
   * @param nowNanos the time, read just before the call
   * @return the decision
   */
  public QuotaDecision tryAdmit(
      String workspaceId, long requestUnits, long tokenUnits, long nowNanos) {
    Contract contract = contracts.get(workspaceId);
    if (contract == null) {
      return new QuotaDecision.Limited(0, Bound.AWAITING_GRANT);
    }
    if (requestUnits > contract.requestBurst() || tokenUnits > contract.tokenBurst()) {
      return new QuotaDecision.Limited(0, Bound.BURST);
    }
    boolean isOwn = ownGrantor.isGrantorOf(workspaceId, nowNanos);
    QuotaAllocation allocation =
        isOwn
            ? allocations.get(workspaceId)
            : allocations.computeIfAbsent(
                workspaceId, id -> new QuotaAllocation(id, grantTtlNanos, nowNanos));
    if (allocation != null) {
      synchronized (allocation) {
        boolean isUsable =
            !allocation.isExpired(nowNanos) && allocation.canAcquire(requestUnits, tokenUnits);
        if (isUsable || !isOwn) {
          QuotaDecision decision = allocation.tryAcquire(requestUnits, tokenUnits, nowNanos);
          if (decision instanceof QuotaDecision.Admitted) {
            running.add(workspaceId, 1);
          }
          return decision;
        }
      }
    }
    return ownGrantor.tryAcquire(workspaceId, requestUnits, tokenUnits, nowNanos);
  }

  /**
   * Returns the time after which the caller of a refused request should retry. Retries are spread
   * at the rate of the contract; with the same short time for all, callers would use up their
   * retries on the same few units.
   *
   * @param workspaceId the workspace
   * @param limited the refusal
   * @param tokenUnits estimated tokens of the request
   * @param nowNanos monotonic time
   * @return milliseconds, at least 1; 0 if a retry cannot succeed
   */
  public long getRetryAfterMs(
      String workspaceId, QuotaDecision.Limited limited, long tokenUnits, long nowNanos) {
    Contract contract = contracts.get(workspaceId);
    if (contract == null || limited.bound() == Bound.BURST) {
      return limited.retryAfterMs();
    }
    double seconds =
        Math.max(1 / contract.requestsPerSecond(), tokenUnits / contract.tokensPerSecond());
    long firstNanos = nowNanos + limited.retryAfterMs() * NANOS_PER_MS;
    long latestNanos = nowNanos + MAX_RETRY_AFTER_NANOS;
    long retryNanos =
        lastRetryNanos.merge(
            workspaceId,
            firstNanos,
            (last, first) -> {
              long next = last + (long) (seconds * NANOS_PER_SECOND);
              return next - first > 0 ? Math.min(next, latestNanos) : first;
            });
    return Math.max(1, (retryNanos - nowNanos) / NANOS_PER_MS);
  }

  /**
   * Settles an admission. Must be called exactly once for each, at the latest when the request's
   * deadline has passed.
   *
   * @param admission the admission
   * @param hasRun false if the request was refused later or did not run; it is then not charged
   * @param actualTokens tokens that ran; those above the estimate become a debt
   * @param nowNanos monotonic time
   */
  public void settle(QuotaAdmission admission, boolean hasRun, long actualTokens, long nowNanos) {
    long unusedTokens = admission.tokenUnits() - (hasRun ? actualTokens : 0);
    if (admission.isLocal() && ownGrantor.isGrantorOf(admission.workspaceId(), nowNanos)) {
      running.add(admission.workspaceId(), -1);
      ownGrantor.settle(admission, hasRun, unusedTokens, nowNanos);
      return;
    }
    QuotaAllocation allocation =
        allocations.computeIfAbsent(
            admission.workspaceId(), id -> new QuotaAllocation(id, grantTtlNanos, nowNanos));
    synchronized (allocation) {
      running.add(admission.workspaceId(), -1);
      allocation.settle(admission, hasRun, unusedTokens, nowNanos);
    }
  }

  /**
   * Returns the quota requests that are due, one message per grantor. Must be called every 10 to 20
   * ms.
   *
   * @param nowNanos monotonic time
   * @return messages to send at once; the lifetime of the units granted in return starts at {@code
   *     nowNanos}
   */
  public List<OutgoingMessage> tick(long nowNanos) {
    Map<NodeId, Set<String>> due = new LinkedHashMap<>();
    Map<NodeId, List<ShardTerm>> complete = new HashMap<>();
    addReports(due, complete, nowNanos);
    for (Map.Entry<String, QuotaAllocation> entry : allocations.entrySet()) {
      NodeId grantor = getGrantorIfDue(entry.getKey(), entry.getValue(), nowNanos);
      if (grantor != null) {
        due.computeIfAbsent(grantor, id -> new LinkedHashSet<>()).add(entry.getKey());
      }
    }
    List<OutgoingMessage> messages = new ArrayList<>();
    for (Map.Entry<NodeId, Set<String>> entry : due.entrySet()) {
      List<ShardTerm> shards = complete.getOrDefault(entry.getKey(), List.of());
      messages.add(toQuotaAsk(entry.getKey(), entry.getValue(), shards, nowNanos));
    }
    return messages;
  }

  /**
   * Discards the units that another grantor granted for a shard whose lease this node holds now.
   * Must be called before {@link QuotaGrantor#beginTerm}.
   *
   * @param shardIndex the shard
   * @param term fencing number of the lease
   */
  public void discardUnitsBefore(int shardIndex, long term) {
    setGrantor(new QuotaShard(shardIndex), self, term);
    allocations.forEach(
        (workspaceId, allocation) -> {
          if (QuotaShard.of(workspaceId).index() == shardIndex) {
            synchronized (allocation) {
              allocation.discardUnitsBefore(term);
            }
          }
        });
  }

  /**
   * Applies the grants of a grantor.
   *
   * @param from the grantor
   * @param response the grants
   * @param nowNanos monotonic time
   */
  public void onQuotaGiven(NodeId from, QuotaGiven response, long nowNanos) {
    for (Grant grant : response.grants()) {
      QuotaAllocation allocation = allocations.get(grant.workspaceId());
      if (allocation == null) {
        continue;
      }
      QuotaShard shard = QuotaShard.of(grant.workspaceId());
      KnownGrantor known = grantors.get(shard.index());
      long knownTerm = known == null ? 0 : known.term();
      synchronized (allocation) {
        if (allocation.acceptGrant(from, response.sequence(), grant, knownTerm, nowNanos)) {
          setGrantor(shard, from, grant.term());
        }
      }
    }
  }

  /**
   * Applies an announcement of a grantor; the next tick reports everything that this node has of
   * its shards.
   *
   * @param from the grantor
   * @param terms the announcement
   */
  public void onQuotaTerms(NodeId from, QuotaTerms terms) {
    for (ShardTerm term : terms.terms()) {
      QuotaShard shard = new QuotaShard(term.shard());
      setGrantor(shard, from, term.term());
      KnownGrantor known = grantors.get(term.shard());
      if (known.term() == term.term()) {
        dueReportTerms.put(term.shard(), term.term());
      }
    }
  }

  private void addReports(
      Map<NodeId, Set<String>> due, Map<NodeId, List<ShardTerm>> complete, long nowNanos) {
    if (dueReportTerms.isEmpty()) {
      return;
    }
    Map<Integer, Long> reported = new HashMap<>(dueReportTerms);
    reported.forEach(dueReportTerms::remove);
    reported.forEach(
        (shard, term) -> {
          NodeId grantor = grantors.get(shard).node();
          if (grantor == null || grantors.get(shard).term() != term) {
            return;
          }
          due.computeIfAbsent(grantor, id -> new LinkedHashSet<>());
          complete
              .computeIfAbsent(grantor, id -> new ArrayList<>())
              .add(new ShardTerm(shard, term));
        });
    Set<String> workspaces = new LinkedHashSet<>(running.getWorkspaces());
    workspaces.addAll(allocations.keySet());
    for (String workspaceId : workspaces) {
      int shard = QuotaShard.of(workspaceId).index();
      NodeId grantor = reported.containsKey(shard) ? grantors.get(shard).node() : null;
      if (grantor != null && due.containsKey(grantor)) {
        QuotaAllocation allocation =
            allocations.computeIfAbsent(
                workspaceId, id -> new QuotaAllocation(id, grantTtlNanos, nowNanos));
        synchronized (allocation) {
          allocation.discardUnitsBefore(grantors.get(shard).term());
        }
        due.get(grantor).add(workspaceId);
      }
    }
  }

  private NodeId getGrantorIfDue(String workspaceId, QuotaAllocation allocation, long nowNanos) {
    Contract contract = contracts.get(workspaceId);
    long slotsInUse = running.get(workspaceId);
    QuotaShard shard = QuotaShard.of(workspaceId);
    synchronized (allocation) {
      if (allocation.isIdle(nowNanos, slotsInUse, IDLE_NANOS)) {
        allocations.remove(workspaceId, allocation);
        return null;
      }
      boolean isDue =
          contract != null && allocation.isQuotaRequestDue(nowNanos, contract, slotsInUse);
      if (!isDue || ownGrantor.isGrantorOf(workspaceId, nowNanos)) {
        return null;
      }
      if (allocation.isGrantorUnresponsive()) {
        grantors.computeIfPresent(
            shard.index(), (index, known) -> new KnownGrantor(null, known.term()));
      }
    }
    KnownGrantor known = grantors.get(shard.index());
    NodeId node = known == null || known.node() == null ? homeNode.apply(shard) : known.node();
    return self.equals(node) ? null : node;
  }

  private OutgoingMessage toQuotaAsk(
      NodeId grantor, Set<String> workspaces, List<ShardTerm> complete, long nowNanos) {
    long sequence = lastSequence.incrementAndGet();
    List<Need> needs = new ArrayList<>();
    for (String workspaceId : workspaces) {
      Contract contract = contracts.get(workspaceId);
      QuotaAllocation allocation = allocations.get(workspaceId);
      long slotsInUse = running.get(workspaceId);
      if (contract == null || allocation == null) {
        QuotaUnits inUse = QuotaUnits.of(0, 0, slotsInUse);
        needs.add(new Need(workspaceId, 0, QuotaUnits.NONE, inUse, QuotaUnits.NONE, 0, List.of()));
        continue;
      }
      synchronized (allocation) {
        needs.add(allocation.prepareNeed(grantor, sequence, contract, slotsInUse, nowNanos));
      }
    }
    return new OutgoingMessage(grantor, new QuotaAsk(sequence, needs, complete));
  }
}
