package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.forward.DecisionLog;

/**
 * The entries of a list that are left out because they are not valid. Logs each when it appears and
 * when its reason changes, but not at each read: its writer may repeat it with every heartbeat.
 */
final class LeftOutEntries {

  /** Maximum number of entries whose reasons are remembered and counted. */
  static final int MAX_ENTRIES = 4_096;

  private final String list;
  private final DecisionLog log;
  private final Map<String, String> reasons = new HashMap<>();

  LeftOutEntries(String list, DecisionLog log) {
    this.list = list;
    this.log = log;
  }

  /** Records all entries of the list. */
  <T> void replaceAll(List<FeedResult.Change<T>> entries) {
    Set<String> leftOut = new HashSet<>();
    for (FeedResult.Change<T> entry : entries) {
      if (entry.defect().isPresent()) {
        leftOut.add(entry.key());
      }
    }
    reasons.keySet().retainAll(leftOut);
    update(entries);
  }

  /** Records the entries that have changed. */
  <T> void update(List<FeedResult.Change<T>> changes) {
    for (FeedResult.Change<T> change : changes) {
      if (change.defect().isEmpty()) {
        reasons.remove(change.key());
      } else if (reasons.size() < MAX_ENTRIES || reasons.containsKey(change.key())) {
        String reason = change.defect().get();
        if (!reason.equals(reasons.put(change.key(), reason))) {
          log.recordEvent(
              "entry-left-out", "", "list", list, "key", change.key(), "reason", reason);
        }
      }
    }
  }

  /** Returns the number of entries that are left out. */
  int count() {
    return reasons.size();
  }
}
