package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gooseberryhook.coordination.LeaseCalls.Call;
import org.gooseberryhook.coordination.LeaseCalls.Kind;
import org.gooseberryhook.protocol.PledgeMessage.PledgeAsk;
import org.gooseberryhook.protocol.PledgeMessage.PledgeGiven;
import org.gooseberryhook.protocol.PledgeMessage.PledgeRelease;
import org.gooseberryhook.protocol.PledgeMessage.PledgedLease;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.state.NodeId;

/**
 * Acquires, renews and releases the duty leases of one node. A holder uses a lease for its time to
 * live minus a margin, counted from before the renewal was sent; an acquirer waits for the whole
 * time to live after it first read a renewal counter. While the table service is unavailable, a
 * holder keeps a lease if all its deputies have pledged not to acquire it. Thread-safe; all methods
 * lock the keeper.
 *
 * @since 0.1
 */
public final class DutyLeaseKeeper {

  /** Time between pledge requests to deputies that have not pledged yet. */
  static final long PLEDGE_RETRY_NANOS = 200_000_000L;

  /**
   * Maximum nodes remembered as ended; far more than the VMs that fail or restart while a lease
   * cannot be acquired.
   */
  static final int MAX_ENDED_NODES = 1024;

  /** Pledges are requested when less than this share of the usable time is left. */
  private static final double PLEDGE_REQUEST_SHARE = 0.5;

  private final NodeId self;
  private LeaseTiming timing;
  private final Map<String, LeaseState> states = new TreeMap<>();
  private final LeaseCalls calls;
  private final Set<NodeId> endedNodes = new LinkedHashSet<>();
  private final PledgeRegistry pledges = new PledgeRegistry();
  private final List<OutgoingMessage> outbox = new ArrayList<>();
  private long lastPledgeSequence;
  private long nextPledgeRequestNanos;
  private boolean hasRequestedPledges;

  /**
   * Creates a keeper without leases.
   *
   * @param self this node
   * @param timing the times
   */
  public DutyLeaseKeeper(NodeId self, LeaseTiming timing) {
    this.self = self;
    this.timing = timing;
    this.calls = new LeaseCalls(self, timing);
  }

  /**
   * Sets the leases that this node should hold. Held leases that are not among them are released.
   *
   * @param duties deputies to record for each lease key, best first
   */
  public synchronized void setDuties(Map<String, List<NodeId>> duties) {
    duties.forEach(
        (key, deputies) -> {
          LeaseState state = states.computeIfAbsent(key, id -> new LeaseState(id, self));
          if (state.deputies == null) {
            calls.requestRead();
          }
          state.deputies = List.copyOf(deputies);
        });
    for (LeaseState state : states.values()) {
      if (!duties.containsKey(state.key) && state.deputies != null) {
        state.deputies = null;
        startRelease(state);
      }
    }
  }

  /**
   * Changes the times. A time to live shorter than the present one is ignored: an acquirer that
   * reads the shorter time would not wait for an earlier, longer renewal to run out.
   *
   * @param newTiming the times for the present size of the cluster
   */
  public synchronized void setTiming(LeaseTiming newTiming) {
    if (newTiming.acquireWaitNanos() > timing.acquireWaitNanos()) {
      timing = newTiming;
      calls.setTiming(newTiming);
    }
  }

  /** Releases all leases; later ticks repeat the release until it is confirmed. */
  public synchronized void stop() {
    calls.stop();
    setDuties(Map.of());
  }

  /**
   * Returns whether this node may act as the holder. Must be called right before each action.
   *
   * @param key key of the lease
   * @param nowNanos monotonic time
   * @return true if the lease may be used
   */
  public synchronized boolean isHolder(String key, long nowNanos) {
    LeaseState state = states.get(key);
    return state != null && state.isHolder(nowNanos);
  }

