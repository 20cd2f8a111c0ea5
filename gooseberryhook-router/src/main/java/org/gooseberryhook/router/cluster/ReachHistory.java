package org.gooseberryhook.router.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers when this node lost targets of each service, and decides which reports of other nodes
 * are recent enough to rely on them. Several nodes often lose their links at once, and each still
 * reports what it reached before until it has noticed.
 */
public final class ReachHistory {

  /** Time that another node may need longer than this one to notice and report the same loss. */
  public static final long SETTLE_MS = 300;

  private final Map<String, Long> lostMs = new HashMap<>();
  private Map<String, Integer> reachableTargets = Map.of();

  /**
   * Applies what this node reaches now.
   *
   * @param now number of targets that it reaches, by service; an immutable map
   * @param nowMs monotonic time in milliseconds
   */
  public void update(Map<String, Integer> now, long nowMs) {
    if (now != reachableTargets) {
      reachableTargets.forEach(
          (service, count) -> {
            if (now.getOrDefault(service, 0) < count) {
              lostMs.put(service, nowMs);
            }
          });
      lostMs.keySet().retainAll(now.keySet());
      reachableTargets = now;
    }
  }

  /**
   * Returns whether a report shows that its sender has not lost the same targets as this node.
   *
   * @param service name of the service
   * @param receivedMs monotonic time at which the report arrived
   * @return false for a report from before the loss or shortly after it
   */
  public boolean isSettled(String service, long receivedMs) {
    Long lost = lostMs.get(service);
    return lost == null || receivedMs >= lost + SETTLE_MS;
  }
}
