package org.gooseberryhook.transport;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhook.coordination.OnceCall;
import org.gooseberryhook.coordination.OnceDecision;
import org.gooseberryhook.coordination.OnceEvent;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.ServiceResult;

/**
 * Carries out the decisions of the {@link OnceCall} of one once-only call or outcome query. Used on
 * the thread of its {@link OnceCallService} only.
 */
final class OnceCallRun {

  private static final long LOOKUP_TIMEOUT_MS = 2_000;
  private static final long SETTLING_RETRY_MS = 500;

  /** Time that a port has beyond its own timeout before its result counts as lost. */
  private static final long PORT_GRACE_MS = 500;

  /**
   * What is called, by which workspace and under which idempotency key. The operation is empty in
   * an outcome query.
   */
  record Subject(String workspace, String service, String operation, String key) {

    String toRecordKey() {
      return OnceRecord.keyOf(workspace, service, key);
    }

    /**
     * Returns the key that is sent to the service: prefixed, so that workspaces never share a key.
     */
    String toServiceKey() {
      return workspace + "/" + key;
    }
  }

  private final OnceCallService owner;
  private final Subject subject;
  private final OnceCall call;
  private final CompletableFuture<OnceResult> result;
  private String body;
  private Future<?> deadlineTimer;
  private Future<?> waitTimer;
  private boolean isDropped;

  OnceCallRun(
      OnceCallService owner,
      Subject subject,
      String body,
      OnceCall call,
      CompletableFuture<OnceResult> result) {
    this.owner = owner;
    this.subject = subject;
    this.body = body;
    this.call = call;
    this.result = result;
  }

  void begin(OnceEvent first, long deadlineNanos) {
    deadlineTimer = scheduleTick(deadlineNanos);
    handle(first);
  }

  String getKey() {
    return subject.toRecordKey();
  }

  boolean hasReturnedResult() {
    return result.isDone();
  }

  boolean isDone() {
    return isDropped || call.isDone();
  }

  /** Ends the call: its timers are cancelled, and results that still arrive are ignored. */
  void drop() {
    isDropped = true;
    cancelTimers();
  }

  private void handle(OnceEvent event) {
    if (isDropped) {
      return;
    }
    List<OnceDecision> decisions = call.onEvent(event, now());
    decisions.forEach(this::execute);
    if (isDone()) {
      cancelTimers();
    }
    owner.trackSettling(this);
  }

  private void execute(OnceDecision decision) {
    if (decision instanceof OnceDecision.ReturnResult returned) {
      // A call whose result was returned is never dispatched again, so that settling it in the
      // background need not keep the body in memory.
      body = null;
      result.complete(returned.result());
    } else if (decision instanceof OnceDecision.WaitUntil wait) {
      waitTimer = scheduleTick(wait.nanos());
    } else if (decision instanceof OnceDecision.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (!hasReturnedResult()) {
      perform(decision, this::handle);
    } else {
      performInBackground(decision);
    }
  }

  private void performInBackground(OnceDecision decision) {
    if (isDropped) {
      return;
    }
    if (!owner.tryAcquireSettlingPermit()) {
      long delayMs = SETTLING_RETRY_MS / 2 + owner.getRandom().nextLong(SETTLING_RETRY_MS);
      owner
          .getExecutor()
          .schedule(() -> performInBackground(decision), delayMs, TimeUnit.MILLISECONDS);
      return;
    }
    perform(
        decision,
        event -> {
          owner.releaseSettlingPermit();
          handle(event);
        });
  }

  private void perform(OnceDecision decision, Consumer<OnceEvent> listener) {
    if (decision instanceof OnceDecision.Write write) {
      owner
          .getWriter()
          .write(subject.toRecordKey(), write.expectedVersion(), write.record(), listener);
    } else if (decision instanceof OnceDecision.Read) {
      owner.getWriter().read(subject.toRecordKey(), listener);
    } else {
      lookUp(listener);
    }
  }

  private void dispatch(OnceDecision.Dispatch dispatch) {
    String address = chooseAddress();
    if (address == null) {
      handleDispatchedLater(new ServiceResult.NotSent("no target of the service is known"));
      return;
    }
    long nowNanos = now();
    long timeoutMs = TimeUnit.NANOSECONDS.toMillis(dispatch.deadlineNanos() - nowNanos);
    if (nowNanos - dispatch.notAfterNanos() >= 0 || timeoutMs <= 0) {
      handleDispatchedLater(new ServiceResult.NotSent("the time to dispatch the call has passed"));
      return;
    }
    send(address, timeoutMs)
        .thenAcceptAsync(
            serviceResult -> handle(new OnceEvent.Dispatched(serviceResult)), owner.getExecutor());
  }

  private CompletableFuture<ServiceResult> send(String address, long timeoutMs) {
    String sentBody = body;
    return TimedCalls.call(
        () ->
            owner
                .getPorts()
                .client()
                .call(
                    address,
                    subject.service,
                    subject.operation,
                    subject.toServiceKey(),
                    sentBody,
                    timeoutMs),
        timeoutMs + PORT_GRACE_MS,
        ServiceResult.AnswerLost::new);
  }

  private void handleDispatchedLater(ServiceResult serviceResult) {
    owner.getExecutor().execute(() -> handle(new OnceEvent.Dispatched(serviceResult)));
  }

  private void lookUp(Consumer<OnceEvent> listener) {
    String address = chooseAddress();
    CompletableFuture<LookupResult> lookup =
        address == null
            ? CompletableFuture.completedFuture(
                new LookupResult.Unavailable("no target of the service is known"))
            : TimedCalls.call(
                () ->
                    owner
                        .getPorts()
                        .client()
                        .lookup(
                            address, subject.service, subject.toServiceKey(), LOOKUP_TIMEOUT_MS),
                LOOKUP_TIMEOUT_MS + PORT_GRACE_MS,
                LookupResult.Unavailable::new);
    lookup.thenAcceptAsync(
        lookupResult -> listener.accept(new OnceEvent.LookedUp(lookupResult)), owner.getExecutor());
  }

  private String chooseAddress() {
    List<String> addresses = owner.getPorts().addresses().apply(subject.service);
    return addresses.isEmpty() ? null : addresses.get(owner.getRandom().nextInt(addresses.size()));
  }

  private Future<?> scheduleTick(long nanos) {
    return owner
        .getExecutor()
        .schedule(() -> handle(new OnceEvent.Tick()), nanos - now(), TimeUnit.NANOSECONDS);
  }

  private void cancelTimers() {
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (waitTimer != null) {
      waitTimer.cancel(false);
    }
  }

  private long now() {
    return owner.getPorts().nanoClock().getAsLong();
  }
}
