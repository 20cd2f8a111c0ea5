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
  private static final int MAX_RELAYED_PROBES = 256;

  private final Map<Long, PendingProbe> pending = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
  private long lastSequence;

  private record PendingProbe(String address, long sentNanos, boolean isIndirect) {}

  /** A probe on behalf of another node. */
  record RelayedProbe(String requesterAddress, long requesterSequence, long expiresNanos) {}

  /** A probe that peers should repeat. */
  record OverdueProbe(long sequence, String address) {}

  long nextSequence() {
    return ++lastSequence;
  }

  long addOwn(String address, long nowNanos) {
    pending.put(++lastSequence, new PendingProbe(address, nowNanos, false));
    return lastSequence;
  }

  /** Returns the number to probe with, or 0 if too many relays are waiting. */
  long addRelayed(String requesterAddress, long requesterSequence, long nowNanos) {
    if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return 0;
    }
    relayedProbes.put(
        ++lastSequence,
        new RelayedProbe(requesterAddress, requesterSequence, nowNanos + PROBE_TIMEOUT_NANOS));
    return lastSequence;
  }

  /** Notes an answer; returns the relay that it belongs to, or null. */
  RelayedProbe onAnswer(long sequence, String address) {
    PendingProbe probe = pending.get(sequence);
    if (probe != null && probe.address.equals(address)) {
      pending.remove(sequence);
    }
    return relayedProbes.remove(sequence);
  }

  void onIndirectAnswer(long sequence) {
    pending.remove(sequence);
  }

  /** Returns the own probes whose direct answer is overdue, each once. */
  List<OverdueProbe> markOverdue(long nowNanos) {
    List<OverdueProbe> overdue = new ArrayList<>();
    for (Map.Entry<Long, PendingProbe> entry : pending.entrySet()) {
      PendingProbe probe = entry.getValue();
      if (!probe.isIndirect && nowNanos - probe.sentNanos >= DIRECT_TIMEOUT_NANOS) {
        entry.setValue(new PendingProbe(probe.address, probe.sentNanos, true));
        overdue.add(new OverdueProbe(entry.getKey(), probe.address));
      }
    }
    return overdue;
  }

  /** Removes the own probes that got no answer at all and returns their members. */
  List<String> removeFailed(long nowNanos) {
    relayedProbes.values().removeIf(relay -> nowNanos - relay.expiresNanos >= 0);
    List<String> failed = new ArrayList<>();
    Iterator<PendingProbe> probes = pending.values().iterator();
    while (probes.hasNext()) {
      PendingProbe probe = probes.next();
      if (nowNanos - probe.sentNanos >= PROBE_TIMEOUT_NANOS) {
        probes.remove();
        failed.add(probe.address);
      }
    }
    return failed;
  }

  void clear() {
    pending.clear();
    relayedProbes.clear();
  }
}
