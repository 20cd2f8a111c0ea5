package org.gooseberryhook.coordination;

import java.util.List;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.OnceState;

/**
 * Records the outcome of a {@link OnceCall}. When the service's response was lost, looks the key up
 * in the service until the result is known. Never dispatches, and never overwrites a record of
 * another claim or in state {@code RAN}.
 */
final class OnceSettlement {

  private enum Phase {
    WRITING,
    READING,
    WAITING_TO_WRITE,
    LOOKING_UP,
    WAITING_TO_LOOK_UP,
    DONE
  }

  private final boolean hasLookup;
  private final boolean isOtherClaim;
  private final RetryBackoff backoff;
  private Phase phase = Phase.WRITING;
  private long version;
  private OnceRecord desired;
  private OnceResult pendingResult;

  /**
   * Creates the settlement of the node's own claim.
   *
   * @param version version of the claim, or the version that the claim expected if it is not known
   *     to have taken effect
   * @param desired the record with the outcome
   * @param pendingResult result to return to the caller after the first write; null if one was
   *     already returned
   * @param hasLookup whether the service supports a lookup by key
   * @param backoff delays between retries, shared with the call
   */
  OnceSettlement(
      long version,
      OnceRecord desired,
      OnceResult pendingResult,
      boolean hasLookup,
      RetryBackoff backoff) {
    this(version, desired, pendingResult, hasLookup, false, backoff);
  }

  private OnceSettlement(
      long version,
      OnceRecord desired,
      OnceResult pendingResult,
      boolean hasLookup,
      boolean isOtherClaim,
      RetryBackoff backoff) {
    this.version = version;
    this.desired = desired;
    this.pendingResult = pendingResult;
    this.hasLookup = hasLookup;
    this.isOtherClaim = isOtherClaim;
    this.backoff = backoff;
  }

  /**
   * Creates a settlement that only records the result of another node's claim if a lookup finds it.
   */
  static OnceSettlement ofOtherClaim(
      long version, OnceRecord record, OnceResult pendingResult, RetryBackoff backoff) {
    return new OnceSettlement(version, record, pendingResult, true, true, backoff);
  }

  boolean isDone() {
    return phase == Phase.DONE;
  }

  void startWrite(List<OnceDecision> decisions) {
    phase = Phase.WRITING;
    decisions.add(new OnceDecision.Write(version, desired));
  }

  void startLookup(List<OnceDecision> decisions) {
    phase = Phase.LOOKING_UP;
    decisions.add(new OnceDecision.Lookup());
  }

  void returnPending(List<OnceDecision> decisions) {
    if (pendingResult != null) {
      decisions.add(new OnceDecision.ReturnResult(pendingResult));
      // The body of a result can be large and this object may live for an hour.
      pendingResult = null;
    }
  }

  void onEvent(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    switch (phase) {
      case WRITING -> onWrite(event, nowNanos, decisions);
      case READING -> onRead(event, nowNanos, decisions);
      case LOOKING_UP -> onLookup(event, nowNanos, decisions);
      case WAITING_TO_WRITE, WAITING_TO_LOOK_UP -> onBackoff(event, nowNanos, decisions);
      default -> {}
    }
  }

  private void onWrite(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (event instanceof OnceEvent.Written written) {
      version = written.version();
      onRecorded(decisions);
    } else if (event instanceof OnceEvent.Conflict conflict) {
      onCurrentRecord(conflict.current(), nowNanos, decisions);
    } else if (event instanceof OnceEvent.NotApplied) {
      backOff(Phase.WAITING_TO_WRITE, nowNanos, decisions);
    } else if (event instanceof OnceEvent.WriteUnknown) {
      phase = Phase.READING;
      decisions.add(new OnceDecision.Read());
    }
  }

  private void onRead(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (event instanceof OnceEvent.RecordRead read) {
      onCurrentRecord(read.current(), nowNanos, decisions);
    } else if (event instanceof OnceEvent.ReadFailed) {
      backOff(Phase.WAITING_TO_WRITE, nowNanos, decisions);
    }
  }

  private void onCurrentRecord(
      OnceEvent.Stored current, long nowNanos, List<OnceDecision> decisions) {
    if (OnceCall.getVersion(current) == version) {
      backOff(Phase.WAITING_TO_WRITE, nowNanos, decisions);
    } else if (current == null || !current.record().claimId().equals(desired.claimId())) {
      // The record expired or a newer claim replaced it, so this claim can no longer take effect.
      finish(decisions);
    } else if (current.record().state() == OnceState.RAN) {
      pendingResult = OnceCall.toRanResult(current.record());
      finish(decisions);
    } else {
      version = current.version();
      if (current.record().state() == desired.state()) {
        onRecorded(decisions);
      } else {
        startWrite(decisions);
      }
    }
  }

  private void onRecorded(List<OnceDecision> decisions) {
    if (desired.state() == OnceState.UNKNOWN && hasLookup) {
      startLookup(decisions);
    } else {
      finish(decisions);
    }
  }

  private void onLookup(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (!(event instanceof OnceEvent.LookedUp lookedUp)) {
      return;
    }
    if (lookedUp.result() instanceof LookupResult.RanWith ran) {
      pendingResult = new OnceResult.Ran(ran.result().status(), ran.result().body());
      desired = desired.withResult(ran.result());
      startWrite(decisions);
    } else if (isOtherClaim) {
      finish(decisions);
    } else {
      // NeverSeen proves nothing, because the dispatched call may still be in transit.
      backOff(Phase.WAITING_TO_LOOK_UP, nowNanos, decisions);
    }
  }

  private void onBackoff(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (!(event instanceof OnceEvent.Tick) || !backoff.hasElapsed(nowNanos)) {
      return;
    }
    if (phase == Phase.WAITING_TO_LOOK_UP) {
      startLookup(decisions);
    } else {
      startWrite(decisions);
    }
  }

  private void backOff(Phase next, long nowNanos, List<OnceDecision> decisions) {
    returnPending(decisions);
    if (backoff.isExhausted(nowNanos)) {
      phase = Phase.DONE;
      return;
    }
    phase = next;
    decisions.add(backoff.next(nowNanos));
  }

  private void finish(List<OnceDecision> decisions) {
    returnPending(decisions);
    phase = Phase.DONE;
  }
}
