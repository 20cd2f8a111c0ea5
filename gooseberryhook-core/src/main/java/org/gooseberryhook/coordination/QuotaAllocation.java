package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.coordination.QuotaDecision.Bound;
import org.gooseberryhook.protocol.QuotaMessage.Correction;
import org.gooseberryhook.protocol.QuotaMessage.Grant;
import org.gooseberryhook.protocol.QuotaMessage.Need;
import org.gooseberryhook.protocol.QuotaUnits;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;

/**
 * Units of one workspace that a holder may spend, with their expiry, the predicted demand, and the
 * corrections that its grantor has yet to receive. Not thread-safe.
 */
final class QuotaAllocation {

  /** Longest time between quota requests while there is demand; a quarter of a grant's lifetime. */
  static final long MAX_INTERVAL_NANOS = 500_000_000L;

  /**
   * Shortest time between periodic quota requests; bounds control traffic for contracts with a
   * small burst.
   */
  static final long MIN_INTERVAL_NANOS = 50_000_000L;

  /** Time after which an unanswered quota request is repeated. */
  static final long GRANT_TIMEOUT_NANOS = 200_000_000L;

  /** Shortest time between quota requests while a request waits for units. */
  static final long MIN_URGENT_INTERVAL_NANOS = 10_000_000L;

  /** Unanswered quota requests after which the grantor is looked up again. */
  private static final int MAX_UNANSWERED = 3;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int MAX_CORRECTIONS = 8;

  /**
   * Quota requests within the time in which a whole burst accrues, so that the bucket can refill
   * despite use that is not reported yet.
   */
  private static final double INTERVALS_PER_BURST = 3;

  /** Factor by which a quota request exceeds what was admitted while requests wait. */
  private static final long GROWTH_FACTOR = 2;

  /** Units are held for this multiple of the demand predicted for one interval. */
  private static final double PREFETCH_INTERVALS = 1.25;

  /**
   * Predicted requests per interval below which a node holds no units in advance and requests them
   * when a request arrives.
   */
  private static final double MIN_PREFETCH_REQUESTS = 0.5;

  /**
   * Weight of the newest interval in the demand average, which follows a shift of load within three
   * intervals.
   */
  private static final double DEMAND_WEIGHT = 0.5;

  private final String workspaceId;
  private final long grantTtlNanos;
  private long term;
  private long requests;
  private long tokens;
  private long slots;
  private long spentRequests;
  private long spentTokens;
  private long expiresNanos;
  private long stamp;
  private boolean hasGrant;

  private NodeId lastGrantor;
  private long lastSequence;
  private long lastSentNanos;
  private boolean isAwaitingGrant;
  private int unansweredCount;
  private long reportedRunning;
  private QuotaUnits requestedUnits = QuotaUnits.NONE;
  private long intervalNanos = MAX_INTERVAL_NANOS;
  private long nextUrgentNanos;
  private int retryAfterHintMs;

  private double requestsPerSecond;
  private double tokensPerSecond;
  private double admissionsPerSecond;
  private long admittedRequests;
  private long admittedTokens;
  private long admissions;
  private long refusedTries;
  private long largestRefusedRequests;
  private long largestRefusedTokens;
  private long lastUsedNanos;

  private final List<Correction> corrections = new ArrayList<>();
  private long refundRequests;
  private long refundTokens;
  private long refundStamp;
  private long creditTokens;
  private long debtTokens;

  QuotaAllocation(String workspaceId, long grantTtlNanos, long nowNanos) {
    this.workspaceId = workspaceId;
    this.grantTtlNanos = grantTtlNanos;
    this.lastSentNanos = nowNanos - MAX_INTERVAL_NANOS;
    this.nextUrgentNanos = nowNanos;
    this.lastUsedNanos = nowNanos;
  }

  boolean isExpired(long nowNanos) {
    return !hasGrant || nowNanos - expiresNanos >= 0;
  }

  /** Acquires units, or records the unmet demand for the next quota request. */
  QuotaDecision tryAcquire(long requestUnits, long tokenUnits, long nowNanos) {
    discardIfExpired(nowNanos);
    lastUsedNanos = nowNanos;
    if (!canAcquire(requestUnits, tokenUnits)) {
      refusedTries++;
      largestRefusedRequests = Math.max(largestRefusedRequests, requestUnits);
      largestRefusedTokens = Math.max(largestRefusedTokens, tokenUnits);
      return new QuotaDecision.Limited(
          Math.max(MIN_URGENT_INTERVAL_NANOS / NANOS_PER_MS, retryAfterHintMs),
          getLimitingBound(requestUnits));
    }
    requests -= requestUnits;
    tokens -= tokenUnits;
    slots--;
    spentRequests += requestUnits;
    spentTokens += tokenUnits;
    admissions++;
    admittedRequests += requestUnits;
    admittedTokens += tokenUnits;
    return new QuotaDecision.Admitted(
        new QuotaAdmission(workspaceId, term, stamp, requestUnits, tokenUnits, false));
  }