  /**
   * Returns the leases that this node may use.
   *
   * @param nowNanos monotonic time
   * @return a copy by lease key
   */
  public synchronized Map<String, HeldLease> getHeldLeases(long nowNanos) {
    Map<String, HeldLease> held = new LinkedHashMap<>();
    for (LeaseState state : states.values()) {
      if (state.isHolder(nowNanos)) {
        // A lease held by pledges has no fixed end; each tick extends it, so a short time is
        // enough.
        long until =
            state.isHeldByPledges ? nowNanos + timing.usableNanos() : state.usableUntilNanos;
        held.put(state.key, new HeldLease(state.fencingNumber, until));
      }
    }
    return held;
  }

  /**
   * Returns whether all releases have been confirmed.
   *
   * @return true if nothing is left to release
   */
  public synchronized boolean isEverythingReleased() {
    return states.values().stream().noneMatch(state -> state.isHeld || state.isReleaseDue);
  }

  /**
   * Records that a run of a node can no longer act because its process has ended or its VM no
   * longer exists. Its leases can then be acquired without waiting.
   *
   * @param node the run
   */
  public synchronized void onNodeEnded(NodeId node) {
    endedNodes.add(node);
    if (endedNodes.size() > MAX_ENDED_NODES) {
      // Removing one only delays the acquisition of leases that still name it as the holder.
      endedNodes.remove(endedNodes.iterator().next());
    }
    calls.requestRead();
    pledges.removeHolder(node);
  }

  /**
   * Ends the terms whose time has run out and returns the calls and messages that are due.
   *
   * @param nowNanos monotonic time
   * @return calls to make and messages to send, never null
   */
  public synchronized LeaseActions tick(long nowNanos) {
    for (LeaseState state : states.values()) {
      if (state.isHeld && !state.isHolder(nowNanos)) {
        stopHolding(state);
      }
    }
    List<TableCall> due =
        calls.collectDue(states.values(), state -> canAcquire(state, nowNanos), nowNanos);
    requestPledges(nowNanos);
    List<OutgoingMessage> messages = List.copyOf(outbox);
    outbox.clear();
    return new LeaseActions(due, messages);
  }

  /**
   * Handles the result of a call; results of unknown calls are ignored.
   *
   * @param callId id of the call
   * @param result the result
   * @param nowNanos monotonic time
   */
  public synchronized void onTableResult(long callId, TableResult result, long nowNanos) {
    Call call = calls.removeCall(callId);
    if (call == null) {
      return;
    }
    if (result instanceof TableResult.Committed committed) {
      onCommitted(call, committed, nowNanos);
    } else if (result instanceof TableResult.Conflict conflict) {
      onConflict(call, conflict, nowNanos);
    } else if (result instanceof TableResult.Read read) {
      onRead(call, read, nowNanos);
    } else if (result instanceof TableResult.Unknown) {
      calls.readBack(call, nowNanos);
    } else {
      call.keys().forEach(key -> states.get(key).openAcquisitions.remove(callId));
    }
  }

  /**
   * Handles a request for pledges; the next tick returns the response. No pledge is given for a
   * lease that this node holds, is acquiring, or knows to have a later holder.
   *
   * @param from the sender
   * @param request the message
   * @param nowNanos monotonic time
   */
  public synchronized void onPledgeAsk(NodeId from, PledgeAsk request, long nowNanos) {
    List<PledgedLease> pledged = new ArrayList<>();
    for (PledgedLease lease : request.leases()) {
      LeaseState state = states.get(lease.leaseKey());
      boolean isHeldOrAcquiring =
          state != null && (state.isHeld || !state.openAcquisitions.isEmpty());
      boolean isOutdated =
          state != null
              && state.storedLease != null
              && state.storedLease.fencingNumber() > lease.fencingNumber();
      if (!isHeldOrAcquiring && !isOutdated && pledges.tryPledge(from, request.sequence(), lease)) {
        pledged.add(lease);
      }
    }
    if (!pledged.isEmpty()) {
      outbox.add(new OutgoingMessage(from, new PledgeGiven(request.sequence(), pledged)));
    }
  }

