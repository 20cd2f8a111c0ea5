package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.OnceState;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.ServiceResult;

/**
 * State machine of one attempt of a once-only call. The stored record alone ensures at most one
 * dispatch per key: only the node whose conditional write created the claim dispatches, and only
 * once; only a claimant that did not dispatch, or sent no byte, makes the key available again by
 * writing {@code NOT_RUN}. This does not depend on clocks, so it also holds for a claimant that
 * resumes after a long pause.
 *
 * <p>Not thread-safe; the owner passes one event at a time. After the result is returned the call
 * may continue in the background until {@link #isDone()}. It is safe to discard the call then; its
 * record may stay {@code CLAIMED} or {@code UNKNOWN}.
 *
 * @since 0.1
 */
public final class OnceCall {

  /** Maximum time between sending the claim and the dispatch, in nanoseconds. */
  public static final long DISPATCH_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

  /**
   * Age in milliseconds from which a claim is reported as unknown instead of running, because its
   * node may be dead.
   */
  public static final long RUNNING_LIMIT_MS = 120_000;

  private static final int MAX_CLAIM_WRITES = 4;
  private static final long RETRY_AFTER_MS = 1_000;

  private enum Phase {
    NEW,
    QUERYING,
    CLAIMING,
    READING_CLAIM,
    WAITING_TO_READ_CLAIM,
    DISPATCHED,
    SETTLING,
    DONE
  }

  private final OnceRequest request;
  private final RetryBackoff backoff;
  private final List<OnceDecision> decisions = new ArrayList<>();
  private Phase phase = Phase.NEW;
  private long claimSentNanos;
  private int claimWrites;
  private boolean mayClaimApply;
  private boolean isAborted;
  private boolean hasReturned;

  /** Version that the next write expects; the version of the own claim once that is known. */
  private long version;

  private OnceSettlement settlement;

  /**
   * Creates a call.
   *
   * @param request the immutable parameters
   * @param random source of backoff jitter
   */
  public OnceCall(OnceRequest request, RandomGenerator random) {
    this.request = request;
    this.backoff = new RetryBackoff(random);
  }

  /**
   * Returns whether the call needs no further event.
   *
   * @return true if nothing is left to do
   */
  public boolean isDone() {
    return phase == Phase.DONE || phase == Phase.SETTLING && settlement.isDone();
  }

  /**
   * Handles an event. Events that do not apply to the current phase are ignored.
   *
   * @param event the event
   * @param nowNanos monotonic time
   * @return the actions to take, in order
   */
  public List<OnceDecision> onEvent(OnceEvent event, long nowNanos) {
    decisions.clear();
    if (event instanceof OnceEvent.Tick
        && !hasReturned
        && isPast(request.deadlineNanos(), nowNanos)) {
      returnAtDeadline();
    }
    switch (phase) {
      case NEW -> onStart(event, nowNanos);
      case QUERYING -> onQueryRead(event);
      case CLAIMING -> onClaimWrite(event, nowNanos);
      case READING_CLAIM -> onClaimRead(event, nowNanos);
      case DISPATCHED -> onDispatched(event);
      case WAITING_TO_READ_CLAIM -> onClaimBackoff(event, nowNanos);
      case SETTLING -> settlement.onEvent(event, nowNanos, decisions);
      default -> {}
    }
    decisions.removeIf(this::isRepeatedReturn);
    return List.copyOf(decisions);
  }

  private void onStart(OnceEvent event, long nowNanos) {
    if (event instanceof OnceEvent.Start) {
      writeClaim(0, nowNanos);
    } else if (event instanceof OnceEvent.Query) {
      phase = Phase.QUERYING;
      decisions.add(new OnceDecision.Read());
    }
  }

  private void onQueryRead(OnceEvent event) {
    if (event instanceof OnceEvent.ReadFailed failed) {
      finishWith(new OnceResult.Unknown(failed.reason()));
    } else if (event instanceof OnceEvent.RecordRead read) {
      if (read.current() == null || read.current().record().state() == OnceState.NOT_RUN) {
        // A newer claim may still be in transit to the store, so its outcome is unknown.
        finishWith(
            new OnceResult.Unknown(
                "no call with this key is recorded as run; repeat it under the same key"));
      } else if (read.current().record().state() == OnceState.RAN) {
        finishWith(toRanResult(read.current().record()));
      } else {
        onOtherClaim(read.current());
      }
    }
  }

