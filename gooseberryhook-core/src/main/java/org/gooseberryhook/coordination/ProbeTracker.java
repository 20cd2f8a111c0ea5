package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Probes that wait for an answer, own ones and those on behalf of other nodes. Not safe for use by
 * several threads.
 */
final class ProbeTracker {

  private static final long DIRECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  private static final int MAX_RELAYS = 256;

  private final Map<Long, Pending> pending = new LinkedHashMap<>();
  private final Map<Long, Relay> relays = new LinkedHashMap<>();
  private long sequence;

  private record Pending(String address, long sentNanos, boolean isIndirect) {}

  /** A probe on behalf of another node. */
  record Relay(String askerAddress, long askerSequence, long expiresNanos) {}

  /** A probe that peers should repeat. */
  record Unanswered(long sequence, String address) {}

  long next() {
    return ++sequence;
  }

  long addOwn(String address, long nowNanos) {
    pending.put(++sequence, new Pending(address, nowNanos, false));
    return sequence;
  }

  /** Returns the number to probe with, or 0 if too many relays are waiting. */
  long addRelay(String askerAddress, long askerSequence, long nowNanos) {
    if (relays.size() >= MAX_RELAYS) {
      return 0;
    }
    relays.put(++sequence, new Relay(askerAddress, askerSequence, nowNanos + PROBE_TIMEOUT_NANOS));
    return sequence;
  }

  /** Notes an answer; returns the relay that it belongs to, or null. */
  Relay onAnswer(long answered, String address) {
    Pending probe = pending.get(answered);
    if (probe != null && probe.address.equals(address)) {
      pending.remove(answered);
    }
    return relays.remove(answered);
  }

  void onIndirectAnswer(long answered) {
    pending.remove(answered);
  }

  /** Returns the own probes whose direct answer is overdue, each once. */
  List<Unanswered> takeOverdue(long nowNanos) {
    List<Unanswered> overdue = new ArrayList<>();
    for (Map.Entry<Long, Pending> entry : pending.entrySet()) {
      Pending probe = entry.getValue();
      if (!probe.isIndirect && nowNanos - probe.sentNanos >= DIRECT_TIMEOUT_NANOS) {
        entry.setValue(new Pending(probe.address, probe.sentNanos, true));
        overdue.add(new Unanswered(entry.getKey(), probe.address));
      }
    }
    return overdue;
  }

  /** Removes the own probes that got no answer at all and returns their members. */
  List<String> takeFailed(long nowNanos) {
    relays.values().removeIf(relay -> nowNanos - relay.expiresNanos >= 0);
    List<String> failed = new ArrayList<>();
    Iterator<Pending> probes = pending.values().iterator();
    while (probes.hasNext()) {
      Pending probe = probes.next();
      if (nowNanos - probe.sentNanos >= PROBE_TIMEOUT_NANOS) {
        probes.remove();
        failed.add(probe.address);
      }
    }
    return failed;
  }

  void clear() {
    pending.clear();
    relays.clear();
  }
}
