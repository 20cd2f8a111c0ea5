package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Numbers by which nodes recognize observations of crashes that several nodes pass on. The time of
 * a crash does not identify it: a node that stood still takes a late report for a later crash.
 */
final class ObservationIds {

  /** Stands for the id of an observation whose reporter does not number them. */
  static final long NONE = 0;

  /** Maximum number of ids that are remembered, so that late reports are not counted again. */
  static final int MAX_IDS = 4_096;

  /** Maximum number of retracted observations that are remembered and passed on. */
  static final int MAX_RETRACTIONS = 512;

  private final Map<Long, Long> keptIds = new BoundedMap<>(MAX_IDS, true);
  private final Map<Long, Long> retractionsMs = new BoundedMap<>(MAX_RETRACTIONS, false);
  private long seed;

  /**
   * Creates an empty set.
   *
   * @param seed decides the ids; must differ between processes
   */
  ObservationIds(long seed) {
    this.seed = CrashCauses.hash(seed);
  }

  /** Returns the id of a new observation. */
  long next() {
    long id;
    do {
      id = CrashCauses.hash(seed++);
    } while (id == NONE);
    return id;
  }

  /**
   * Records that an observation is known.
   *
   * @param id its id
   * @param keptId id of the observation of the same crash that is kept instead, or the same id
   */
  void put(long id, long keptId) {
    keptIds.put(id, keptId);
  }

  /**
   * Returns under which id an observation is kept, or was kept before it expired or was cleared.
   *
   * @param id its id
   * @return the id; null if the observation is not known
   */
  Long keptId(long id) {
    return keptIds.get(id);
  }

  /** Forgets an observation, so that a further report of it is accepted. */
  void forget(long id) {
    keptIds.remove(id);
  }

  /**
   * Retracts an observation and those of the same crash that were not kept.
   *
   * @param keptId id of the observation
   * @param timeMs monotonic time in milliseconds
   */
  void retract(long keptId, long timeMs) {
    retractionsMs.putIfAbsent(keptId, timeMs);
    keptIds.forEach(
        (id, kept) -> {
          if (kept == keptId) {
            retractionsMs.putIfAbsent(id, timeMs);
          }
        });
  }

  boolean isRetracted(long id) {
    return retractionsMs.containsKey(id);
  }

  /** Returns the retractions, the earliest one first. */
  List<CrashFindings.Retraction> retractions(long nowMs) {
    List<CrashFindings.Retraction> retractions = new ArrayList<>();
    retractionsMs.forEach(
        (id, timeMs) -> retractions.add(new CrashFindings.Retraction(id, nowMs - timeMs)));
    return retractions;
  }

  /** Forgets retractions of which no node reports the observation any more. */
  void expire(long nowMs) {
    retractionsMs.values().removeIf(timeMs -> nowMs - timeMs >= CrashCauses.RETENTION_MS);
  }
}
