package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that crash the targets that run them. Callers send such a request again, at any node, so
 * the nodes share what they saw; after {@link #MAX_CRASHES} crashes the request is refused.
 *
 * <p>A request is known by a fingerprint of its path, workspace and body. A target that fails takes
 * many requests with it, but the same request is hardly caught three times by chance.
 */
public final class CrashMarks {

  /** Crashes after which a request is no longer sent to targets. */
  public static final int MAX_CRASHES = 2;

  /** Time for which a crash is remembered. */
  public static final long RETENTION_MS = 60_000;

  /** Crashes of this node that are remembered and reported at most; the oldest are forgotten. */
  static final int MAX_MARKS = 64;

  private final LinkedHashMap<Long, Mark> own = new LinkedHashMap<>();
  private final Map<String, Map<Long, Mark>> byPeer = new HashMap<>();

  private record Mark(int crashes, long expiryMs) {}

  /**
   * Notes that a target crashed while it ran a request.
   *
   * @param fingerprint fingerprint of the request
   * @param nowMs monotonic time
   */
  public void recordCrash(long fingerprint, long nowMs) {
    Mark before = own.remove(fingerprint);
    int crashes = before == null ? 1 : before.crashes() + 1;
    own.put(fingerprint, new Mark(crashes, nowMs + RETENTION_MS));
    if (own.size() > MAX_MARKS) {
      Iterator<Long> oldest = own.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Takes what another node reports. Its marks are kept when the node goes.
   *
   * @param peer name of the node
   * @param fingerprints a fingerprint for each crash that it saw
   * @param nowMs monotonic time
   */
  public void mergePeerMarks(String peer, List<Long> fingerprints, long nowMs) {
    if (fingerprints.isEmpty()) {
      return;
    }
    Map<Long, Mark> marks = byPeer.computeIfAbsent(peer, p -> new HashMap<>());
    marks.values().removeIf(mark -> mark.expiryMs() <= nowMs);
    Map<Long, Integer> counts = new HashMap<>();
    fingerprints.forEach(f -> counts.merge(f, 1, Integer::sum));
    counts.forEach(
        (fingerprint, count) -> {
          Mark known = marks.get(fingerprint);
          if (known == null || known.crashes() < count) {
            marks.put(fingerprint, new Mark(count, nowMs + RETENTION_MS));
          }
        });
  }

  /**
   * Tells whether a request should not be sent to targets any more.
   *
   * @param fingerprint fingerprint of the request
   * @param nowMs monotonic time
   * @return true if it crashed too many targets
   */
  public boolean isBlocked(long fingerprint, long nowMs) {
    int crashes = crashes(own.get(fingerprint), nowMs);
    for (Map<Long, Mark> marks : byPeer.values()) {
      crashes += crashes(marks.get(fingerprint), nowMs);
    }
    return crashes >= MAX_CRASHES;
  }

  private static int crashes(Mark mark, long nowMs) {
    return mark == null || mark.expiryMs() <= nowMs ? 0 : mark.crashes();
  }

  /**
   * Returns this node's marks for its reports.
   *
   * @param nowMs monotonic time
   * @return a fingerprint for each crash
   */
  public List<Long> ownMarks(long nowMs) {
    own.values().removeIf(mark -> mark.expiryMs() <= nowMs);
    List<Long> marks = new ArrayList<>();
    own.forEach(
        (fingerprint, mark) -> {
          for (int i = 0; i < mark.crashes(); i++) {
            marks.add(fingerprint);
          }
        });
    return marks;
  }
}
