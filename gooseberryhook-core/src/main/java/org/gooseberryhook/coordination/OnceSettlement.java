package org.gooseberryhook.coordination;

import java.util.List;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.OnceState;

/**
 * The second half of a {@link OnceCall}: brings the record to the outcome that is known and, for a
 * lost answer, asks the service until it tells the result. It never dispatches. A record that holds
 * another claim, or the state {@code RAN}, is never overwritten.
 */
final class OnceSettlement {

  private enum Phase {
    WRITING,
    READING,
    PAUSING_WRITE,
    LOOKING_UP,
    PAUSING_LOOKUP,
    DONE
  }

  private final boolean hasLookup;
  private final boolean isOtherClaim;
  private final RetryBackoff pause;
  private Phase phase = Phase.WRITING;
  private long version;
  private OnceRecord desired;
  private OnceResult heldAnswer;

  /**
   * Creates the settlement of the node's own claim.
   *
   * @param version version of the claim; the version it expected if it has not taken effect yet
   * @param desired the outcome
   * @param heldAnswer what the caller is told after the first write; null if it has its answer
   * @param hasLookup whether the service can be asked
   * @param pause pauses of the call
   */
  OnceSettlement(
      long version,
      OnceRecord desired,
      OnceResult heldAnswer,
      boolean hasLookup,
      RetryBackoff pause) {
    this(version, desired, heldAnswer, hasLookup, false, pause);
  }

  private OnceSettlement(
      long version,
      OnceRecord desired,
      OnceResult heldAnswer,
      boolean hasLookup,
      boolean isOtherClaim,
      RetryBackoff pause) {
    this.version = version;
    this.desired = desired;
    this.heldAnswer = heldAnswer;
    this.hasLookup = hasLookup;
    this.isOtherClaim = isOtherClaim;
    this.pause = pause;
  }

  /** Returns a settlement that can only record the result of another node's claim. */
  static OnceSettlement ofOtherClaim(
      long version, OnceRecord record, OnceResult heldAnswer, RetryBackoff pause) {
    return new OnceSettlement(version, record, heldAnswer, true, true, pause);
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

  void answerHeld(List<OnceDecision> decisions) {
    if (heldAnswer != null) {
      decisions.add(new OnceDecision.Answer(heldAnswer));
      // The body of an answer can be large and this object may stay for an hour.
      heldAnswer = null;
    }
  }

  void onEvent(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    switch (phase) {
      case WRITING -> onWrite(event, nowNanos, decisions);
      case READING -> onRead(event, nowNanos, decisions);
      case LOOKING_UP -> onLookup(event, nowNanos, decisions);
      case PAUSING_WRITE, PAUSING_LOOKUP -> onPause(event, nowNanos, decisions);
      default -> {}
    }
  }

  private void onWrite(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (event instanceof OnceEvent.Written written) {
      version = written.version();
      onRecorded(decisions);
    } else if (event instanceof OnceEvent.Conflict conflict) {
      onSeen(conflict.current(), nowNanos, decisions);
    } else if (event instanceof OnceEvent.NotApplied) {
      pause(Phase.PAUSING_WRITE, nowNanos, decisions);
    } else if (event instanceof OnceEvent.WriteUnknown) {
      phase = Phase.READING;
      decisions.add(new OnceDecision.Read());
    }
  }

  private void onRead(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (event instanceof OnceEvent.ReadBack read) {
      onSeen(read.current(), nowNanos, decisions);
    } else if (event instanceof OnceEvent.ReadFailed) {
      pause(Phase.PAUSING_WRITE, nowNanos, decisions);
    }
  }

  private void onSeen(OnceEvent.Stored current, long nowNanos, List<OnceDecision> decisions) {
    if (OnceCall.getVersion(current) == version) {
      pause(Phase.PAUSING_WRITE, nowNanos, decisions);
    } else if (current == null || !current.record().claimId().equals(desired.claimId())) {
      // The record expired or a newer claim replaced it, so this claim can no longer take effect.
      finish(decisions);
    } else if (current.record().state() == OnceState.RAN) {
      heldAnswer = OnceCall.ranOf(current.record());
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
      heldAnswer = new OnceResult.Ran(ran.result().status(), ran.result().body());
      desired = desired.withResult(ran.result());
      startWrite(decisions);
    } else if (isOtherClaim) {
      finish(decisions);
    } else {
      // NeverSeen is no proof: the dispatched call may still be on its way.
      pause(Phase.PAUSING_LOOKUP, nowNanos, decisions);
    }
  }

  private void onPause(OnceEvent event, long nowNanos, List<OnceDecision> decisions) {
    if (!(event instanceof OnceEvent.Tick) || !pause.hasElapsed(nowNanos)) {
      return;
    }
    if (phase == Phase.PAUSING_LOOKUP) {
      startLookup(decisions);
    } else {
      startWrite(decisions);
    }
  }

  private void pause(Phase next, long nowNanos, List<OnceDecision> decisions) {
    answerHeld(decisions);
    if (pause.isExhausted(nowNanos)) {
      phase = Phase.DONE;
      return;
    }
    phase = next;
    decisions.add(pause.next(nowNanos));
  }

  private void finish(List<OnceDecision> decisions) {
    answerHeld(decisions);
    phase = Phase.DONE;
  }
}
