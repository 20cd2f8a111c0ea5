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
 * Holds and acquires the duty leases of one node. A lease is used until its time to live, counted
 * from before the renewal was sent, has run out less a margin; an acquirer waits the whole time
 * from its first reading of a renewal counter. While the table service is away, promises of all
 * deputies take the place of renewals. All methods lock the keeper.
 *
 * @since 0.1
 */
public final class DutyLeaseKeeper {

  /** Time between asks to the deputies that have not promised. */
  static final long PLEDGE_RETRY_NANOS = 200_000_000L;

  /** Nodes remembered as gone; far above the VMs that fail or restart while a lease is stuck. */
  static final int MAX_GONE_NODES = 1024;

  /** Deputies are asked when less than this share of the usable time is left. */
  private static final double PLEDGE_SHARE = 0.5;

  private final NodeId self;
  private LeaseTiming timing;
  private final Map<String, LeaseEntry> entries = new TreeMap<>();
  private final LeaseCalls calls;
  private final Set<NodeId> goneNodes = new LinkedHashSet<>();
  private final PledgeRegistry pledges = new PledgeRegistry();
  private final List<OutgoingMessage> outbox = new ArrayList<>();
  private long lastPledgeSequence;
  private long nextPledgeNanos;
  private boolean isStarted;

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
   * Sets the leases that this node should hold. Leases that are held and not named are released.
   *
   * @param duties for each lease key the deputies that should be recorded, best first
   */
  public synchronized void setDuties(Map<String, List<NodeId>> duties) {
    duties.forEach(
        (key, deputies) -> {
          LeaseEntry entry = entries.computeIfAbsent(key, id -> new LeaseEntry(id, self));
          if (entry.deputies == null) {
            calls.readSoon();
          }
          entry.deputies = List.copyOf(deputies);
        });
    for (LeaseEntry entry : entries.values()) {
      if (!duties.containsKey(entry.key) && entry.deputies != null) {
        entry.deputies = null;
        giveUp(entry);
      }
    }
  }

  /**
   * Changes the times. A shorter time to live than the present one is ignored: an acquirer that
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

  /** Releases all leases; later ticks repeat the release until it is known to be done. */
  public synchronized void stop() {
    calls.stop();
    setDuties(Map.of());
  }

  /**
   * Tells whether this node may act as the holder. To be asked right before each act.
   *
   * @param key key of the lease
   * @param nowNanos the time
   * @return true if the lease may be used
   */
  public synchronized boolean isHolder(String key, long nowNanos) {
    LeaseEntry entry = entries.get(key);
    return entry != null && entry.isHolder(nowNanos);
  }

  /**
   * Returns the leases that this node may use.
   *
   * @param nowNanos the time
   * @return a copy, by key
   */
  public synchronized Map<String, HeldLease> getHeld(long nowNanos) {
    Map<String, HeldLease> held = new LinkedHashMap<>();
    for (LeaseEntry entry : entries.values()) {
      if (entry.isHolder(nowNanos)) {
        // A frozen lease is confirmed anew at each tick, so a short horizon is enough.
        long until = entry.isSticky ? nowNanos + timing.usableNanos() : entry.usableUntilNanos;
        held.put(entry.key, new HeldLease(entry.fencingNumber, until));
      }
    }
    return held;
  }

  /**
   * Tells whether all releases have been confirmed.
   *
   * @return true if nothing is left to release
   */
  public synchronized boolean isReleased() {
    return entries.values().stream().noneMatch(entry -> entry.isHeld || entry.isReleaseDue);
  }

  /**
   * Notes that a run of a node can no longer act: its process has ended or its VM is gone.
   *
   * @param node the node
   */
  public synchronized void onVmGone(NodeId node) {
    goneNodes.add(node);
    if (goneNodes.size() > MAX_GONE_NODES) {
      // Forgetting one only delays the takeover of leases that still name it.
      goneNodes.remove(goneNodes.iterator().next());
    }
    calls.readSoon();
    pledges.removeHolder(node);
  }

  /**
   * Returns what is due.
   *
   * @param nowNanos the time
   * @return calls and messages
   */
  public synchronized LeaseActions tick(long nowNanos) {
    for (LeaseEntry entry : entries.values()) {
      if (entry.isHeld && !entry.isHolder(nowNanos)) {
        drop(entry);
      }
    }
    List<TableCall> due =
        calls.collect(entries.values(), entry -> canAcquire(entry, nowNanos), nowNanos);
    askPledges(nowNanos);
    List<OutgoingMessage> messages = List.copyOf(outbox);
    outbox.clear();
    return new LeaseActions(due, messages);
  }

