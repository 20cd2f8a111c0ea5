package org.gooseberryhook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.InterruptedRuns;

/**
 * Keeps one request from crashing targets: rejects it if it, or a part of its prompt, is known to
 * crash them, and records crashes that interrupt it.
 */
final class CrashGuard {

  /** Shortest {@code Retry-After} of a request that waits for the trial of another one. */
  private static final long MIN_RETRY_AFTER_MS = 1_000;

  private final ForwardContext context;
  private final CallerRequest request;
  private final RoutingResult.Routed routed;
  private final String service;
  private List<Long> causes;
  private long requestCause;
  private long trialCause;
  private int trialCrashes;
  private boolean isTrial;

  /** Whether a response began, which shows that no part of the prompt crashes targets. */
  private boolean hasResponseStarted;

  /** Whether a run that had events was interrupted and may have crashed its target. */
  private boolean wasInterrupted;

  private final InterruptedRuns runs = new InterruptedRuns();

  CrashGuard(
      ForwardContext context, CallerRequest request, RoutingResult.Routed routed, String service) {
    this.context = context;
    this.request = request;
    this.routed = routed;
    this.service = service;
  }

  /**
   * Returns why the request must not be sent.
   *
   * @param mayHaveRun whether a target may have run it before
   * @return the response to the caller, empty if the request may be sent
   */
  Optional<ProblemResponse> rejection(boolean mayHaveRun) {
    CrashCauses crashCauses = context.crashCauses();
    if (crashCauses.isEmpty()) {
      return Optional.empty();
    }
    CrashCauses.Verdict verdict = decide();
    if (!verdict.isRejected() || isOwnTrial(verdict) || mayGoOn(verdict)) {
      return Optional.empty();
    }
    context
        .log()
        .recordEvent(
            "crash-rejected",
            request.metadata().attemptId(),
            "cause",
            Long.toHexString(verdict.cause()),
            "crashes",
            verdict.crashes(),
            "decision",
            verdict.decision());
    if (verdict.decision() == CrashCauses.Decision.NEVER) {
      return Optional.of(
          ProblemResponse.doNotRepeat(
              "crashes-targets",
              "this request, or a part of its prompt, crashed targets before",
              mayHaveRun));
    }
    String detail = "this request, or a part of its prompt, may have crashed targets before";
    long retryAfterMs =
        Math.max(MIN_RETRY_AFTER_MS, verdict.retryAfterMs())
            + context.random().nextLong(StreamLimits.RETRY_SPREAD_MS);
    return Optional.of(
        mayHaveRun
            ? ProblemResponse.mayHaveRun("crashes-targets", detail)
            : ProblemResponse.notRun("crashes-targets", detail, retryAfterMs));
  }

  /**
   * Returns whether a stream that has begun may run once more. Its targets may have ended for other
   * reasons, and if they did not, the next crash shows it. Streams that can't be told apart would
   * only be in the next crash together again.
   */
  private boolean mayGoOn(CrashCauses.Verdict verdict) {
    return hasResponseStarted
        && verdict.decision() == CrashCauses.Decision.LATER
        && !verdict.isAmbiguous();
  }

  /** Returns whether the verdict only says that this request's own trial is in progress. */
  private boolean isOwnTrial(CrashCauses.Verdict verdict) {
    return isTrial && verdict.cause() == trialCause && verdict.crashes() == trialCrashes;
  }

  /**
   * Must be called when the request is about to be sent. Claims the trial if the request is one.
   *
   * @param mayHaveRun whether a target may have run it before
   * @return the response to the caller, empty if the request may be sent
   */
  Optional<ProblemResponse> beforeSend(boolean mayHaveRun) {
    Optional<ProblemResponse> rejection = rejection(mayHaveRun);
    if (rejection.isEmpty() && !isTrial && !context.crashCauses().isEmpty()) {
      CrashCauses.Verdict verdict = decide();
      if (verdict.decision() == CrashCauses.Decision.TRIAL) {
        isTrial = true;
        trialCause = verdict.cause();
        trialCrashes = verdict.crashes();
        context.crashCauses().startTrial(trialCause);
        context
            .log()
            .recordEvent(
                "crash-trial",
                request.metadata().attemptId(),
                "cause",
                Long.toHexString(trialCause),
                "crashes",
                verdict.crashes());
      }
    }
    return rejection;
  }

  /**
   * Must be called when a target begins the response to a stream: it has read the prompt, whose
   * parts do not crash targets. The request itself may still do so with a later event.
   */
  void onResponseStarted() {
    hasResponseStarted = true;
    recordSound(partCauses());
  }

  /** Must be called when a target has sent a whole response: the request is sound. */
  void onResponseWhole() {
    hasResponseStarted = true;
    runs.onWhole();
    recordSound(context.crashCauses().isEmpty() ? partCauses() : causes());
  }

