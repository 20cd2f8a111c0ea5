package org.gooseberryhook.load;

import java.io.IOException;
import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.gooseberryhook.protocol.Outcome;

/**
 * One request of the schedule with its repeats and failovers to other addresses. Each attempt is
 * one execution of the task; only one thread runs it at a time.
 */
abstract class RequestTask implements Runnable {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long MAX_BACKOFF_MS = 1_000;
  private static final long FIRST_BACKOFF_MS = 50;

  final CallContext context;
  final PlannedRequest planned;
  final Measurements measurements;
  private final AddressCache addressCache;
  private final AtomicBoolean isFinished = new AtomicBoolean();
  private final long deadlineNanos;
  private int repeats;
  private int failovers;

  RequestTask(CallContext context, PlannedRequest planned) {
    this.context = context;
    this.planned = planned;
    this.measurements = context.measurements;
    this.addressCache = context.addressCacheFor(planned);
    this.deadlineNanos =
        context.startNanos
            + planned.atNanos()
            + TimeUnit.MILLISECONDS.toNanos(context.experiment.caller().timeoutMs());
  }

  @Override
  public final void run() {
    if (remainingMs() <= 0) {
      fail("caller-deadline");
      return;
    }
    String address = addressCache.current();
    try {
      attempt(address);
    } catch (ConnectException e) {
      onBroken(address, false);
    } catch (IOException e) {
      onBroken(address, true);
    } catch (RuntimeException e) {
      // A defect of this tool must not leave the request in flight for ever.
      fail("tool-" + e.getClass().getSimpleName());
    }
  }

  /** Sends the request once and handles the response. */
  abstract void attempt(String address) throws IOException;

  /**
   * Handles a broken connection.
   *
   * @param mayHaveRun false if the request was not sent
   */
  void onBroken(String address, boolean mayHaveRun) {
    measurements.countProblem(mayHaveRun ? "connection-broken" : "connection-refused");
    resendToNextAddress(address);
  }

  /**
   * Sends the request again to the next address: at once for the first failover, with exponential
   * backoff for later ones. The request fails when no failover is left.
   *
   * @return whether the request is sent again
   */
  final boolean resendToNextAddress(String address) {
    addressCache.onFailed(address);
    if (failovers >= context.experiment.caller().maxFailovers()) {
      fail(null);
      return false;
    }
    failovers++;
    measurements.count(Count.FAILOVERS);
    beforeResend();
    if (failovers == 1) {
      context.submit(this);
    } else {
      int doublings = Math.min(failovers - 2, Integer.SIZE / 2);
      context.submitAfter(this, Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << doublings));
    }
    return true;
  }

  /** Called before the request is sent again. */
  void beforeResend() {}

  /** Counts a problem by kind and outcome. */
  final void countProblem(ReportedProblem problem) {
    measurements.countProblem(problem.label());
    if (problem.outcome() == Outcome.NOT_RUN) {
      measurements.count(Count.NOT_RUN);
    } else if (problem.outcome() == Outcome.UNKNOWN) {
      measurements.count(Count.UNKNOWN);
    }
  }

  /**
   * Sends the request again after the retry delay of the problem, if it has one and neither the
   * limit of repeats nor the deadline prevents it.
   *
   * @return whether the request is sent again
   */
  final boolean repeatIfAllowed(ReportedProblem problem) {
    boolean isAllowed =
        problem.retryAfterMs() > 0
            && repeats < context.experiment.caller().maxRepeats()
            && remainingMs() > problem.retryAfterMs();
    if (isAllowed) {
      repeats++;
      measurements.count(Count.REPEATS);
      beforeResend();
      context.submitAfter(this, problem.retryAfterMs());
    }
    return isAllowed;
  }

  final Request.Builder newRequest(String address, String path, byte[] body) {
    return new Request.Builder()
        .url("http://" + address + path)
        .header("Authorization", "Bearer " + planned.workspace().key())
        .header("X-Request-Id", context.idOf(planned))
        .header("X-Request-Timeout-Ms", Long.toString(Math.max(1, remainingMs())))
        .post(RequestBody.create(body, JSON));
  }

  final long remainingMs() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
  }

  final void complete() {
    if (isFinished.compareAndSet(false, true)) {
      measurements.onCompleted(planned, System.nanoTime());
    }
  }

  /** Ends the request as failed; the kind is null if the problem has been counted already. */
  final void fail(String kind) {
    if (isFinished.compareAndSet(false, true)) {
      if (kind != null) {
        measurements.countProblem(kind);
      }
      onFailed();
      measurements.onFailed(System.nanoTime());
    }
  }

  /** Called once when the request ends as failed. */
  void onFailed() {}
}
