package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;

/** The starts that the list of targets shows, and since when this node knows them. */
final class ListedStarts {

  private final Map<String, ListedStart> startsByAddress = new HashMap<>();

  /** Learns that a target was alive all the time. */
  @FunctionalInterface
  interface AliveListener {
    /**
     * Called when a target answers under the start that the list shows.
     *
     * @param address address of the target
     * @param sinceMs monotonic time since when the list shows that start
     */
    void onAlive(String address, long sinceMs);
  }

  private record ListedStart(long startedAtMs, long sinceMs) {}

  /** Applies the present list. */
  void update(List<TargetEntry> targets, long nowMs) {
    Set<String> listed = new HashSet<>();
    for (TargetEntry entry : targets) {
      listed.add(entry.address());
      ListedStart known = startsByAddress.get(entry.address());
      if (known == null || known.startedAtMs() != entry.startedAtMs()) {
        startsByAddress.put(entry.address(), new ListedStart(entry.startedAtMs(), nowMs));
      }
    }
    startsByAddress.keySet().retainAll(listed);
  }

  /** Calls the listener if a target that answers reports the start that the list shows. */
  void onAnswer(String address, long bornMs, AliveListener listener) {
    ListedStart listed = startsByAddress.get(address);
    if (listed != null && bornMs != 0 && listed.startedAtMs() == bornMs) {
      listener.onAlive(address, listed.sinceMs());
    }
  }
}