  /**
   * Takes the result of a call.
   *
   * @param callId id of the call
   * @param result the result
   * @param nowNanos the time
   */
  public synchronized void onTableResult(long callId, TableResult result, long nowNanos) {
    Call call = calls.close(callId);
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
      call.keys().forEach(key -> entries.get(key).openAcquisitions.remove(callId));
    }
  }

  /**
   * Takes a message; answers are returned by the next tick.
   *
   * @param from the sender
   * @param ask the message
   * @param nowNanos the time
   */
  public synchronized void onPledgeAsk(NodeId from, PledgeAsk ask, long nowNanos) {
    List<PledgedLease> given = new ArrayList<>();
    for (PledgedLease lease : ask.leases()) {
      LeaseEntry entry = entries.get(lease.leaseKey());
      boolean isOwnClaim = entry != null && (entry.isHeld || !entry.openAcquisitions.isEmpty());
      boolean isOutdated =
          entry != null
              && entry.lease != null
              && entry.lease.fencingNumber() > lease.fencingNumber();
      if (!isOwnClaim && !isOutdated && pledges.give(from, ask.sequence(), lease)) {
        given.add(lease);
      }
    }
    if (!given.isEmpty()) {
      outbox.add(new OutgoingMessage(from, new PledgeGiven(ask.sequence(), given)));
    }
  }

  /**
   * Takes a message.
   *
   * @param from the sender
   * @param given the message
   * @param nowNanos the time
   */
  public synchronized void onPledgeGiven(NodeId from, PledgeGiven given, long nowNanos) {
    List<String> useless = new ArrayList<>();
    for (PledgedLease lease : given.leases()) {
      LeaseEntry entry = entries.get(lease.leaseKey());
      boolean isWanted =
          entry != null
              && entry.isHolder(nowNanos)
              && entry.isAskingPledges
              && entry.fencingNumber == lease.fencingNumber()
              && given.sequence() >= entry.firstPledgeSequence;
      if (isWanted) {
        entry.pledges.add(from);
        entry.isSticky |= entry.getMissingPledges().isEmpty();
      } else {
        useless.add(lease.leaseKey());
      }
    }
    if (!useless.isEmpty()) {
      outbox.add(new OutgoingMessage(from, new PledgeRelease(given.sequence(), useless)));
    }
  }

  /**
   * Takes a message.
   *
   * @param from the sender
   * @param release the message
   */
  public synchronized void onPledgeRelease(NodeId from, PledgeRelease release) {
    pledges.release(from, release.sequence(), release.leaseKeys());
  }

  private void onCommitted(Call call, TableResult.Committed committed, long nowNanos) {
    for (int index = 0; index < call.keys().size(); index++) {
      LeaseEntry entry = entries.get(call.keys().get(index));
      long version = committed.versions().get(index);
      entry.openAcquisitions.remove(call.id());
      if (call.kind() == Kind.RELEASE) {
        entry.isReleaseDue = false;
        entry.isFresh = false;
        // They expect an older version, so none of them can take effect any more.
        entry.openAcquisitions.clear();
        continue;
      }
      LeaseEntry.Attempt attempt = entry.getAttempt(call.renewals().get(index));
      if (attempt != null) {
        confirm(entry, attempt, version, nowNanos);
      }
    }
  }

  private void confirm(LeaseEntry entry, LeaseEntry.Attempt attempt, long version, long nowNanos) {
    entry.confirm(attempt, version, nowNanos);
    boolean isFresh = attempt.usableUntilNanos() - nowNanos > 0;
    if (entry.isHeld && entry.isAskingPledges && isFresh) {
      releasePledges(entry);
    }
  }

  private void onConflict(Call call, TableResult.Conflict conflict, long nowNanos) {
    Map<String, TableRecord> current = new HashMap<>();
    conflict.current().forEach(found -> current.put(found.key(), found));
    for (String key : call.keys()) {
      entries.get(key).openAcquisitions.remove(call.id());
      takeRecord(call.id(), entries.get(key), current.get(key), nowNanos);
    }
    if (call.kind() == Kind.RENEW) {
      calls.renewSoon(nowNanos);
    }
  }

  /** Takes a record that is at least as new as the call that failed on it. */
  private void takeRecord(long callId, LeaseEntry entry, TableRecord found, long nowNanos) {
    DutyLease lease = found == null ? null : DutyLease.ofJson(found.value());
    long version = found == null ? 0 : found.version();
    LeaseEntry.Attempt own = entry.findAttempt(lease);
    if (own != null) {
      confirm(entry, own, version, nowNanos);
    }
    entry.closeAcquisitions(callId, version);
    entry.setRecord(version, lease, nowNanos);
    if (lease != null) {
      pledges.onRead(entry.key, lease);
    }
    boolean isOwn =
        lease != null
            && self.equals(lease.holder())
            && lease.fencingNumber() == entry.fencingNumber;
    if (entry.isHeld && !isOwn) {
      drop(entry);
    }
    boolean mayAppear = !entry.openAcquisitions.isEmpty();
    if (entry.isReleaseDue && !mayAppear && (lease == null || !self.equals(lease.holder()))) {
      entry.isReleaseDue = false;
    }
  }

  private void onRead(Call call, TableResult.Read read, long nowNanos) {
    LeaseEntry entry = entries.get(call.keys().get(0));
    TableRecord found = read.records().isEmpty() ? null : read.records().get(0);
    if (call.kind() == Kind.READ_BACK) {
      onReadBack(call, found, nowNanos);
    } else if (!entry.isHeld) {
      takeRecord(call.id(), entry, found, nowNanos);
    }
  }

  /** One record tells about the whole transaction, because it is applied whole or not at all. */
  private void onReadBack(Call call, TableRecord found, long nowNanos) {
    LeaseEntry first = entries.get(call.keys().get(0));
    DutyLease lease = found == null ? null : DutyLease.ofJson(found.value());
    LeaseEntry.Attempt sent = first.getAttempt(call.renewals().get(0));
    if (sent == null || !sent.lease().equals(lease)) {
      return;
    }
    for (int index = 0; index < call.keys().size(); index++) {
      LeaseEntry entry = entries.get(call.keys().get(index));
      LeaseEntry.Attempt attempt = entry.getAttempt(call.renewals().get(index));
      if (attempt != null) {
        // Versions of the other records are not known; the next write learns them by a conflict.
        long version = index == 0 ? found.version() : entry.version;
        confirm(entry, attempt, version, nowNanos);
      }
    }
  }

  private boolean canAcquire(LeaseEntry entry, long nowNanos) {
    if (entry.deputies == null
        || entry.isHeld
        || !entry.isFresh
        || entry.isReleaseDue
        || pledges.isBound(entry.key, goneNodes)) {
      return false;
    }
    return entry.isAcquirable(goneNodes, timing.acquireWaitNanos(), nowNanos);
  }

  private void askPledges(long nowNanos) {
    if (isStarted && nowNanos - nextPledgeNanos < 0) {
      return;
    }
    isStarted = true;
    nextPledgeNanos = nowNanos + PLEDGE_RETRY_NANOS;
    Map<NodeId, List<PledgedLease>> asks = new LinkedHashMap<>();
    long sequence = lastPledgeSequence + 1;
    for (LeaseEntry entry : entries.values()) {
      long left = entry.usableUntilNanos - nowNanos;
      if (!entry.isHeld || entry.isSticky || left > timing.usableNanos() * PLEDGE_SHARE) {
        continue;
      }
      if (!entry.isAskingPledges) {
        entry.isAskingPledges = true;
        entry.firstPledgeSequence = sequence;
      }
      entry.isSticky = entry.getMissingPledges().isEmpty();
      for (NodeId deputy : entry.getMissingPledges()) {
        asks.computeIfAbsent(deputy, id -> new ArrayList<>())
            .add(new PledgedLease(entry.key, entry.fencingNumber, entry.getLastRenewal()));
      }
    }
    if (!asks.isEmpty()) {
      lastPledgeSequence = sequence;
    }
    asks.forEach(
        (deputy, leases) ->
            outbox.add(new OutgoingMessage(deputy, new PledgeAsk(sequence, leases))));
  }

  private void giveUp(LeaseEntry entry) {
    boolean isOwn = entry.lease != null && self.equals(entry.lease.holder());
    entry.isReleaseDue = entry.isHeld || isOwn || !entry.openAcquisitions.isEmpty();
    drop(entry);
  }

  private void drop(LeaseEntry entry) {
    if (entry.isAskingPledges) {
      releasePledges(entry);
    }
    entry.lose();
    entry.isFresh = false;
  }

  private void releasePledges(LeaseEntry entry) {
    PledgeRelease release = new PledgeRelease(lastPledgeSequence, List.of(entry.key));
    for (NodeId elector : entry.lease == null ? List.<NodeId>of() : entry.lease.electors()) {
      if (!elector.equals(self)) {
        outbox.add(new OutgoingMessage(elector, release));
      }
    }
    entry.isAskingPledges = false;
    entry.isSticky = false;
    entry.pledges.clear();
  }
}
