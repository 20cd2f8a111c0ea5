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
 * Builds the calls of a lease keeper to the table service and tracks those without a result. Not
 * thread-safe.
 */
final class LeaseCalls {

  /** Maximum operations in one transaction; the table service refuses more. */
  static final int MAX_OPERATIONS = 100;

  /** Maximum leases in one acquiring transaction. */
  static final int MAX_ACQUISITIONS = 64;

  /**
   * Maximum reads in one tick, so that a restart of many nodes does not flood the table service.
   */
  static final int MAX_READS_PER_TICK = 32;

  /**
   * Maximum acquisitions of one lease with unknown outcome; no more are attempted at this number.
   */
  private static final int MAX_OPEN_ACQUISITIONS = 16;

  /** Purpose of a call; {@code READ_BACK} finds out whether a transaction was applied. */
  enum Kind {
    RENEW,
    ACQUIRE,
    RELEASE,
    READ,
    READ_BACK
  }

  /** A call; {@code renewals} has the renewal counter that it writes for each key. */
  record Call(long id, Kind kind, List<String> keys, List<Long> renewals, long sentNanos) {}

  private final NodeId self;
  private LeaseTiming timing;
  private final Map<Long, Call> pendingCalls = new HashMap<>();
  private final List<TableCall> readBacks = new ArrayList<>();
  private long lastCallId;
  private long nextRenewNanos;
  private long nextReadNanos;
  private String lastReadKey = "";
  private boolean isReadRequested;
  private boolean areTimersStarted;
  private boolean isStopping;

  LeaseCalls(NodeId self, LeaseTiming timing) {
    this.self = self;
    this.timing = timing;
  }

  /** Removes a call and returns it; null if it is unknown. */
  Call removeCall(long callId) {
    return pendingCalls.remove(callId);
  }

  void setTiming(LeaseTiming newTiming) {
    timing = newTiming;
  }

  void requestRenewal(long nowNanos) {
    nextRenewNanos = nowNanos;
  }

  /** Reads back the first record of a transaction whose result was lost. */
  void readBack(Call call, long nowNanos) {
    if (call.kind() == Kind.RENEW || call.kind() == Kind.ACQUIRE) {
      String key = call.keys().get(0);
      long id = addCall(Kind.READ_BACK, call.keys(), call.renewals(), nowNanos);
      readBacks.add(new TableCall.Get(id, key));
    }
  }

  /** Makes releases also rewrite the records of other holders, so that open acquisitions fail. */
  void stop() {
    isStopping = true;
  }

  /** Makes the next tick read the records of leases to acquire without waiting for the period. */
  void requestRead() {
    isReadRequested = true;
  }

  /** Returns the due calls: lost results to read back, renewals, reads, acquisitions, releases. */
  List<TableCall> collectDue(
      Collection<LeaseState> states, Predicate<LeaseState> canAcquire, long nowNanos) {
    if (!areTimersStarted) {
      areTimersStarted = true;
      nextRenewNanos = nowNanos;
      nextReadNanos = nowNanos;
    }
    List<TableCall> due = new ArrayList<>(readBacks);
    readBacks.clear();
    if (nowNanos - nextRenewNanos >= 0 && !isInFlight(Kind.RENEW, nowNanos)) {
      nextRenewNanos = nowNanos + timing.renewPeriodNanos();
      List<LeaseState> held = states.stream().filter(state -> state.isHeld).toList();
      for (int from = 0; from < held.size(); from += MAX_OPERATIONS) {
        int end = Math.min(held.size(), from + MAX_OPERATIONS);
        addHoldTransaction(due, Kind.RENEW, held.subList(from, end), nowNanos);
      }
    }
    boolean isDue = isReadRequested || nowNanos - nextReadNanos >= 0;
    if (isDue && !isInFlight(Kind.READ, nowNanos)) {
      isReadRequested = false;
      addReads(due, states, nowNanos);
    }
    if (!isInFlight(Kind.ACQUIRE, nowNanos)) {
      List<LeaseState> acquirable =
          states.stream()
              .filter(state -> state.openAcquisitions.size() < MAX_OPEN_ACQUISITIONS)
              .filter(canAcquire)
              .limit(MAX_ACQUISITIONS)
              .toList();
      addHoldTransaction(due, Kind.ACQUIRE, acquirable, nowNanos);
    }
    addRelease(due, states, nowNanos);
    return due;
  }