  /**
   * Handles pledges of a deputy; those that are not needed are released.
   *
   * @param from the sender
   * @param response the message
   * @param nowNanos monotonic time
   */
  public synchronized void onPledgeGiven(NodeId from, PledgeGiven response, long nowNanos) {
    List<String> unneeded = new ArrayList<>();
    for (PledgedLease lease : response.leases()) {
      LeaseState state = states.get(lease.leaseKey());
      boolean isNeeded =
          state != null
              && state.isHolder(nowNanos)
              && state.isRequestingPledges
              && state.fencingNumber == lease.fencingNumber()
              && response.sequence() >= state.firstRequestSequence;
      if (isNeeded) {
        state.pledges.add(from);
        state.isHeldByPledges |= state.getMissingPledges().isEmpty();
      } else {
        unneeded.add(lease.leaseKey());
      }
    }
    if (!unneeded.isEmpty()) {
      outbox.add(new OutgoingMessage(from, new PledgeRelease(response.sequence(), unneeded)));
    }
  }

  /**
   * Handles the release of pledges that this node gave.
   *
   * @param from the sender
   * @param release the message
   */
  public synchronized void onPledgeRelease(NodeId from, PledgeRelease release) {
    pledges.release(from, release.sequence(), release.leaseKeys());
  }

  private void onCommitted(Call call, TableResult.Committed committed, long nowNanos) {
    for (int index = 0; index < call.keys().size(); index++) {
      LeaseState state = states.get(call.keys().get(index));
      long version = committed.versions().get(index);
      state.openAcquisitions.remove(call.id());
      if (call.kind() == Kind.RELEASE) {
        state.isReleaseDue = false;
        state.isRecordFresh = false;
        // The open acquisitions expect an older version, so they can no longer take effect.
        state.openAcquisitions.clear();
        continue;
      }
      LeaseState.Attempt attempt = state.getAttempt(call.renewals().get(index));
      if (attempt != null) {
        confirm(state, attempt, version, nowNanos);
      }
    }
  }

  private void confirm(LeaseState state, LeaseState.Attempt attempt, long version, long nowNanos) {
    state.confirm(attempt, version, nowNanos);
    boolean isStillUsable = attempt.usableUntilNanos() - nowNanos > 0;
    if (state.isHeld && state.isRequestingPledges && isStillUsable) {
      releasePledges(state);
    }
  }

  private void onConflict(Call call, TableResult.Conflict conflict, long nowNanos) {
    Map<String, TableRecord> current = new HashMap<>();
    conflict.current().forEach(found -> current.put(found.key(), found));
    for (String key : call.keys()) {
      states.get(key).openAcquisitions.remove(call.id());
      processRecord(call.id(), states.get(key), current.get(key), nowNanos);
    }
    if (call.kind() == Kind.RENEW) {
      calls.requestRenewal(nowNanos);
    }
  }

  /** Handles a record that the call has read or conflicted with. */
  private void processRecord(long callId, LeaseState state, TableRecord found, long nowNanos) {
    DutyLease lease = found == null ? null : DutyLease.ofJson(found.value());
    long version = found == null ? 0 : found.version();
    LeaseState.Attempt own = state.findAttempt(lease);
    if (own != null) {
      confirm(state, own, version, nowNanos);
    }
    state.closeAcquisitions(callId, version);
    state.setRecord(version, lease, nowNanos);
    if (lease != null) {
      pledges.onRecordRead(state.key, lease);
    }
    boolean isOwn =
        lease != null
            && self.equals(lease.holder())
            && lease.fencingNumber() == state.fencingNumber;
    if (state.isHeld && !isOwn) {
      stopHolding(state);
    }
    boolean mayTakeEffect = !state.openAcquisitions.isEmpty();
    if (state.isReleaseDue && !mayTakeEffect && (lease == null || !self.equals(lease.holder()))) {
      state.isReleaseDue = false;
    }
  }