  /**
   * Discards units of an earlier grantor, so that the present one need not wait for their expiry.
   */
  void discardUnitsBefore(long presentTerm) {
    if (term < presentTerm) {
      hasGrant = false;
      requests = 0;
      tokens = 0;
      slots = 0;
    }
  }

  boolean canAcquire(long requestUnits, long tokenUnits) {
    return hasGrant
        && debtTokens == 0
        && requests >= requestUnits
        && tokens >= tokenUnits
        && slots >= 1;
  }

  private Bound getLimitingBound(long requestUnits) {
    if (!hasGrant || retryAfterHintMs == 0) {
      return Bound.AWAITING_GRANT;
    }
    if (requests < requestUnits) {
      return Bound.REQUESTS;
    }
    return slots < 1 ? Bound.CONCURRENCY : Bound.TOKENS;
  }

  /**
   * Records the end of a request; its slot becomes free for the next one. Negative {@code
   * unusedTokens} become a debt.
   */
  void settle(QuotaAdmission admission, boolean hasRun, long unusedTokens, long nowNanos) {
    discardIfExpired(nowNanos);
    if (hasGrant) {
      slots++;
    }
    if (unusedTokens < 0) {
      debtTokens -= unusedTokens;
      payDebt();
    }
    if (admission.isLocal() || admission.term() != term) {
      return;
    }
    if (hasRun) {
      creditTokens += Math.max(0, unusedTokens);
      return;
    }
    boolean isFirst = refundRequests == 0 && refundTokens == 0;
    refundStamp = isFirst ? admission.stamp() : Math.min(refundStamp, admission.stamp());
    refundRequests += admission.requestUnits();
    refundTokens += unusedTokens;
  }

  /** Returns whether a quota request should be sent now. */
  boolean isQuotaRequestDue(long nowNanos, Contract contract, long running) {
    if (isAwaitingGrant) {
      return nowNanos - lastSentNanos >= GRANT_TIMEOUT_NANOS;
    }
    if ((refusedTries > 0 || debtTokens > 0) && nowNanos - nextUrgentNanos >= 0) {
      return true;
    }
    return nowNanos - lastSentNanos >= toIntervalNanos(contract) && hasStateToReport(running);
  }

  private boolean hasStateToReport(long running) {
    return requests > 0
        || tokens > 0
        || slots > 0
        || admissions > 0
        || refusedTries > 0
        || running != reportedRunning
        || refundTokens > 0
        || refundRequests > 0
        || creditTokens > 0
        || debtTokens > 0
        || !corrections.isEmpty();
  }

  /** Returns whether the allocation can be removed. */
  boolean isIdle(long nowNanos, long running, long idleNanos) {
    return running == 0 && !hasStateToReport(running) && nowNanos - lastUsedNanos >= idleNanos;
  }

  static long toIntervalNanos(Contract contract) {
    double burstSeconds =
        Math.min(
            contract.requestBurst() / contract.requestsPerSecond(),
            contract.tokenBurst() / contract.tokensPerSecond());
    double nanos = burstSeconds * NANOS_PER_SECOND / INTERVALS_PER_BURST;
    return (long) Math.max(MIN_INTERVAL_NANOS, Math.min(MAX_INTERVAL_NANOS, nanos));
  }

  /**
   * Builds this workspace's part of the next quota request, which returns units above the predicted
   * demand to the grantor.
   */
  Need prepareNeed(NodeId grantor, long sequence, Contract contract, long running, long nowNanos) {
    discardIfExpired(nowNanos);
    unansweredCount = isAwaitingGrant ? unansweredCount + 1 : 0;
    long lastRequests = admittedRequests;
    long lastTokens = admittedTokens;
    long lastAdmissions = admissions;
    updateDemand(Math.max(1, nowNanos - lastSentNanos));
    double horizonSeconds = PREFETCH_INTERVALS * toIntervalNanos(contract) / NANOS_PER_SECOND;
    boolean isPrefetched = admissionsPerSecond * horizonSeconds >= MIN_PREFETCH_REQUESTS;
    double prefetchSeconds = isPrefetched ? horizonSeconds : 0;
    // The number of waiting requests is not known, as each is tried many times. So twice what was
    // admitted is requested, which meets any demand after a few quota requests.
    long growth = refusedTries > 0 ? GROWTH_FACTOR : 0;
    long targetRequests =
        toTargetUnits(
            requestsPerSecond * prefetchSeconds,
            Math.max(largestRefusedRequests, growth * lastRequests),
            contract.requestBurst());
    long targetTokens =
        toTargetUnits(
            tokensPerSecond * prefetchSeconds,
            Math.max(largestRefusedTokens, growth * lastTokens),
            contract.tokenBurst());
    long targetSlots =
        toTargetUnits(
            admissionsPerSecond * prefetchSeconds,
            Math.max(Math.min(1, refusedTries), growth * lastAdmissions),
            contract.maxConcurrentRequests());
    requests = Math.min(requests, targetRequests);
    tokens = Math.min(tokens, targetTokens);
    slots = Math.min(slots, targetSlots);
    addCorrections(sequence);
    lastGrantor = grantor;
    lastSequence = sequence;
    lastSentNanos = nowNanos;
    isAwaitingGrant = true;
    reportedRunning = running;
    intervalNanos = toIntervalNanos(contract);
    requestedUnits =
        QuotaUnits.of(targetRequests - requests, targetTokens - tokens, targetSlots - slots);
    long leastTokens =
        Math.max(0, Math.min(requestedUnits.tokens(), largestRefusedTokens - tokens));
    refusedTries = 0;
    largestRefusedRequests = 0;
    largestRefusedTokens = 0;
    return new Need(
        workspaceId,
        term,
        QuotaUnits.of(requests, tokens, slots),
        QuotaUnits.of(spentRequests, spentTokens, running),
        requestedUnits,
        leastTokens,
        List.copyOf(corrections));
  }

