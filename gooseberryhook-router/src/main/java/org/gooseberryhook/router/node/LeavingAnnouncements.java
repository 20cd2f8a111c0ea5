package org.gooseberryhook.router.node;

import java.util.Map;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;

/**
 * What targets say in their answers about leaving, to this node or to others. Used on the event
 * loop only.
 */
final class LeavingAnnouncements {

  private final TargetRegistry registry;
  private final Runnable onChange;
  private final DecisionLog log;
  private long heardCount;

  /**
   * Creates the announcements of no target.
   *
   * @param registry the targets
   * @param onChange called when targets are used no more
   * @param log log of routing decisions
   */
  LeavingAnnouncements(TargetRegistry registry, Runnable onChange, DecisionLog log) {
    this.registry = registry;
    this.onChange = onChange;
    this.log = log;
  }

  /** Handles an answer in which a target says that it is about to leave. */
  void onAnnounced(TargetEntry target) {
    if (registry.announceLeaving(target.id(), target.startedAtMs())) {
      heardCount++;
      record(target.id(), target.address(), "target");
      onChange.run();
    }
  }

  /**
   * Applies the announcements that another node knows of. Those of another life of a target and of
   * targets that this node does not list are left out; later reports repeat them.
   *
   * @param node name of the other node
   * @param startedAtMsById start of the targets' lives, in Unix milliseconds, by target id
   */
  void onReport(String node, Map<String, Long> startedAtMsById) {
    boolean isChanged = false;
    for (Map.Entry<String, Long> announced : startedAtMsById.entrySet()) {
      if (registry.announceLeaving(announced.getKey(), announced.getValue())) {
        isChanged = true;
        record(announced.getKey(), "", node);
      }
    }
    if (isChanged) {
      onChange.run();
    }
  }

  private void record(String id, String address, String source) {
    log.recordEvent("leaving-announced", "", "target", address, "id", id, "from", source);
  }

  /** Returns how often a target told this node itself; others must learn of it at once. */
  long heardCount() {
    return heardCount;
  }
}
