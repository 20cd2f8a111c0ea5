package org.gooseberryhook.coordination;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.gooseberryhook.coordination.QuotaDecision.Bound;
import org.gooseberryhook.protocol.QuotaMessage.Correction;
import org.gooseberryhook.protocol.QuotaMessage.Grant;
import org.gooseberryhook.protocol.QuotaMessage.Need;
import org.gooseberryhook.protocol.QuotaUnits;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;

/**
 * A grantor's ledger for one workspace in one term: the buckets and the units that each holder has.
 * Not thread-safe.
 */
final class QuotaLedger {

  /** Time for which units may be used, counted from just before the quota request was sent. */
  static final long GRANT_TTL_NANOS = 2_000_000_000L;

  /** Margin for clocks that run at slightly different rates; 5% is far above real drift. */
  static final long EXPIRY_MARGIN_NANOS = GRANT_TTL_NANOS / 20;

  private static final long NANOS_PER_MS = 1_000_000L;

  /**
   * Retry time while holders have yet to report; announcements are repeated after the same time.
   */
  private static final long REPORT_WAIT_MS = 500;

  /** Time after its expiry at which the account of a holder without slots is removed. */
  private static final long ACCOUNT_IDLE_NANOS = 60_000_000_000L;

  /** A quota request gets this share of what is free, so that some is left for other holders. */
  private static final double GRANT_SHARE = 0.5;

  /** What one holder has and has reported. */
  private static final class Account {
    private long firstStamp;
    private long lastSequence;
    private QuotaUnits reportedSpent = QuotaUnits.NONE;
    private long requests;
    private long tokens;
    private long slots;
    private long expiresNanos;
    private long slotsExpireNanos;
  }

  private final long term;
  private long grantsFromNanos;
  private final Map<NodeId, Account> accounts = new HashMap<>();
  private final QuotaBucket requests;
  private final QuotaBucket tokens;
  private Contract contract;
  private long ownSlots;

  /** Increases with each event; the value after a grant is the stamp of what is spent from it. */
  private long position;

  private long slotsUnknownUntilNanos;
  private boolean areAllSlotsKnown;

  /**
   * Creates a ledger with empty buckets and no holders.
   *
   * @param contract the contract
   * @param term fencing number of the lease
   * @param grantsFromNanos time at which all units of earlier grantors have expired
   */
  QuotaLedger(Contract contract, long term, long grantsFromNanos) {
    this.contract = contract;
    this.term = term;
    this.grantsFromNanos = grantsFromNanos;
    this.slotsUnknownUntilNanos = grantsFromNanos + contract.maxDeadlineMs() * NANOS_PER_MS;
    this.requests =
        new QuotaBucket(contract.requestsPerSecond(), contract.requestBurst(), grantsFromNanos);
    this.tokens =
        new QuotaBucket(contract.tokensPerSecond(), contract.tokenBurst(), grantsFromNanos);
  }

  void setContract(Contract newContract, long nowNanos) {
    contract = newContract;
    long from = Math.max(nowNanos, grantsFromNanos);
    requests.setBounds(
        newContract.requestsPerSecond(), newContract.requestBurst(), from, ++position);
    tokens.setBounds(newContract.tokensPerSecond(), newContract.tokenBurst(), from, position);
  }

  /** Starts granting, because no unit of an earlier grantor can be used any more. */
  void startGrantingAt(long nowNanos) {
    if (nowNanos < grantsFromNanos) {
      grantsFromNanos = nowNanos;
      requests.startRefillAt(nowNanos);
      tokens.startRefillAt(nowNanos);
    }
  }

  /** Records that all used slots of earlier grantors are known. */
  void setAllSlotsKnown() {
    areAllSlotsKnown = true;
  }

  /** Sets the slots that requests of this node use, whichever grantor granted them. */
  void setOwnSlots(long slots) {
    ownSlots = slots;
  }

  /** Frees the slots of a node whose process is known to have ended. */
  void removeHolder(NodeId holder) {
    Account account = accounts.get(holder);
    if (account != null) {
      account.slots = 0;
    }
  }

