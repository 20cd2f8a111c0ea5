package org.gooseberryhook.coordination;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhook.coordination.FuzzWorld.Variant;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.StageReceipt;
import org.gooseberryhook.protocol.TokenEvent;
import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PriorityClass;

/** One model call at one node: admission, routing, attempts and retries as a node does them. */
final class FuzzModelCall {

  private static final long MS = FuzzWorld.MS;
  private static final long DEADLINE_NANOS = 8_000 * MS;
  private static final int MAX_ATTEMPTS = 6;

  /** State at the caller, which continues if the node ends. */
  static final class Request {
    final String id;
    final String workspace;
    final String prompt;
    final List<Integer> received = new ArrayList<>();
    FuzzModelCall current;
    int resumes;

    Request(String id, String workspace, String prompt) {
      this.id = id;
      this.workspace = workspace;
      this.prompt = prompt;
    }
  }

  final FuzzNode node;
  final Request request;
  final long fingerprint;
  Pipeline pipeline;
  boolean isOver;
  QuotaAdmission admission;
  private final FuzzWorld world;
  private final StreamSession session;
  private final RouteRequest routeRequest;
  private final Set<String> excluded = new HashSet<>();
  private final long arrivalNanos;
  private final long startNanos;
  private final int resumedCount;
  private final int estimate;
  private RoutedAttempt routedAttempt;
  private FuzzEngines.Attempt attempt;
  private long lastEventNanos;
  private long routeSinceNanos;
  private int firstStep;
  private boolean mayHaveRun;
  private boolean isInFlight;

  FuzzModelCall(FuzzNode node, Request request) {
    this.node = node;
    this.world = node.world;
    this.request = request;
    this.arrivalNanos = node.clock();
    this.startNanos = world.now;
    this.resumedCount = request.received.size();
    this.estimate = request.prompt.length() / 4 + FuzzEngines.MAX_TOKENS;
    this.fingerprint = CrashMarkRegistry.fingerprintOf(request.workspace, "m", request.prompt);
    this.session =
        new StreamSession(request.id, FuzzEngines.LAYERS, FuzzEngines.MAX_TOKENS, request.received);
    byte[] prompt = request.prompt.getBytes(StandardCharsets.UTF_8);
    this.routeRequest =
        new RouteRequest(
            "m",
            "1",
            PriorityClass.INTERACTIVE,
            PromptBlocks.of("m", "1", prompt),
            Math.max(1, prompt.length / 4),
            FuzzEngines.MAX_TOKENS);
    request.current = this;
  }

  void admit() {
    if (isOver) {
      return;
    }
    QuotaDecision decision = node.holder.tryAdmit(request.workspace, 1, estimate, node.clock());
    if (decision instanceof QuotaDecision.Admitted admitted) {
      admission = admitted.admission();
      world.oracle.onAdmitted(request.workspace, estimate);
      routeSinceNanos = node.clock();
      route();
    } else if (((QuotaDecision.Limited) decision).bound() == QuotaDecision.Bound.AWAITING_GRANT
        && node.clock() - arrivalNanos < 4_000 * MS) {
      node.post(10 * MS, this::admit);
    } else {
      world.oracle.countEvent("limited " + ((QuotaDecision.Limited) decision).bound());
      finish();
    }
  }

  private void route() {
    if (isOver) {
      return;
    }
    RunRule rule = node.crashMarks.getRule(fingerprint, node.clock());
    if (rule instanceof RunRule.Refused) {
      finish();
      return;
    }
    Isolation isolation =
        rule instanceof RunRule.Alone
            ? Isolation.ALONE
            : rule instanceof RunRule.ApartFromOtherSuspects
                ? Isolation.NO_OTHER_SUSPECT
                : Isolation.NONE;
    RouteResult result =
        node.router.route(
            routeRequest,
            new RouteConstraints(Set.of(), excluded, isolation),
            node.clock(),
            node.random);
    if (result instanceof RouteResult.Chosen chosen) {
      start(chosen);
    } else if (node.clock() - routeSinceNanos >= 3_000 * MS) {
      finish();
    } else {
      excluded.clear();
      node.post(50 * MS, this::route);
    }
  }

  private void start(RouteResult.Chosen chosen) {
    pipeline = chosen.pipeline();
    routedAttempt = chosen.attempt();
    int number = session.beginAttempt();
    firstStep = session.getDeliveredCount();
    lastEventNanos = node.clock();
    isInFlight = true;
    node.router.onDispatched(routedAttempt, node.clock());
    world.oracle.onAttemptStarted(node, pipeline);
    List<EngineStart.Stage> stages = new ArrayList<>();
    pipeline
        .stages()
        .forEach(
            stage ->
                stages.add(
                    new EngineStart.Stage(
                        stage.targetId(),
                        stage.address(),
                        stage.layers().firstLayer(),
                        stage.layers().endLayer())));
    attempt =
        world.engines.start(
            this,
            new EngineStart(
                request.id,
                number,
                "m",
                "1",
                FuzzEngines.LAYERS,
                request.prompt,
                FuzzEngines.MAX_TOKENS,
                session.getDeliveredTokenIds(),
                0,
                1_000,
                stages));
  }

