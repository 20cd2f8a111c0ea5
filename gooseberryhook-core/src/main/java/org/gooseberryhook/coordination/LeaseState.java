package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.state.NodeId;

/**
 * State of one lease at one node: the record as last read, the node's own attempts to write it, and
 * whether the node holds the lease. Not thread-safe.
 */
final class LeaseState {

  /**
   * Maximum attempts with unknown outcome; older ones do not matter, because their usable time has
   * run out.
   */
  private static final int MAX_ATTEMPTS = 64;

  private static final long NANOS_PER_MS = 1_000_000;

  /** An attempted write that acquires or renews the lease. */
  record Attempt(DutyLease lease, long sentNanos, long usableNanos) {

    long usableUntilNanos() {
      return sentNanos + usableNanos;
    }
  }

  final String key;
  private final NodeId self;

  /** Deputies to record with the lease; null if this node should not hold it. */
  List<NodeId> deputies;

  long recordVersion;
  DutyLease storedLease;

  /** When the present version of the record was first read; an acquirer waits from then. */
  long versionFirstReadNanos;

  private boolean hasBeenRead;

  /** Whether the record was read since this node last sent an acquisition or ended a term. */
  boolean isRecordFresh;

  boolean isHeld;

  /** Fencing number of the present or last term of this node; 0 before its first. */
  long fencingNumber;

  long usableUntilNanos;

  /** Whether a held lease, or an acquisition that may still take effect, is to be released. */
  boolean isReleaseDue;

  /** Acquisitions that may still take effect: call id to the record version that they expect. */
  final Map<Long, Long> openAcquisitions = new HashMap<>();

  boolean isRequestingPledges;

  /** Whether all other electors have pledged, so that the lease is usable without renewals. */
  boolean isHeldByPledges;

  /**
   * Sequence of the first pledge request after the last release; pledges to older ones are void.
   */
  long firstRequestSequence;

  final Set<NodeId> pledges = new HashSet<>();

  /** Electors of the confirmed record and of all attempts that may have been written since. */
  private final Set<NodeId> requiredElectors = new HashSet<>();

  private final Map<Long, Attempt> attempts = new HashMap<>();
  private long lastRenewal;

  LeaseState(String key, NodeId self) {
    this.key = key;
    this.self = self;
  }

  long getLastRenewal() {
    return lastRenewal;
  }

  boolean isHolder(long nowNanos) {
    return isHeld && (isHeldByPledges || usableUntilNanos - nowNanos > 0);
  }

  /** Returns the deputies that must still pledge before the lease is usable without renewals. */
  Set<NodeId> getMissingPledges() {
    Set<NodeId> missing = new HashSet<>(requiredElectors);
    missing.remove(self);
    missing.removeAll(pledges);
    return missing;
  }

  /** Stores a record that was read; an absent record has version 0 and no lease. */
  void setRecord(long newVersion, DutyLease newLease, long nowNanos) {
    boolean isSame = hasBeenRead && newVersion == recordVersion;
    if (!isSame) {
      versionFirstReadNanos = nowNanos;
    }
    hasBeenRead = true;
    isRecordFresh = true;
    recordVersion = newVersion;
    storedLease = newLease;
    lastRenewal = Math.max(lastRenewal, newLease == null ? 0 : newLease.renewal());
  }

  /**
   * Returns whether the record allows this node to acquire the lease now. Only electors may acquire
   * it by waiting, because a holder that relies on pledges has requested them only from its
   * electors.
   */
  boolean isAcquirable(Set<NodeId> endedNodes, long waitNanos, long nowNanos) {
    if (storedLease == null || storedLease.holder() == null || self.equals(storedLease.holder())) {
      return true;
    }
    boolean hasHolderEnded =
        endedNodes.contains(storedLease.holder()) || self.isReplacing(storedLease.holder());
    boolean mayAcquire = hasHolderEnded || storedLease.electors().contains(self);
    // A run that has ended cannot use its lease, so no wait is needed.
    long requiredWaitNanos =
        Math.max(waitNanos, TimeUnit.MILLISECONDS.toNanos(storedLease.ttlMs()));
    return mayAcquire && (hasHolderEnded || nowNanos - versionFirstReadNanos >= requiredWaitNanos);
  }

