package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.state.NodeId;

/**
 * Builds a keeper's calls to the table service and remembers those without a result. Not safe for
 * use by several threads.
 */
final class LeaseCalls {

  /** Operations in one transaction; the table service refuses more. */
  static final int MAX_OPERATIONS = 100;

  /** Operations in one acquisition. */
  static final int MAX_ACQUISITIONS = 64;

  /** Reads in one tick, so that a restart of many nodes does not flood the table service. */
  static final int MAX_READS_PER_TICK = 32;

  /** Acquisitions of one lease with unknown outcome, above which no more are tried. */
  private static final int MAX_OPEN_ACQUISITIONS = 16;

  enum Kind {
    RENEW,
    ACQUIRE,
    RELEASE,
    READ,
    READ_BACK
  }

  record Call(long id, Kind kind, List<String> keys, List<Long> renewals, long sentNanos) {}

  private final NodeId self;
  private LeaseTiming timing;
  private final Map<Long, Call> calls = new HashMap<>();
  private final List<TableCall> readBacks = new ArrayList<>();
  private long lastCallId;
  private long nextRenewNanos;
  private long nextReadNanos;
  private String lastReadKey = "";
  private boolean isReadDue;
  private boolean isStarted;
  private boolean isStopping;

  LeaseCalls(NodeId self, LeaseTiming timing) {
    this.self = self;
    this.timing = timing;
  }

  /** Returns the call and forgets it; null if it is not known. */
  Call close(long callId) {
    return calls.remove(callId);
  }

  void setTiming(LeaseTiming newTiming) {
    timing = newTiming;
  }

  void renewSoon(long nowNanos) {
    nextRenewNanos = nowNanos;
  }

  /** Reads back the first record of a transaction whose answer was lost. */
  void readBack(Call call, long nowNanos) {
    if (call.kind() == Kind.RENEW || call.kind() == Kind.ACQUIRE) {
      String key = call.keys().get(0);
      long id = open(Kind.READ_BACK, call.keys(), call.renewals(), nowNanos);
      readBacks.add(new TableCall.Get(id, key));
    }
  }

  /** Has open acquisitions on the records of other holders fenced too. */
  void stop() {
    isStopping = true;
  }

  /** Makes the next tick read the wanted records without waiting for the period. */
  void readSoon() {
    isReadDue = true;
  }

  List<TableCall> collect(
      Collection<LeaseEntry> entries, Predicate<LeaseEntry> canAcquire, long nowNanos) {
    if (!isStarted) {
      isStarted = true;
      nextRenewNanos = nowNanos;
      nextReadNanos = nowNanos;
    }
    List<TableCall> due = new ArrayList<>(readBacks);
    readBacks.clear();
    if (nowNanos - nextRenewNanos >= 0 && !isCalling(Kind.RENEW, nowNanos)) {
      nextRenewNanos = nowNanos + timing.renewEveryNanos();
      List<LeaseEntry> held = entries.stream().filter(entry -> entry.isHeld).toList();
      for (int from = 0; from < held.size(); from += MAX_OPERATIONS) {
        int end = Math.min(held.size(), from + MAX_OPERATIONS);
        addClaims(due, Kind.RENEW, held.subList(from, end), nowNanos);
      }
    }
    boolean isDue = isReadDue || nowNanos - nextReadNanos >= 0;
    if (isDue && !isCalling(Kind.READ, nowNanos)) {
      isReadDue = false;
      addReads(due, entries, nowNanos);
    }
    if (!isCalling(Kind.ACQUIRE, nowNanos)) {
      List<LeaseEntry> free =
          entries.stream()
              .filter(entry -> entry.openAcquisitions.size() < MAX_OPEN_ACQUISITIONS)
              .filter(canAcquire)
              .limit(MAX_ACQUISITIONS)
              .toList();
      addClaims(due, Kind.ACQUIRE, free, nowNanos);
    }
    addRelease(due, entries, nowNanos);
    return due;
  }

  private boolean isCalling(Kind kind, long nowNanos) {
    return calls.values().stream()
        .anyMatch(
            call -> call.kind() == kind && nowNanos - call.sentNanos() < timing.renewEveryNanos());
  }

  private void addClaims(List<TableCall> due, Kind kind, List<LeaseEntry> claimed, long nowNanos) {
    if (claimed.isEmpty()) {
      return;
    }
    List<String> keys = new ArrayList<>();
    List<Long> renewals = new ArrayList<>();
    List<TableOperation> operations = new ArrayList<>();
    for (LeaseEntry entry : claimed) {
      operations.add(entry.toClaim(timing, nowNanos));
      keys.add(entry.key);
      renewals.add(entry.getLastRenewal());
    }
    long id = open(kind, keys, renewals, nowNanos);
    if (kind == Kind.ACQUIRE) {
      for (LeaseEntry entry : claimed) {
        entry.openAcquisitions.put(id, entry.version);
        // Read again before another attempt, so that attempts do not outrun the reads.
        entry.isFresh = false;
      }
    }
    due.add(new TableCall.Transact(id, operations));
  }

  /** Reads a page of the wanted records; pages follow each other without a pause. */
  private void addReads(List<TableCall> due, Collection<LeaseEntry> entries, long nowNanos) {
    List<LeaseEntry> page =
        entries.stream()
            .filter(entry -> !entry.isHeld && (entry.deputies != null || entry.isReleaseDue))
            .filter(entry -> entry.key.compareTo(lastReadKey) > 0)
            .limit(MAX_READS_PER_TICK)
            .toList();
    for (LeaseEntry entry : page) {
      long id = open(Kind.READ, List.of(entry.key), List.of(), nowNanos);
      due.add(new TableCall.Get(id, entry.key));
    }
    boolean isLast = page.size() < MAX_READS_PER_TICK;
    lastReadKey = isLast ? "" : page.get(page.size() - 1).key;
    nextReadNanos = isLast ? nowNanos + timing.renewEveryNanos() / 2 : nowNanos;
  }

  private void addRelease(List<TableCall> due, Collection<LeaseEntry> entries, long nowNanos) {
    if (isCalling(Kind.RELEASE, nowNanos)) {
      return;
    }
    List<String> keys = new ArrayList<>();
    List<TableOperation> operations = new ArrayList<>();
    for (LeaseEntry entry : entries) {
      boolean isOwn = entry.lease != null && self.equals(entry.lease.holder());
      // Writing a record anew makes an acquisition fail that may still be on its way. Only a node
      // that stops does so to the record of another holder, whose renewal fails once by it.
      boolean isVacant = entry.lease == null || entry.lease.holder() == null;
      boolean mayAppear = (isVacant || isStopping) && !entry.openAcquisitions.isEmpty();
      boolean hasRoom = keys.size() < MAX_OPERATIONS;
      if (entry.isReleaseDue && hasRoom && (isOwn || mayAppear)) {
        keys.add(entry.key);
        operations.add(isOwn || isVacant ? entry.toRelease() : entry.toRewrite());
      }
    }
    if (!keys.isEmpty()) {
      long id = open(Kind.RELEASE, keys, List.of(), nowNanos);
      due.add(new TableCall.Transact(id, operations));
    }
  }

  private long open(Kind kind, List<String> keys, List<Long> renewals, long nowNanos) {
    long id = ++lastCallId;
    calls.put(id, new Call(id, kind, keys, renewals, nowNanos));
    return id;
  }
}