  void onEvent(TokenEvent event) {
    if (isOver) {
      return;
    }
    TokenEvent seen = world.variant == Variant.NO_RECEIPT_CHECK ? withFullReceipt(event) : event;
    boolean isOwnEnd = event.isEnd() && event.requestId().equals(request.id);
    StreamSession.Decision decision = session.onEvent(seen);
    if (decision instanceof StreamSession.Decision.Deliver deliver) {
      onToken(deliver);
    } else if (decision instanceof StreamSession.Decision.Complete
        || isOwnEnd && isInFlight && world.variant == Variant.ANY_END_COMPLETES) {
      complete();
    } else if (decision instanceof StreamSession.Decision.Abandon abandon) {
      onAttemptFailed(abandon.reason(), abandon.lostTarget());
    }
  }

  private static TokenEvent withFullReceipt(TokenEvent event) {
    StageReceipt all = new StageReceipt(0, FuzzEngines.LAYERS, event.step(), event.attempt());
    return event.isEnd() || event.error() != null
        ? event
        : TokenEvent.ofToken(
            event.requestId(),
            event.attempt(),
            event.step(),
            event.tokenId(),
            event.text(),
            List.of(all));
  }

  private void onToken(StreamSession.Decision.Deliver deliver) {
    if (deliver.step() == firstStep) {
      node.router.onFirstToken(routedAttempt, node.clock());
    } else {
      node.router.onToken(routedAttempt, node.clock());
    }
    lastEventNanos = node.clock();
    if (request.current != this) {
      cancelAttempt();
      close(true);
      return;
    }
    world.oracle.onToken(request, deliver.step(), deliver.tokenId());
  }

  private void complete() {
    isInFlight = false;
    node.router.onFinished(routedAttempt, node.clock(), node.random);
    routedAttempt = null;
    node.crashMarks
        .recordCompletion(fingerprint, "c" + world.nextId(), node.clock())
        .ifPresent(node::broadcast);
    close(true);
    if (request.current == this) {
      world.oracle.onComplete(request);
    }
  }

  private void onAttemptFailed(String reason, String lostTarget) {
    boolean isNotSent = FuzzEngines.NOT_SENT.equals(reason);
    boolean hasProgress = session.getDeliveredCount() > firstStep;
    mayHaveRun |= !isNotSent;
    if (lostTarget != null) {
      node.onTargetDied(lostTarget, !isNotSent);
    }
    attempt.cancel();
    isInFlight = false;
    endDispatch(isNotSent ? AttemptFailure.NOT_SENT : AttemptFailure.ENGINE, lostTarget);
    if (lostTarget == null) {
      pipeline.stages().forEach(stage -> excluded.add(stage.targetId()));
    } else {
      excluded.add(lostTarget);
    }
    if (session.getAttempt() >= MAX_ATTEMPTS) {
      finish();
      return;
    }
    routeSinceNanos = node.clock();
    route();
  }

  /** Checks the stall timeout and the deadline; called at each tick of the node. */
  void checkTimeouts() {
    if (isOver) {
      return;
    }
    if (node.clock() - arrivalNanos >= DEADLINE_NANOS) {
      finish();
    } else if (isInFlight && node.clock() - lastEventNanos > 2_000 * MS) {
      session.abandon("stalled", null);
      onAttemptFailed("stalled", null);
    }
  }

  boolean isHoldingSlot(String workspace) {
    // A grantor frees the slots of a node that stays silent once the deadline has passed on the
    // grantor's clock.
    boolean isBeforeDeadline = world.now - startNanos < DEADLINE_NANOS * 97 / 100;
    return admission != null && request.workspace.equals(workspace) && isBeforeDeadline;
  }

  long ageMs() {
    return (world.now - startNanos) / MS;
  }

  boolean isUsing(String targetId) {
    return !isOver && isInFlight && pipeline.isUsing(targetId);
  }

  private void finish() {
    boolean isNotRun = !(mayHaveRun || isInFlight) || world.variant == Variant.ALWAYS_NOT_RUN;
    cancelAttempt();
    close(!isNotRun);
    if (request.current == this) {
      world.oracle.onProblem(this, isNotRun ? Outcome.NOT_RUN : Outcome.UNKNOWN);
    }
  }

  private void cancelAttempt() {
    if (isInFlight) {
      attempt.cancel();
    }
    isInFlight = false;
    endDispatch(AttemptFailure.CANCELLED, null);
  }

  private void endDispatch(AttemptFailure failure, String lostTarget) {
    if (routedAttempt != null) {
      node.router.onFailed(routedAttempt, failure, lostTarget, node.clock(), node.random);
      routedAttempt = null;
    }
  }

  private void close(boolean hasRun) {
    isOver = true;
    node.calls.remove(this);
    if (admission != null) {
      int newTokens = session.getDeliveredCount() - resumedCount;
      long actual = hasRun ? (long) routeRequest.promptTokens() + newTokens : 0;
      node.holder.settle(admission, hasRun, actual, node.clock());
      world.oracle.onSettled(request.workspace, hasRun ? 0 : 1, estimate - actual);
    }
  }
}
