package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Targets of pipelines that do not answer this node. They are left out of pipelines until they
 * answer again. Pure: the node asks the targets and tells the board.
 */
final class SuspectBoard {

  /** Time between two examinations of a target that answered the last one. */
  static final long EXAMINE_PAUSE_MS = 400;

  private final Set<String> suspects = new HashSet<>();
  private final Map<String, Long> examinedMs = new HashMap<>();
  private long revision;

  /** Marks a target as not working; returns false if it was known. */
  boolean add(String address) {
    boolean isNew = suspects.add(address);
    revision += isNew ? 1 : 0;
    return isNew;
  }

  /** Notes that a target answered; returns false if it was not suspected. */
  boolean clear(String address) {
    boolean wasSuspected = suspects.remove(address);
    revision += wasSuspected ? 1 : 0;
    return wasSuspected;
  }

  boolean contains(String address) {
    return suspects.contains(address);
  }

  /** Tells whether a target should be examined now, and notes that it is. */
  boolean startExamination(String address, long nowMs) {
    Long lastMs = examinedMs.get(address);
    if (lastMs != null && nowMs - lastMs < EXAMINE_PAUSE_MS) {
      return false;
    }
    examinedMs.put(address, nowMs);
    return true;
  }

  List<String> suspects() {
    return new ArrayList<>(suspects);
  }

  /** Forgets targets that are no longer listed. */
  void retain(List<TargetEntry> entries) {
    Set<String> listed = new HashSet<>();
    entries.forEach(entry -> listed.add(entry.address()));
    if (suspects.retainAll(listed)) {
      revision++;
    }
    examinedMs.keySet().retainAll(listed);
  }

  long revision() {
    return revision;
  }
}
