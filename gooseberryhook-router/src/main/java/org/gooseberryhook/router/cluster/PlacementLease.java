package org.gooseberryhook.router.cluster;

/**
 * This node's view of the lease that lets one node at a time plan the placement and send orders to
 * targets.
 *
 * <p>The lease is a record in the store. Its holder renews it by a conditional write and relies on
 * it only for {@link #VALIDITY_MS}, counted from before the renewal was sent. Another node takes it
 * over when the record has not changed for {@link #TAKEOVER_DELAY_MS}. As that is longer, two
 * holders never act at the same time unless one of them was suspended. For that case each takeover
 * raises the fencing number, which targets check with each order.
 *
 * <p>All times are monotonic and must include the time for which the machine was suspended.
 */
public final class PlacementLease {

  /**
   * Time for which a renewal is valid, counted from before it was sent. It covers a renewal
   * interval, a write that gets no response from the store, and a second write.
   */
  public static final long VALIDITY_MS = 1_300;

  /**
   * Time for which the record must be unchanged before another node takes the lease over; a third
   * longer than the validity. It is below 2 s because callers abandon a stream after 2 s without an
   * event, and a target that fails together with the lease holder should be replaced before that.
   */
  public static final long TAKEOVER_DELAY_MS = 1_700;

  /** Time between two renewals by the holder. */
  public static final long RENEWAL_INTERVAL_MS = 400;

  /**
   * The lease record in the store.
   *
   * @param holder name of the holding node; empty if the lease was released
   * @param incarnation start time of the holder's process
   * @param fencingNumber number that rises with each takeover
   * @param revision revision of the record in the store; 0 if the store has no record
   */
  public record LeaseRecord(String holder, long incarnation, long fencingNumber, long revision) {

    /** Represents a record that does not exist because no node has held the lease. */
    public static final LeaseRecord NONE = new LeaseRecord("", 0, 0, 0);
  }

  /**
   * Position of the number of the store's history within a fencing number. Numbers of a later
   * history are thereby above all that targets have seen, whatever the restored record holds.
   */
  private static final int HISTORY_SHIFT = 24;

  private final String self;
  private final long incarnation;
  private long fencingFloor;
  private long earliestWriteMs = Long.MIN_VALUE;
  private LeaseRecord latestRecord;
  private LeaseRecord lastWritten = LeaseRecord.NONE;
  private long unchangedSinceMs;
  private long reportedRevision;
  private long reportedMs;
  private long validUntilMs = Long.MIN_VALUE;

  /** Whether this node was the last holder as far as it knows. */
  private boolean isLastHolder;