  /** Builds the write that renews the lease, or acquires it under the next fencing number. */
  TableOperation toHoldOperation(LeaseTiming timing, long nowNanos) {
    long number = storedLease == null ? 0 : storedLease.fencingNumber();
    List<NodeId> electors = new ArrayList<>();
    electors.add(self);
    electors.addAll(deputies == null ? List.of() : deputies);
    lastRenewal++;
    DutyLease newLease =
        new DutyLease(
            self,
            isHeld ? fencingNumber : number + 1,
            lastRenewal,
            electors.stream().distinct().toList(),
            isHeld && (isRequestingPledges || isHeldByPledges),
            timing.acquireWaitNanos() / NANOS_PER_MS);
    if (attempts.size() >= MAX_ATTEMPTS) {
      attempts.remove(attempts.keySet().stream().min(Long::compare).orElseThrow());
    }
    attempts.put(lastRenewal, new Attempt(newLease, nowNanos, timing.usableNanos()));
    requiredElectors.addAll(newLease.electors());
    if (storedLease != null) {
      requiredElectors.addAll(storedLease.electors());
    }
    return TableOperation.ofPut(key, recordVersion, newLease.toJson());
  }

  /** Builds a write of the unchanged record, which makes all calls fail that expect its version. */
  TableOperation toRewriteOperation() {
    return TableOperation.ofPut(key, recordVersion, storedLease.toJson());
  }

  TableOperation toReleaseOperation() {
    lastRenewal++;
    long number = storedLease == null ? fencingNumber : storedLease.fencingNumber();
    DutyLease released = new DutyLease(null, number, lastRenewal, List.of(), false, 0);
    return TableOperation.ofPut(key, recordVersion, released.toJson());
  }

  /** Returns this node's attempt that wrote a lease, or null if there is none. */
  Attempt findAttempt(DutyLease written) {
    Attempt attempt = written == null ? null : attempts.get(written.renewal());
    return attempt != null && attempt.lease().equals(written) ? attempt : null;
  }

  Attempt getAttempt(long renewal) {
    return attempts.get(renewal);
  }

  /** Records that an attempt has taken effect and is the present record. */
  void confirm(Attempt attempt, long newVersion, long nowNanos) {
    setRecord(newVersion, attempt.lease(), nowNanos);
    long until = attempt.usableUntilNanos();
    boolean isStillUsable = until - nowNanos > 0;
    if (isHeld && attempt.lease().fencingNumber() == fencingNumber) {
      usableUntilNanos = Math.max(usableUntilNanos, until);
    } else if (!isHeld
        && isStillUsable
        && deputies != null
        && !isReleaseDue
        && attempt.lease().fencingNumber() > fencingNumber) {
      // A term that ended never starts again, because others may have seen that it ended.
      isHeld = true;
      fencingNumber = attempt.lease().fencingNumber();
      usableUntilNanos = until;
    }
    attempts.keySet().removeIf(renewal -> renewal <= attempt.lease().renewal());
    requiredElectors.clear();
    requiredElectors.addAll(attempt.lease().electors());
    attempts.values().forEach(open -> requiredElectors.addAll(open.lease().electors()));
  }

  /**
   * Removes acquisitions that can no longer take effect: a later call saw another version than they
   * expect, and versions are never reused.
   */
  void closeAcquisitions(long callId, long seenVersion) {
    openAcquisitions
        .entrySet()
        .removeIf(open -> open.getKey() < callId && open.getValue() != seenVersion);
  }

  /** Ends the term: this node no longer acts as the holder. */
  void endTerm() {
    isHeld = false;
    isHeldByPledges = false;
    isRequestingPledges = false;
    pledges.clear();
  }
}