  private boolean isInFlight(Kind kind, long nowNanos) {
    return pendingCalls.values().stream()
        .anyMatch(
            call -> call.kind() == kind && nowNanos - call.sentNanos() < timing.renewPeriodNanos());
  }

  private void addHoldTransaction(
      List<TableCall> due, Kind kind, List<LeaseState> states, long nowNanos) {
    if (states.isEmpty()) {
      return;
    }
    List<String> keys = new ArrayList<>();
    List<Long> renewals = new ArrayList<>();
    List<TableOperation> operations = new ArrayList<>();
    for (LeaseState state : states) {
      operations.add(state.toHoldOperation(timing, nowNanos));
      keys.add(state.key);
      renewals.add(state.getLastRenewal());
    }
    long id = addCall(kind, keys, renewals, nowNanos);
    if (kind == Kind.ACQUIRE) {
      for (LeaseState state : states) {
        state.openAcquisitions.put(id, state.recordVersion);
        // Requires a new read before another attempt, so that attempts do not outnumber reads.
        state.isRecordFresh = false;
      }
    }
    due.add(new TableCall.Transact(id, operations));
  }

  /**
   * Reads a page of the records of leases to acquire or release; the next tick reads the following
   * page, and the last page is followed by half a renewal period without reads.
   */
  private void addReads(List<TableCall> due, Collection<LeaseState> states, long nowNanos) {
    List<LeaseState> page =
        states.stream()
            .filter(state -> !state.isHeld && (state.deputies != null || state.isReleaseDue))
            .filter(state -> state.key.compareTo(lastReadKey) > 0)
            .limit(MAX_READS_PER_TICK)
            .toList();
    for (LeaseState state : page) {
      long id = addCall(Kind.READ, List.of(state.key), List.of(), nowNanos);
      due.add(new TableCall.Get(id, state.key));
    }
    boolean isLast = page.size() < MAX_READS_PER_TICK;
    lastReadKey = isLast ? "" : page.get(page.size() - 1).key;
    nextReadNanos = isLast ? nowNanos + timing.renewPeriodNanos() / 2 : nowNanos;
  }

  private void addRelease(List<TableCall> due, Collection<LeaseState> states, long nowNanos) {
    if (isInFlight(Kind.RELEASE, nowNanos)) {
      return;
    }
    List<String> keys = new ArrayList<>();
    List<TableOperation> operations = new ArrayList<>();
    for (LeaseState state : states) {
      boolean isOwn = state.storedLease != null && self.equals(state.storedLease.holder());
      // Rewriting a record makes acquisitions fail that may still be in flight. Only a stopping
      // node rewrites the record of another holder, whose next renewal then fails once.
      boolean isVacant = state.storedLease == null || state.storedLease.holder() == null;
      boolean mayTakeEffect = (isVacant || isStopping) && !state.openAcquisitions.isEmpty();
      boolean fitsTransaction = keys.size() < MAX_OPERATIONS;
      if (state.isReleaseDue && fitsTransaction && (isOwn || mayTakeEffect)) {
        keys.add(state.key);
        operations.add(isOwn || isVacant ? state.toReleaseOperation() : state.toRewriteOperation());
      }
    }
    if (!keys.isEmpty()) {
      long id = addCall(Kind.RELEASE, keys, List.of(), nowNanos);
      due.add(new TableCall.Transact(id, operations));
    }
  }

  private long addCall(Kind kind, List<String> keys, List<Long> renewals, long nowNanos) {
    long id = ++lastCallId;
    pendingCalls.put(id, new Call(id, kind, keys, renewals, nowNanos));
    return id;
  }
}
