package org.gooseberryhook.router.forward;

import java.util.Map;
import org.gooseberryhook.router.admission.CostKey;
import org.gooseberryhook.router.admission.CostModel;
import org.gooseberryhook.router.admission.ExpectedOutput;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.RemainingWork;
import org.gooseberryhook.router.admission.TargetChooser;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsView;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.TargetEntry;

/** Feeds the cost model with the requests of this node, and asks it about new ones. */
final class RequestCosts {

  private static final String SERVED = "served";
  private static final String HANDED_OVER = "handed-over";

  private final CostModel model;
  private final RemainingWork remaining = new RemainingWork();
  private final MonotonicClock clock;
  private long expectedTokens;
  private long servedTokens;

  /**
   * A plain request in progress at a target.
   *
   * @param route name of its route
   * @param targetId id of the target
   * @param work what the target has left to do for it
   * @param hasSlot whether a slot of the target was free when it was sent, as far as is known
   */
  record PlainRun(String route, String targetId, RemainingWork.PlainWork work, boolean hasSlot) {}

  RequestCosts(FleetSumsView fleetSums, MonotonicClock clock) {
    this.model = new CostModel(fleetSums);
    this.clock = clock;
  }

  /** Returns what the targets have left to do for this node's requests. */
  RemainingWork remaining() {
    return remaining;
  }

  /** Returns the output that is expected of a whole stream. */
  ExpectedOutput expectedOutput(
      RoutingResult.Routed routed, RequestMetadata metadata, EngineProfile profile, long nowMs) {
    return model.expectedOutput(
        key(routed), metadata.estimatedOutputTokens(), metadata.maxOutputTokens(), profile, nowMs);
  }

  /**
   * Learns from a stream that ended at this node. One that its caller resumed is not learned: the
   * tokens before are not known.
   *
   * @param profile profile of the engines
   * @param outcome how it ended
   * @param expected output that was expected of it, null if it was never considered
   * @param progress what its caller received
   */
  void recordStream(
      RoutingResult.Routed routed,
      RequestMetadata metadata,
      EngineProfile profile,
      String outcome,
      ExpectedOutput expected,
      StreamProgress progress) {
    int tokens = progress.generatedTokens();
    if (metadata.lastEventId().isPresent() || tokens == 0 || outcome.equals(HANDED_OVER)) {
      return;
    }
    int max = metadata.maxOutputTokens().orElse(0);
    // The tokens of the last event are counted as a full event.
    boolean isMaxExceeded = max >= 1 && tokens - max >= profile.decodeStepsPerPass();
    if (isMaxExceeded) {
      model.onMaxExceeded(key(routed), clock.nowMs());
    }
    boolean isWhole = outcome.equals(SERVED) && (max < 1 || tokens < max || isMaxExceeded);
    if (isWhole) {
      model.onEnded(key(routed), metadata.estimatedOutputTokens(), tokens, clock.nowMs());
    } else {
      model.onCutOff(key(routed), metadata.estimatedOutputTokens(), tokens, clock.nowMs());
    }
    if (outcome.equals(SERVED) && expected != null) {
      expectedTokens += expected.meanTokens();
      servedTokens += tokens;
    }
  }

  private static CostKey key(RoutingResult.Routed routed) {
    return new CostKey(routed.route().name(), routed.workspace().map(Workspace::name).orElse(""));
  }

  /** Returns what is known about the work times of a route's plain requests. */
  TargetChooser.WorkTimes workTimes(String route, long nowMs) {
    return new TargetChooser.WorkTimes() {
      @Override
      public double usualMs() {
        return model.expectedWorkMs(route, nowMs);
      }

      @Override
      public double atTargetMs(String targetId) {
        return model.expectedWorkMs(route, targetId, nowMs);
      }

      @Override
      public double ownLeftMs(String targetId) {
        return remaining.plainLeftMs(targetId, atTargetMs(targetId), nowMs);
      }
    };
  }

  /**
   * Records that a plain request is sent to a target.
   *
   * @param loads loads of the targets, with the request
   */
  PlainRun startPlain(String route, TargetEntry target, LoadTracker loads) {
    long nowMs = clock.nowMs();
    double expectedMs = model.expectedWorkMs(route, target.id(), nowMs);
    boolean hasSlot = loads.totalLoad(target.id()).requests() <= Math.max(1, target.slots());
    RemainingWork.PlainWork work = remaining.addPlain(target.id(), expectedMs, nowMs);
    return new PlainRun(route, target.id(), work, hasSlot);
  }

  /** Records that a plain request is no longer in progress at its target. */
  void endPlain(PlainRun run) {
    remaining.removePlain(run.work());
  }

  /**
   * Learns from a plain request that was answered. One that was sent while all slots of the target
   * were taken is not learned: its time contains the wait for a slot.
   */
  void recordPlain(PlainRun run, long tookMs) {
    if (run.hasSlot()) {
      model.onPlainEnded(run.route(), run.targetId(), tookMs, clock.nowMs());
    }
  }

  /** Returns the lengths that this node learned, for the sums of the fleet. */
  FleetSums own(long nowMs) {
    return model.own(nowMs);
  }

  /** Returns values by name of the gauge. */
  Map<String, Long> gauges() {
    return Map.of(
        "learned_workspaces",
        (long) model.workspaceCount(),
        "learned_work_times",
        (long) model.workTimeCount(),
        "output_tokens_expected",
        expectedTokens,
        "output_tokens_served",
        servedTokens,
        "output_tokens_left",
        remaining.outputTokensLeft());
  }
}
