package org.gooseberryhook.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the target that loads its layers next in one load slot. Data centres take turns, so that
 * one that returns with all its targets empty does not block the others. One load runs at a time.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class LayerLoadQueue {

  /** Time after which a load that was not confirmed frees its slot, in nanoseconds. */
  static final long LOAD_TIMEOUT_NANOS = 600_000_000_000L;

  private final Map<String, Long> lastTurnByPlace = new HashMap<>();
  private long lastTurn;
  private String loadingTargetId;
  private long loadStartedNanos;

  /**
   * A target that is ready to load.
   *
   * @param targetId the target
   * @param place its data centre
   * @since 0.1
   */
  public record Candidate(String targetId, String place) {}

  /**
   * Returns the target that may be ordered to load now and gives it the load slot.
   *
   * @param candidates the targets that are ready
   * @param nowNanos monotonic time
   * @return the target; empty if a load is under way or no target is ready
   */
  public Optional<String> start(Collection<Candidate> candidates, long nowNanos) {
    if (loadingTargetId != null && nowNanos - loadStartedNanos < LOAD_TIMEOUT_NANOS) {
      return Optional.empty();
    }
    Optional<Candidate> next =
        candidates.stream()
            .min(
                Comparator.comparingLong(
                        (Candidate candidate) ->
                            lastTurnByPlace.getOrDefault(candidate.place(), 0L))
                    .thenComparing(Candidate::targetId));
    next.ifPresent(
        candidate -> {
          lastTurn++;
          lastTurnByPlace.put(candidate.place(), lastTurn);
          loadingTargetId = candidate.targetId();
          loadStartedNanos = nowNanos;
        });
    return next.map(Candidate::targetId);
  }

  /**
   * Frees the load slot of a target; ignored if the target does not hold it.
   *
   * @param targetId the target
   */
  public void finish(String targetId) {
    if (targetId.equals(loadingTargetId)) {
      loadingTargetId = null;
    }
  }

  /**
   * Returns whether a target holds the load slot.
   *
   * @param targetId the target
   * @return true if it may be ordered to load
   */
  public boolean isLoading(String targetId) {
    return targetId.equals(loadingTargetId);
  }
}
