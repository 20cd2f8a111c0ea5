package org.gooseberryhook.router.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Notices which limits of targets have lasted. A limit counts for plans once it has been in force
 * for as long as a spare takes to load the layers of the target: a limit that ends soon then costs
 * no load, and one that lasts costs at most twice the time of the load.
 */
public final class LimitWatch {

  /** Least time for which a limit must be in force. */
  static final long MIN_AGE_MS = 5_000;

  private Map<Life, Long> sinceMs = Map.of();

  private record Life(String id, long startedAtMs) {}

  /**
   * Applies the present limits.
   *
   * @param entries the targets of a service
   * @param limitOf returns the limit of a target in requests a second, or empty if it has none
   * @param profile profile of the engines
   * @param nowMs monotonic time in milliseconds
   * @return the limits that have lasted
   */
  public HeadLimits update(
      List<TargetEntry> entries,
      Function<TargetEntry, OptionalDouble> limitOf,
      EngineProfile profile,
      long nowMs) {
    Map<Life, Long> current = new HashMap<>();
    Map<String, Double> lasting = new HashMap<>();
    for (TargetEntry entry : entries) {
      OptionalDouble perSecond = limitOf.apply(entry);
      if (perSecond.isPresent()) {
        Life life = new Life(entry.id(), entry.startedAtMs());
        long since = sinceMs.getOrDefault(life, nowMs);
        current.put(life, since);
        if (nowMs - since >= Math.max(MIN_AGE_MS, loadMs(entry, profile))) {
          lasting.put(entry.id(), perSecond.getAsDouble());
        }
      }
    }
    sinceMs = current;
    return new HeadLimits(lasting);
  }

  private static double loadMs(TargetEntry entry, EngineProfile profile) {
    int layers = entry.layers().map(held -> held.layerCount()).orElse(0);
    return profile.modelLoadMs() * layers / profile.layerCount();
  }
}