  private void finishWith(OnceResult result) {
    returnResult(result);
    phase = Phase.DONE;
  }

  private void writeClaim(long expectedVersion, long nowNanos) {
    if (claimWrites == MAX_CLAIM_WRITES || isPast(request.deadlineNanos(), nowNanos)) {
      finishWith(notRun(ProblemKind.OVERLOADED, "the key changed hands while it was claimed"));
      return;
    }
    claimSentNanos = nowNanos;
    version = expectedVersion;
    sendClaim();
  }

  private void sendClaim() {
    claimWrites++;
    phase = Phase.CLAIMING;
    decisions.add(new OnceDecision.Write(version, toRecord()));
  }

  private OnceRecord toRecord() {
    return new OnceRecord(
        request.claimId(),
        request.claimant(),
        request.digest(),
        OnceState.CLAIMED,
        0,
        null,
        request.createdEpochMs());
  }

  private void onClaimWrite(OnceEvent event, long nowNanos) {
    if (event instanceof OnceEvent.Written written) {
      onClaimWritten(written.version(), nowNanos);
    } else if (event instanceof OnceEvent.Conflict conflict) {
      onOtherVersion(conflict.current(), nowNanos);
    } else if (event instanceof OnceEvent.NotApplied refused) {
      abort(ProblemKind.STORE_AWAY, refused.reason());
    } else if (event instanceof OnceEvent.WriteUnknown) {
      mayClaimApply = true;
      phase = Phase.READING_CLAIM;
      decisions.add(new OnceDecision.Read());
    }
  }

  private void onClaimRead(OnceEvent event, long nowNanos) {
    if (event instanceof OnceEvent.ReadFailed failed) {
      if (isAborted || !isInWindow(nowNanos)) {
        abort(ProblemKind.STORE_AWAY, failed.reason());
      } else {
        phase = Phase.WAITING_TO_READ_CLAIM;
        decisions.add(backoff.next(nowNanos));
      }
    } else if (event instanceof OnceEvent.RecordRead read) {
      if (getVersion(read.current()) != version) {
        onOtherVersion(read.current(), nowNanos);
      } else if (isAborted || claimWrites == MAX_CLAIM_WRITES || !isInWindow(nowNanos)) {
        abort(ProblemKind.STORE_AWAY, "the claim was not confirmed");
      } else {
        // The write has the same claim id and condition, so at most one of the writes takes effect.
        sendClaim();
      }
    }
  }

  /** Handles a record whose version differs from the one that the claim expected. */
  private void onOtherVersion(OnceEvent.Stored current, long nowNanos) {
    if (isOwn(current)) {
      onOwnRecord(current, nowNanos);
      return;
    }
    mayClaimApply = false;
    if (isAborted) {
      phase = Phase.DONE;
    } else if (current == null) {
      writeClaim(0, nowNanos);
    } else if (!current.record().digest().equals(request.digest())) {
      finishWith(
          new OnceResult.NotRun(
              Problem.of(ProblemKind.KEY_REUSED, "the key belongs to a different request")));
    } else {
      switch (current.record().state()) {
        case NOT_RUN -> writeClaim(current.version(), nowNanos);
        case RAN -> {
          finishWith(toRanResult(current.record()));
        }
        default -> onOtherClaim(current);
      }
    }
  }

  private void onOwnRecord(OnceEvent.Stored current, long nowNanos) {
    if (current.record().state() == OnceState.CLAIMED) {
      onClaimWritten(current.version(), nowNanos);
    } else if (current.record().state() == OnceState.RAN) {
      finishWith(toRanResult(current.record()));
    } else {
      version = current.version();
      mayClaimApply = true;
      abort(ProblemKind.DEADLINE, "the claim was taken for lost");
    }
  }