  QuotaDecision tryAcquireLocal(long requestUnits, long tokenUnits, long nowNanos) {
    if (requestUnits > contract.requestBurst() || tokenUnits > contract.tokenBurst()) {
      return new QuotaDecision.Limited(0, Bound.BURST);
    }
    if (nowNanos < grantsFromNanos) {
      long waitMs = (grantsFromNanos - nowNanos) / NANOS_PER_MS + 1;
      return new QuotaDecision.Limited(waitMs, Bound.AWAITING_GRANT);
    }
    advance(nowNanos);
    if (isAwaitingReports(nowNanos)) {
      return new QuotaDecision.Limited(REPORT_WAIT_MS, Bound.AWAITING_GRANT);
    }
    if (getFreeSlots(nowNanos) < 1) {
      return new QuotaDecision.Limited(retryAfterMs(requestUnits, tokenUnits), Bound.CONCURRENCY);
    }
    if (requests.getLevel() < requestUnits) {
      return new QuotaDecision.Limited(retryAfterMs(requestUnits, tokenUnits), Bound.REQUESTS);
    }
    if (tokens.getLevel() < tokenUnits) {
      return new QuotaDecision.Limited(retryAfterMs(requestUnits, tokenUnits), Bound.TOKENS);
    }
    requests.spend(requestUnits);
    tokens.spend(tokenUnits);
    ownSlots++;
    return new QuotaDecision.Admitted(
        new QuotaAdmission(
            contract.workspaceId(), term, position + 1, requestUnits, tokenUnits, true));
  }

  /** Settles a local admission of this term. */
  void settleLocal(QuotaAdmission admission, boolean hasRun, long unusedTokens, long nowNanos) {
    advance(nowNanos);
    long unusedRequests = hasRun ? 0 : admission.requestUnits();
    applyCorrection(new Correction(0, admission.stamp(), unusedRequests, unusedTokens, hasRun));
  }

  /**
   * Processes the report of a holder and grants units to it.
   *
   * @return the grant, or null if the quota request is a duplicate or older than the last one
   */
  Grant processNeed(NodeId holder, long sequence, Need need, long nowNanos) {
    advance(nowNanos);
    Account account = accounts.get(holder);
    if (account == null) {
      account = new Account();
      account.firstStamp = position + 1;
      account.expiresNanos = nowNanos;
      accounts.put(holder, account);
    }
    if (sequence <= account.lastSequence) {
      return null;
    }
    boolean keepsHeld =
        need.term() == term
            && nowNanos < account.expiresNanos
            && need.held().requests() <= account.requests
            && need.held().tokens() <= account.tokens;
    reconcile(account, need, keepsHeld);
    if (need.term() == term) {
      for (Correction correction : need.corrections()) {
        if (correction.firstSequence() > account.lastSequence
            && (correction.stamp() >= account.firstStamp || correction.tokens() < 0)) {
          applyCorrection(correction);
        }
      }
    }
    account.lastSequence = sequence;
    long excessSlots = Math.max(0, getUsedSlots() - contract.maxConcurrentRequests());
    QuotaUnits granted =
        nowNanos < grantsFromNanos ? QuotaUnits.NONE : grant(account, need, nowNanos);
    account.expiresNanos = nowNanos + GRANT_TTL_NANOS + EXPIRY_MARGIN_NANOS;
    account.slotsExpireNanos = account.expiresNanos + contract.maxDeadlineMs() * NANOS_PER_MS;
    long waitMs = Math.max(0, (grantsFromNanos - nowNanos) / NANOS_PER_MS);
    long retryAfterMs = Math.max(waitMs, retryAfterMs(1, tokensPerRequest(need.wanted())));
    if (excessSlots > 0 && keepsHeld) {
      // The slots count as used until the holder's next report shows that it returned them.
      long withdrawn = Math.min(excessSlots, need.held().slots());
      granted = QuotaUnits.of(granted.requests(), granted.tokens(), -withdrawn);
    }
    return new Grant(
        contract.workspaceId(), term, position + 1, keepsHeld, granted, (int) retryAfterMs);
  }

  private void reconcile(Account account, Need need, boolean keepsHeld) {
    QuotaUnits held = keepsHeld ? need.held() : QuotaUnits.NONE;
    boolean isSameTerm = need.term() == term;
    long spentRequests =
        isSameTerm ? Math.max(0, need.spent().requests() - account.reportedSpent.requests()) : 0;
    long spentTokens =
        isSameTerm ? Math.max(0, need.spent().tokens() - account.reportedSpent.tokens()) : 0;
    account.requests = settleBucket(requests, account.requests, spentRequests, held.requests());
    account.tokens = settleBucket(tokens, account.tokens, spentTokens, held.tokens());
    // Idle slots may have been used since the report, so they count even if they are not kept.
    account.slots = need.held().slots() + need.spent().slots();
    account.reportedSpent = isSameTerm ? need.spent() : QuotaUnits.NONE;
  }

