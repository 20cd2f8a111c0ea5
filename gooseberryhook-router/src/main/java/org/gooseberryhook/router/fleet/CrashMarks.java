package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the requests that were running on targets when these crashed. Callers retry such a
 * request at any node, so the nodes share their records; after {@link #MAX_CRASHES} crashes, the
 * request is refused.
 *
 * <p>A request is identified by a fingerprint of its path, workspace and body. A crashing target
 * interrupts many requests, but the same request is unlikely to be among them three times by
 * chance.
 */
public final class CrashMarks {

  /** Number of crashes after which a request is no longer sent to targets. */
  public static final int MAX_CRASHES = 2;

  /** Time for which a crash counts, in milliseconds. */
  public static final long RETENTION_MS = 60_000;

  /** Maximum number of requests that this node records and reports; the oldest are dropped. */
  static final int MAX_MARKS = 64;

  private final LinkedHashMap<Long, Mark> own = new LinkedHashMap<>();
  private final Map<String, Map<Long, Mark>> byPeer = new HashMap<>();

  private record Mark(int crashes, long expiryMs) {}

  /**
   * Records that a target crashed while it ran a request.
   *
   * @param fingerprint fingerprint of the request
   * @param nowMs monotonic time in milliseconds
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
   * Merges the marks that another node reports. Marks are kept until they expire, also when the
   * node is gone.
   *
   * @param peer name of the node
   * @param fingerprints a fingerprint for each crash that the node recorded; empty changes nothing
   * @param nowMs monotonic time in milliseconds
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
   * Returns whether a request must no longer be sent to targets.
   *
   * @param fingerprint fingerprint of the request
   * @param nowMs monotonic time in milliseconds
   * @return true if all nodes together recorded at least {@link #MAX_CRASHES} crashes of the
   *     request
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
   * Returns the marks that this node reports to the others.
   *
   * @param nowMs monotonic time in milliseconds
   * @return a fingerprint for each crash, so that a request with two crashes is listed twice
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