  private void recordSound(List<Long> sound) {
    List<Long> cleared = context.crashCauses().recordSoundStart(sound, context.clock().nowMs());
    if (isTrial && sound.contains(trialCause)) {
      context
          .log()
          .recordEvent(
              "crash-trial-passed", request.metadata().attemptId(), "cleared", cleared.size());
      endTrial();
    }
  }

  /** Must be called when the request has ended or is not sent again. */
  void onFinished() {
    endTrial();
    runs.onEnd().forEach(this::recordCrashOfRun);
  }

  private void endTrial() {
    if (isTrial) {
      isTrial = false;
      context.crashCauses().endTrial(trialCause);
    }
  }

  /**
   * Must be called when a run that had no event was interrupted. Records a crash if one of the
   * targets has ended.
   *
   * @param addresses addresses of the targets that ran the request, first the one that it was sent
   *     to; empty if none did
   * @param onChecked called once, after the check of the targets
   */
  void onInterrupted(List<String> addresses, Runnable onChecked) {
    if (addresses.isEmpty()) {
      onChecked.run();
      return;
    }
    // The body, of which a cause is made, may be released before the checks end.
    causes();
    new CrashCheck(
            context,
            addresses,
            (address, crashMs) -> recordCrash(causes(), address, crashMs),
            onChecked)
        .start();
  }

  /**
   * Must be called when a run ends that had events, before {@link #onRunInterrupted}.
   *
   * @param events number of its events
   */
  void onRunEnded(int events) {
    runs.onRun(events);
  }

  /**
   * Must be called when a run that had events was interrupted. The request waits for the check of
   * the targets only if it is suspected of a crash: most streams are interrupted by others.
   *
   * @param addresses addresses of the targets that ran the request, first the one that it was sent
   *     to
   * @param events number of events of the run
   * @param onChecked called once, when the request may be sent again
   */
  void onRunInterrupted(List<String> addresses, int events, Runnable onChecked) {
    if (!runs.mayBeCause(events)) {
      onChecked.run();
      return;
    }
    boolean mustWait = wasInterrupted || isSuspected();
    wasInterrupted = true;
    causes();
    new CrashCheck(
            context,
            addresses,
            (address, crashMs) ->
                runs.onCrash(new InterruptedRuns.Crash(address, crashMs, events), isSuspected())
                    .forEach(this::recordCrashOfRun),
            mustWait ? onChecked : () -> {})
        .start();
    if (!mustWait) {
      onChecked.run();
    }
  }

  private boolean isSuspected() {
    CrashCauses crashCauses = context.crashCauses();
    return !crashCauses.isEmpty() && crashCauses.isSuspected(requestCause());
  }

  private void recordCrashOfRun(InterruptedRuns.Crash crash) {
    recordCrash(List.of(requestCause()), crash.address(), crash.crashMs());
  }

  private void recordCrash(List<Long> crashCauses, String address, long crashMs) {
    context
        .crashCauses()
        .recordCrash(crashCauses, workspace(), CrashCauses.targetHash(address), crashMs);
    context
        .log()
        .recordEvent(
            "crash",
            request.metadata().attemptId(),
            "target",
            address,
            "causes",
            crashCauses.stream().map(Long::toHexString).toList());
  }

  private CrashCauses.Verdict decide() {
    List<Long> possible = hasResponseStarted ? List.of(requestCause()) : causes();
    return context
        .crashCauses()
        .decide(possible, workspace(), context.fleet()::nodesBefore, context.clock().nowMs());
  }

  private long workspace() {
    return CrashCauses.hash(routed.workspace().map(Workspace::name).orElse("").hashCode());
  }

  /** Returns the possible causes: the shared parts of the prompt, and the request itself. */
  private List<Long> causes() {
    if (causes == null) {
      List<Long> found = partCauses();
      requestCause = fingerprint();
      found.add(requestCause);
      causes = found.stream().distinct().toList();
    }
    return causes;
  }

  /** Returns the cause that stands for the request itself. */
  private long requestCause() {
    causes();
    return requestCause;
  }

  /** Returns a cause for each part of the prompt but the last, which no other request shares. */
  private List<Long> partCauses() {
    List<Long> parts = request.metadata().promptParts();
    List<Long> found = new ArrayList<>();
    for (int i = 0; i < parts.size() - 1; i++) {
      found.add(CrashCauses.hash(parts.get(i) ^ service.hashCode()));
    }
    return found;
  }

  /** Returns a checksum of the path, workspace and body, equal for each repeat of a request. */
  private long fingerprint() {
    CRC32C low = new CRC32C();
    low.update(request.path().getBytes(StandardCharsets.UTF_8));
    routed.workspace().ifPresent(w -> low.update(w.name().getBytes(StandardCharsets.UTF_8)));
    for (long part : request.metadata().promptParts()) {
      low.update(Long.toString(part).getBytes(StandardCharsets.UTF_8));
    }
    CRC32C high = new CRC32C();
    byte[] body = new byte[request.body().readableBytes()];
    request.body().getBytes(request.body().readerIndex(), body);
    high.update(body);
    return (high.getValue() << 32) | low.getValue();
  }
}