  private static long settleBucket(QuotaBucket bucket, long outstanding, long spent, long held) {
    // Held units are deducted first: some of the spent ones may have been written off here already.
    long kept = Math.min(held, outstanding);
    long writtenOff = Math.min(outstanding - kept, spent);
    bucket.writeOff(writtenOff);
    bucket.reclaim(outstanding - kept - writtenOff);
    return kept;
  }

  private void applyCorrection(Correction correction) {
    if (correction.tokens() < 0) {
      tokens.spend(-correction.tokens());
    } else if (correction.ran()) {
      tokens.credit(correction.tokens());
    } else {
      requests.refund(correction.requests(), correction.stamp());
      tokens.refund(correction.tokens(), correction.stamp());
    }
  }

  private QuotaUnits grant(Account account, Need need, long nowNanos) {
    QuotaUnits wanted = need.wanted();
    long freeRequests = (long) Math.floor(Math.max(0, requests.getLevel()));
    long freeTokens = (long) Math.floor(Math.max(0, tokens.getLevel()));
    long freeSlots = getFreeSlots(nowNanos);
    double fraction =
        Math.min(
            Math.min(
                fractionOf(freeRequests, wanted.requests()), fractionOf(freeSlots, wanted.slots())),
            fractionOf(freeTokens, wanted.tokens()));
    long wantedRequests = Math.max(1, Math.max(wanted.requests(), wanted.slots()));
    // Units for less than one whole request could not be used by the holder.
    double minFraction =
        Math.max(1.0 / wantedRequests, (double) need.leastTokens() / Math.max(1, wanted.tokens()));
    if (fraction < minFraction) {
      return QuotaUnits.NONE;
    }
    double share = Math.min(1, Math.max(fraction * GRANT_SHARE, minFraction));
    QuotaUnits granted =
        QuotaUnits.of(
            Math.min(freeRequests, (long) Math.ceil(wanted.requests() * share)),
            Math.min(freeTokens, (long) Math.ceil(wanted.tokens() * share)),
            Math.min(freeSlots, (long) Math.ceil(wanted.slots() * share)));
    requests.grant(granted.requests());
    tokens.grant(granted.tokens());
    account.requests += granted.requests();
    account.tokens += granted.tokens();
    account.slots += granted.slots();
    return granted;
  }

  private static double fractionOf(long free, long wanted) {
    return wanted <= 0 ? Double.POSITIVE_INFINITY : (double) free / wanted;
  }

  private static long tokensPerRequest(QuotaUnits wanted) {
    return wanted.tokens() / Math.max(1, wanted.requests());
  }

  private long retryAfterMs(long requestUnits, long tokenUnits) {
    double seconds = Math.max(requests.secondsUntil(requestUnits), tokens.secondsUntil(tokenUnits));
    return Math.min(Integer.MAX_VALUE, (long) Math.ceil(seconds * 1e3));
  }

  /** Returns whether slots of earlier grantors may be in use without being known here. */
  private boolean isAwaitingReports(long nowNanos) {
    return !areAllSlotsKnown && nowNanos < slotsUnknownUntilNanos;
  }

  private long getFreeSlots(long nowNanos) {
    if (isAwaitingReports(nowNanos)) {
      return 0;
    }
    return Math.max(0, contract.maxConcurrentRequests() - getUsedSlots());
  }

  private long getUsedSlots() {
    long used = ownSlots;
    for (Account account : accounts.values()) {
      used += account.slots;
    }
    return used;
  }

  private void advance(long nowNanos) {
    if (nowNanos < grantsFromNanos) {
      return;
    }
    // Refill before writing off: until their expiry, granted units counted against the burst.
    position++;
    requests.refill(nowNanos, position);
    tokens.refill(nowNanos, position);
    Iterator<Account> all = accounts.values().iterator();
    while (all.hasNext()) {
      Account account = all.next();
      if (nowNanos >= account.expiresNanos) {
        requests.writeOff(account.requests);
        tokens.writeOff(account.tokens);
        account.requests = 0;
        account.tokens = 0;
      }
      if (nowNanos >= account.slotsExpireNanos) {
        account.slots = 0;
      }
      if (account.slots == 0 && nowNanos >= account.expiresNanos + ACCOUNT_IDLE_NANOS) {
        all.remove();
      }
    }
  }
}
