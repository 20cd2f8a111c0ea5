package org.gooseberryhook.router.node;

import java.util.Map;
import org.gooseberryhook.router.admission.TargetPauses;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.ResponseMetadata;

/**
 * What targets say about themselves in their answers: that they are about to leave, which concerns
 * all nodes, and that they want no requests of this node for a time. Used on the event loop only.
 */
final class TargetAnnouncements {

  private final TargetRegistry registry;
  private final MonotonicClock clock;
  private final Runnable onLeaving;
  private final DecisionLog log;
  private final TargetPauses pauses = new TargetPauses();
  private long heardLeavingCount;

  /**
   * Creates the announcements of no target.
   *
   * @param registry the targets
   * @param clock monotonic clock
   * @param onLeaving called when targets are used no more because they leave
   * @param log log of routing decisions
   */
  TargetAnnouncements(
      TargetRegistry registry, MonotonicClock clock, Runnable onLeaving, DecisionLog log) {
    this.registry = registry;
    this.clock = clock;
    this.onLeaving = onLeaving;
    this.log = log;
  }

  /** Returns the pauses that targets asked this node for. */
  TargetPauses pauses() {
    return pauses;
  }

  /** Handles what a target says about itself in an answer to this node. */
  void onAnswer(TargetEntry target, ResponseMetadata metadata) {
    String address = target.address();
    if (metadata.isLeaving() && registry.announceLeaving(target.id(), target.startedAtMs())) {
      heardLeavingCount++;
      recordLeaving(target.id(), address, "target");
      onLeaving.run();
    }
    if (metadata.retryAfter().isPresent()) {
      String retryAfter = metadata.retryAfter().get();
      TargetPauses.Verdict verdict = pauses.onAsked(address, retryAfter, clock.nowMs());
      log.recordEvent(
          "target-pauses", "", "target", address, "asked", retryAfter, "verdict", verdict);
    }
  }

  /**
   * Applies the announcements of leaving that another node knows of. Those of another life of a
   * target and of targets that this node does not list are left out; later reports repeat them.
   *
   * @param node name of the other node
   * @param startedAtMsById start of the targets' lives, in Unix milliseconds, by target id
   */
  void onLeavingReported(String node, Map<String, Long> startedAtMsById) {
    boolean isChanged = false;
    for (Map.Entry<String, Long> announced : startedAtMsById.entrySet()) {
      if (registry.onReportedLeaving(announced.getKey(), announced.getValue())) {
        isChanged = true;
        recordLeaving(announced.getKey(), "", node);
      }
    }
    if (isChanged) {
      onLeaving.run();
    }
  }

  private void recordLeaving(String id, String address, String source) {
    log.recordEvent("leaving-announced", "", "target", address, "id", id, "from", source);
  }

  /** Returns how often a target told this node itself; others must learn of it at once. */
  long heardLeavingCount() {
    return heardLeavingCount;
  }
}