  /**
   * Creates a lease that this node does not hold.
   *
   * @param self name of this node
   * @param incarnation start time of this process
   */
  public PlacementLease(String self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Updates the state after the record was read. If another process holds the lease, this node
   * stops using it.
   *
   * @param record the record
   * @param nowMs monotonic time at which the response arrived
   */
  public void onRead(LeaseRecord record, long nowMs) {
    if (!isSelf(record)) {
      relinquish();
    }
    if (latestRecord == null || latestRecord.revision() != record.revision()) {
      latestRecord = record;
      unchangedSinceMs = record.revision() == reportedRevision ? reportedMs : nowMs;
    }
  }

  /**
   * Updates the state after another node reported that it holds the lease. If the record is later
   * read with the reported revision, it has not changed since the report. If the revision is above
   * that of this node's last write, this node is no longer the last holder.
   *
   * @param revision revision of the other node's last renewal
   * @param nowMs monotonic time in milliseconds
   */
  public void onHolderReport(long revision, long nowMs) {
    reportedRevision = revision;
    reportedMs = nowMs;
    if (revision > lastWritten.revision()) {
      relinquish();
    }
  }

  /**
   * Sets the lowest fencing number of this node from the number of the store's history.
   *
   * @param history number of the store's history
   */
  public void setHistory(long history) {
    fencingFloor = Math.max(fencingFloor, (history << HISTORY_SHIFT) + 1);
  }

  /**
   * Updates the state after the store came back from a copy: revisions are without meaning, and the
   * last holder may not know. This node stops using the lease, and takes it only when the last
   * holder can no longer act.
   *
   * @param history number of the store's new history
   * @param nowMs monotonic time in milliseconds
   */
  public void onHistoryChanged(long history, long nowMs) {
    setHistory(history);
    relinquish();
    latestRecord = null;
    lastWritten = LeaseRecord.NONE;
    reportedRevision = 0;
    earliestWriteMs = nowMs + TAKEOVER_DELAY_MS;
  }

  /**
   * Returns the earliest time at which this node may take the lease over if the record stays
   * unchanged.
   *
   * @return monotonic time in milliseconds
   */
  public long earliestTakeoverMs() {
    return Math.max(earliestWriteMs, unchangedSinceMs + TAKEOVER_DELAY_MS);
  }

  /**
   * Returns whether this node should write the record now: to renew the lease, to take it over, or
   * to take a released one. False if the current record is unknown and has to be read first.
   *
   * @param nowMs monotonic time in milliseconds
   * @return true if {@link #nextRecord} should be written on condition that the stored record still
   *     has the revision of that record
   */
  public boolean isWriteDue(long nowMs) {
    if (latestRecord == null || nowMs < earliestWriteMs) {
      return false;
    }
    boolean isOwn = isSelf(latestRecord);
    boolean isFree = latestRecord.holder().isEmpty();
    // An earlier process of this node has ended and can no longer act as the holder.
    boolean isOfOwnEarlierProcess =
        latestRecord.holder().equals(self) && latestRecord.incarnation() != incarnation;
    boolean isStale = nowMs - unchangedSinceMs >= TAKEOVER_DELAY_MS;
    return isOwn || isFree || isOfOwnEarlierProcess || isStale;
  }

  /**
   * Returns the record to write. Must be called only if {@link #isWriteDue} returned true.
   *
   * @return the record; its revision is the one that the store must still have
   */
  public LeaseRecord nextRecord() {
    boolean isRenewal = isSelf(latestRecord) && latestRecord.fencingNumber() >= fencingFloor;
    long fencingNumber =
        isRenewal
            ? latestRecord.fencingNumber()
            : Math.max(fencingFloor, latestRecord.fencingNumber() + 1);
    return new LeaseRecord(self, incarnation, fencingNumber, latestRecord.revision());
  }

  /**
   * Updates the state after a successful write, by which this node holds the lease.
   *
   * @param written the record with its new revision
   * @param sentMs monotonic time from before the write was sent
   */
  public void onWritten(LeaseRecord written, long sentMs) {
    latestRecord = written;
    lastWritten = written;
    unchangedSinceMs = sentMs;
    validUntilMs = sentMs + VALIDITY_MS;
    isLastHolder = true;
  }

  /**
   * Stops using the lease after a target refused the fencing number, which means that another node
   * has taken over. A refusal of an earlier fencing number of this node is ignored.
   *
   * @param fencingNumber the refused number
   */
  public void onFenced(long fencingNumber) {
    if (lastWritten.fencingNumber() == fencingNumber) {
      relinquish();
      latestRecord = null;
    }
  }

  /** Discards the record after a write with an unknown outcome, so that it is read again first. */
  public void onWriteUnknown() {
    latestRecord = null;
  }

  /** Stops using the lease until this node writes the record again. */
  public void relinquish() {
    validUntilMs = Long.MIN_VALUE;
    isLastHolder = false;
  }

  /**
   * Extends the validity of the lease without a renewal if this node was the last holder. Must be
   * called only while the store is unavailable to all nodes, when no node can take the lease over.
   * If a node whose reports do not arrive took it over before, targets refuse the fencing number of
   * this one.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void extendWithoutStore(long nowMs) {
    if (isLastHolder) {
      validUntilMs = Math.max(validUntilMs, nowMs + VALIDITY_MS);
    }
  }

  /**
   * Returns whether this node may act as the holder.
   *
   * @param nowMs monotonic time in milliseconds
   * @return true while the last renewal or extension is valid
   */
  public boolean isHeld(long nowMs) {
    return nowMs < validUntilMs;
  }

  /**
   * Returns the record that this node wrote last. Its fencing number is sent with orders.
   *
   * @return the record; {@link LeaseRecord#NONE} if this process never held the lease
   */
  public LeaseRecord lastWritten() {
    return lastWritten;
  }

  private boolean isSelf(LeaseRecord record) {
    return record.holder().equals(self) && record.incarnation() == incarnation;
  }
}
