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
 * One call of an {@link OnceCallService}: carries out the decisions of an {@link OnceCall}. Used on
 * the service's thread only.
 */
final class OnceCallRun {

  private static final long LOOKUP_TIMEOUT_MS = 2_000;
  private static final long WORK_RETRY_MS = 500;

  /** Time that the port has beyond its own timeout before the answer counts as lost. */
  private static final long PORT_GRACE_MS = 500;

  /** What is called, by whom and under which key. */
  record Subject(String workspace, String service, String operation, String key) {

    String toRecordKey() {
      return OnceRecord.keyOf(workspace, service, key);
    }

    /** Returns the key given to the service, which keeps workspaces apart. */
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
  private Future<?> pauseTimer;
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
    deadlineTimer = tickAt(deadlineNanos);
    give(first);
  }

  String getKey() {
    return subject.toRecordKey();
  }

  boolean isAnswered() {
    return result.isDone();
  }

  boolean isDone() {
    return isDropped || call.isDone();
  }

  /** Ends the call without further work. */
  void drop() {
    isDropped = true;
    cancelTimers();
  }

  private void give(OnceEvent event) {
    if (isDropped) {
      return;
    }
    List<OnceDecision> decisions = call.onEvent(event, now());
    decisions.forEach(this::execute);
    if (isDone()) {
      cancelTimers();
    }
    owner.update(this);
  }

  private void execute(OnceDecision decision) {
    if (decision instanceof OnceDecision.ReturnResult answer) {
      // An answered call is never dispatched afterwards; settling must not hold the body.
      body = null;
      result.complete(answer.result());
    } else if (decision instanceof OnceDecision.WaitUntil wait) {
      pauseTimer = tickAt(wait.nanos());
    } else if (decision instanceof OnceDecision.Dispatch dispatch) {
      dispatch(dispatch);
    } else if (!isAnswered()) {
      perform(decision, this::give);
    } else {
      performInBackground(decision);
    }
  }

  private void performInBackground(OnceDecision decision) {
    if (isDropped) {
      return;
    }
    if (!owner.takeSettlingWork()) {
      long delayMs = WORK_RETRY_MS / 2 + owner.getRandom().nextLong(WORK_RETRY_MS);
      owner
          .getExecutor()
          .schedule(() -> performInBackground(decision), delayMs, TimeUnit.MILLISECONDS);
      return;
    }
    perform(
        decision,
        event -> {
          owner.releaseSettlingWork();
          give(event);
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
      giveLater(new ServiceResult.NotSent("no target of the service is known"));
      return;
    }
    long nowNanos = now();
    long timeoutMs = TimeUnit.NANOSECONDS.toMillis(dispatch.deadlineNanos() - nowNanos);
    if (nowNanos - dispatch.notAfterNanos() >= 0 || timeoutMs <= 0) {
      giveLater(new ServiceResult.NotSent("the time to dispatch the call has passed"));
      return;
    }
    send(address, timeoutMs)
        .thenAcceptAsync(answer -> give(new OnceEvent.Dispatched(answer)), owner.getExecutor());
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

  private void giveLater(ServiceResult answer) {
    owner.getExecutor().execute(() -> give(new OnceEvent.Dispatched(answer)));
  }

  private void lookUp(Consumer<OnceEvent> listener) {
    String address = chooseAddress();
    CompletableFuture<LookupResult> found =
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
    found.thenAcceptAsync(
        answer -> listener.accept(new OnceEvent.LookedUp(answer)), owner.getExecutor());
  }

  private String chooseAddress() {
    List<String> addresses = owner.getPorts().addresses().apply(subject.service);
    return addresses.isEmpty() ? null : addresses.get(owner.getRandom().nextInt(addresses.size()));
  }

  private Future<?> tickAt(long nanos) {
    return owner
        .getExecutor()
        .schedule(() -> give(new OnceEvent.Tick()), nanos - now(), TimeUnit.NANOSECONDS);
  }

  private void cancelTimers() {
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (pauseTimer != null) {
      pauseTimer.cancel(false);
    }
  }

  private long now() {
    return owner.getPorts().nanoClock().getAsLong();
  }
}