  private void onRead(Call call, TableResult.Read read, long nowNanos) {
    LeaseState state = states.get(call.keys().get(0));
    TableRecord found = read.records().isEmpty() ? null : read.records().get(0);
    if (call.kind() == Kind.READ_BACK) {
      onReadBack(call, found, nowNanos);
    } else if (!state.isHeld) {
      processRecord(call.id(), state, found, nowNanos);
    }
  }

  /**
   * Confirms all writes of a transaction if its first record was written, because transactions are
   * atomic.
   */
  private void onReadBack(Call call, TableRecord found, long nowNanos) {
    LeaseState first = states.get(call.keys().get(0));
    DutyLease lease = found == null ? null : DutyLease.ofJson(found.value());
    LeaseState.Attempt sent = first.getAttempt(call.renewals().get(0));
    if (sent == null || !sent.lease().equals(lease)) {
      return;
    }
    for (int index = 0; index < call.keys().size(); index++) {
      LeaseState state = states.get(call.keys().get(index));
      LeaseState.Attempt attempt = state.getAttempt(call.renewals().get(index));
      if (attempt != null) {
        // The versions of the other records are unknown; the next write gets them from a conflict.
        long version = index == 0 ? found.version() : state.recordVersion;
        confirm(state, attempt, version, nowNanos);
      }
    }
  }

  private boolean canAcquire(LeaseState state, long nowNanos) {
    if (state.deputies == null
        || state.isHeld
        || !state.isRecordFresh
        || state.isReleaseDue
        || pledges.isPledged(state.key, endedNodes)) {
      return false;
    }
    return state.isAcquirable(endedNodes, timing.acquireWaitNanos(), nowNanos);
  }

  private void requestPledges(long nowNanos) {
    if (hasRequestedPledges && nowNanos - nextPledgeRequestNanos < 0) {
      return;
    }
    hasRequestedPledges = true;
    nextPledgeRequestNanos = nowNanos + PLEDGE_RETRY_NANOS;
    Map<NodeId, List<PledgedLease>> requests = new LinkedHashMap<>();
    long sequence = lastPledgeSequence + 1;
    for (LeaseState state : states.values()) {
      long left = state.usableUntilNanos - nowNanos;
      if (!state.isHeld
          || state.isHeldByPledges
          || left > timing.usableNanos() * PLEDGE_REQUEST_SHARE) {
        continue;
      }
      if (!state.isRequestingPledges) {
        state.isRequestingPledges = true;
        state.firstRequestSequence = sequence;
      }
      state.isHeldByPledges = state.getMissingPledges().isEmpty();
      for (NodeId deputy : state.getMissingPledges()) {
        requests
            .computeIfAbsent(deputy, id -> new ArrayList<>())
            .add(new PledgedLease(state.key, state.fencingNumber, state.getLastRenewal()));
      }
    }
    if (!requests.isEmpty()) {
      lastPledgeSequence = sequence;
    }
    requests.forEach(
        (deputy, leases) ->
            outbox.add(new OutgoingMessage(deputy, new PledgeAsk(sequence, leases))));
  }

  private void startRelease(LeaseState state) {
    boolean isOwn = state.storedLease != null && self.equals(state.storedLease.holder());
    state.isReleaseDue = state.isHeld || isOwn || !state.openAcquisitions.isEmpty();
    stopHolding(state);
  }

  private void stopHolding(LeaseState state) {
    if (state.isRequestingPledges) {
      releasePledges(state);
    }
    state.endTerm();
    state.isRecordFresh = false;
  }

  private void releasePledges(LeaseState state) {
    PledgeRelease release = new PledgeRelease(lastPledgeSequence, List.of(state.key));
    for (NodeId elector :
        state.storedLease == null ? List.<NodeId>of() : state.storedLease.electors()) {
      if (!elector.equals(self)) {
        outbox.add(new OutgoingMessage(elector, release));
      }
    }
    state.isRequestingPledges = false;
    state.isHeldByPledges = false;
    state.pledges.clear();
  }
}