  private static long toTargetUnits(double predicted, long minUnits, double burst) {
    return (long) Math.min(burst, Math.max(Math.ceil(predicted), minUnits));
  }

  private void updateDemand(long elapsedNanos) {
    double seconds = elapsedNanos / NANOS_PER_SECOND;
    double weight = 1 - Math.pow(1 - DEMAND_WEIGHT, (double) elapsedNanos / MAX_INTERVAL_NANOS * 2);
    long growth = refusedTries > 0 ? GROWTH_FACTOR : 1;
    requestsPerSecond += weight * (growth * admittedRequests / seconds - requestsPerSecond);
    tokensPerSecond += weight * (growth * admittedTokens / seconds - tokensPerSecond);
    admissionsPerSecond += weight * (growth * admissions / seconds - admissionsPerSecond);
    admissions = 0;
    admittedRequests = 0;
    admittedTokens = 0;
  }

  private void addCorrections(long sequence) {
    if (corrections.size() > MAX_CORRECTIONS - 3) {
      return;
    }
    if (refundRequests > 0 || refundTokens > 0) {
      corrections.add(new Correction(sequence, refundStamp, refundRequests, refundTokens, false));
      refundRequests = 0;
      refundTokens = 0;
    }
    if (creditTokens > 0) {
      corrections.add(new Correction(sequence, stamp, 0, creditTokens, true));
      creditTokens = 0;
    }
    if (debtTokens > 0) {
      corrections.add(new Correction(sequence, stamp, 0, -debtTokens, true));
      debtTokens = 0;
    }
  }

  /** Returns whether so many quota requests stayed unanswered that the grantor may have changed. */
  boolean isGrantorUnresponsive() {
    return isAwaitingGrant && unansweredCount >= MAX_UNANSWERED;
  }

  /**
   * Applies a grant if it answers the latest quota request, is not of an older term and has not
   * expired.
   *
   * @return true if the grant was applied
   */
  boolean acceptGrant(NodeId from, long sequence, Grant grant, long knownTerm, long nowNanos) {
    discardIfExpired(nowNanos);
    boolean isExpected =
        isAwaitingGrant
            && sequence == lastSequence
            && from.equals(lastGrantor)
            && grant.term() >= knownTerm;
    long newExpiry = lastSentNanos + grantTtlNanos;
    if (!isExpected || nowNanos - newExpiry >= 0) {
      return false;
    }
    isAwaitingGrant = false;
    if (grant.term() != term) {
      startTerm(grant.term());
    } else {
      corrections.removeIf(sent -> sent.firstSequence() <= sequence);
    }
    if (!grant.keepsHeld() || !hasGrant) {
      requests = 0;
      tokens = 0;
      slots = 0;
    }
    requests += grant.granted().requests();
    tokens += grant.granted().tokens();
    slots = Math.max(0, slots + grant.granted().slots());
    stamp = grant.stamp();
    expiresNanos = newExpiry;
    hasGrant = true;
    payDebt();
    retryAfterHintMs = grant.retryAfterMs();
    // After a partial grant the contract's bound is reached, so sending sooner would only add
    // messages.
    boolean isPartialGrant =
        grant.granted().requests() < requestedUnits.requests()
            || grant.granted().tokens() < requestedUnits.tokens()
            || grant.granted().slots() < requestedUnits.slots();
    nextUrgentNanos = lastSentNanos + (isPartialGrant ? intervalNanos : MIN_URGENT_INTERVAL_NANOS);
    return true;
  }

  private void startTerm(long newTerm) {
    term = newTerm;
    hasGrant = false;
    spentRequests = 0;
    spentTokens = 0;
    refundRequests = 0;
    refundTokens = 0;
    creditTokens = 0;
    // A debt belongs to the workspace, so it is reported to the new grantor.
    for (Correction correction : corrections) {
      debtTokens += Math.max(0, -correction.tokens());
    }
    corrections.clear();
  }

  private void payDebt() {
    long paid = hasGrant ? Math.min(debtTokens, tokens) : 0;
    tokens -= paid;
    spentTokens += paid;
    debtTokens -= paid;
  }

  private void discardIfExpired(long nowNanos) {
    if (hasGrant && nowNanos - expiresNanos >= 0) {
      hasGrant = false;
      requests = 0;
      tokens = 0;
      slots = 0;
    }
  }
}
