package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Tracks probes that have not been answered: those of this node and those that it relays for other
 * nodes. Not thread-safe.
 */
final class ProbeTracker {

  private static final long DIRECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  private static final int MAX_RELAYED_PROBES = 256;

  private final Map<Long, PendingProbe> ownProbes = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();
  private long lastSequence;

  private record PendingProbe(String address, long sentNanos, boolean isIndirect) {}

  /** A probe that this node sends on behalf of another node. */
  record RelayedProbe(String requesterAddress, long requesterSequence, long expiresNanos) {}

  /** A probe without a direct response in time, which peers should repeat. */
  record OverdueProbe(long sequence, String address) {}

  long nextSequence() {
    return ++lastSequence;
  }

  long addOwn(String address, long nowNanos) {
    ownProbes.put(++lastSequence, new PendingProbe(address, nowNanos, false));
    return lastSequence;
  }

  /** Adds a relayed probe and returns its sequence number, or 0 if too many are pending. */
  long addRelayed(String requesterAddress, long requesterSequence, long nowNanos) {
    if (relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return 0;
    }
    relayedProbes.put(
        ++lastSequence,
        new RelayedProbe(requesterAddress, requesterSequence, nowNanos + PROBE_TIMEOUT_NANOS));
    return lastSequence;
  }

  /** Handles a response; returns the relayed probe that it belongs to, or null if there is none. */
  RelayedProbe onResponse(long sequence, String address) {
    PendingProbe probe = ownProbes.get(sequence);
    if (probe != null && probe.address.equals(address)) {
      ownProbes.remove(sequence);
    }
    return relayedProbes.remove(sequence);
  }

  void onIndirectResponse(long sequence) {
    ownProbes.remove(sequence);
  }

  /** Returns this node's probes whose direct response is overdue, each once. */
  List<OverdueProbe> markOverdue(long nowNanos) {
    List<OverdueProbe> overdue = new ArrayList<>();
    for (Map.Entry<Long, PendingProbe> entry : ownProbes.entrySet()) {
      PendingProbe probe = entry.getValue();
      if (!probe.isIndirect && nowNanos - probe.sentNanos >= DIRECT_TIMEOUT_NANOS) {
        entry.setValue(new PendingProbe(probe.address, probe.sentNanos, true));
        overdue.add(new OverdueProbe(entry.getKey(), probe.address));
      }
    }
    return overdue;
  }

  /**
   * Removes this node's probes that got no response in time and returns the addresses of their
   * members.
   */
  List<String> removeFailed(long nowNanos) {
    relayedProbes.values().removeIf(relay -> nowNanos - relay.expiresNanos >= 0);
    List<String> failed = new ArrayList<>();
    Iterator<PendingProbe> probes = ownProbes.values().iterator();
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
    ownProbes.clear();
    relayedProbes.clear();
  }
}