  private void onOtherClaim(OnceEvent.Stored current) {
    boolean isRunning =
        current.record().state() == OnceState.CLAIMED && current.ageMs() < RUNNING_LIMIT_MS;
    OnceResult result =
        isRunning
            ? new OnceResult.Running()
            : new OnceResult.Unknown("an earlier call with this key has no known result");
    if (request.hasLookup()) {
      phase = Phase.SETTLING;
      settlement =
          OnceSettlement.ofOtherClaim(current.version(), current.record(), result, backoff);
      settlement.startLookup(decisions);
    } else {
      finishWith(result);
    }
  }

  private void onClaimWritten(long ownVersion, long nowNanos) {
    version = ownVersion;
    mayClaimApply = true;
    if (isAborted || !isInWindow(nowNanos)) {
      abort(ProblemKind.DEADLINE, "the claim took too long, so the call was not dispatched");
      return;
    }
    phase = Phase.DISPATCHED;
    decisions.add(
        new OnceDecision.Dispatch(claimSentNanos + DISPATCH_WINDOW_NANOS, request.deadlineNanos()));
  }

  /**
   * Ends a call that was not dispatched, and writes {@code NOT_RUN} if its claim exists or may
   * still take effect.
   */
  private void abort(ProblemKind kind, String reason) {
    isAborted = true;
    returnResult(notRun(kind, reason));
    if (mayClaimApply) {
      startSettlement(toRecord().withState(OnceState.NOT_RUN), null);
    } else {
      phase = Phase.DONE;
    }
  }

  private void onDispatched(OnceEvent event) {
    if (!(event instanceof OnceEvent.Dispatched dispatched)) {
      return;
    }
    if (dispatched.result() instanceof ServiceResult.Answered answered) {
      startSettlement(
          toRecord().withResult(answered), new OnceResult.Ran(answered.status(), answered.body()));
    } else if (dispatched.result() instanceof ServiceResult.NotSent notSent) {
      abort(ProblemKind.NO_TARGET, notSent.reason());
    } else {
      startSettlement(
          toRecord().withState(OnceState.UNKNOWN),
          new OnceResult.Unknown("the call was dispatched and its answer was lost"));
    }
  }

  private void startSettlement(OnceRecord outcome, OnceResult pendingResult) {
    phase = Phase.SETTLING;
    settlement = new OnceSettlement(version, outcome, pendingResult, request.hasLookup(), backoff);
    settlement.startWrite(decisions);
  }

  private void onClaimBackoff(OnceEvent event, long nowNanos) {
    if (event instanceof OnceEvent.Tick && backoff.hasElapsed(nowNanos)) {
      phase = Phase.READING_CLAIM;
      decisions.add(new OnceDecision.Read());
    }
  }

  private void returnAtDeadline() {
    switch (phase) {
      case CLAIMING, READING_CLAIM, WAITING_TO_READ_CLAIM -> {
        isAborted = true;
        returnResult(
            notRun(ProblemKind.DEADLINE, "the claim took too long; the call was not dispatched"));
      }
      case QUERYING, DISPATCHED ->
          returnResult(new OnceResult.Unknown("no answer within the deadline"));
      case SETTLING -> settlement.returnPending(decisions);
      default -> {}
    }
  }

  private void returnResult(OnceResult result) {
    decisions.add(new OnceDecision.ReturnResult(result));
  }

  private boolean isRepeatedReturn(OnceDecision decision) {
    if (!(decision instanceof OnceDecision.ReturnResult)) {
      return false;
    }
    boolean isRepeated = hasReturned;
    hasReturned = true;
    return isRepeated;
  }

  private boolean isOwn(OnceEvent.Stored stored) {
    return stored != null && stored.record().claimId().equals(request.claimId());
  }

  private boolean isInWindow(long nowNanos) {
    return nowNanos - claimSentNanos < DISPATCH_WINDOW_NANOS
        && !isPast(request.deadlineNanos(), nowNanos);
  }

  static boolean isPast(long timeNanos, long nowNanos) {
    return nowNanos - timeNanos >= 0;
  }

  static long getVersion(OnceEvent.Stored stored) {
    return stored == null ? 0 : stored.version();
  }

  static OnceResult toRanResult(OnceRecord record) {
    return new OnceResult.Ran(record.status(), record.body());
  }

  private static OnceResult notRun(ProblemKind kind, String reason) {
    return new OnceResult.NotRun(Problem.ofRetry(kind, reason, RETRY_AFTER_MS));
  }
}
