package org.gooseberryhook.router.cluster;

/**
 * The lease under which one node plans the placement and orders targets.
 *
 * <p>The lease is a record in the store. A holder renews it by a conditional write and uses it only
 * for {@link #VALIDITY_MS} from before it sent the renewal. Another node takes it over after it has
 * seen the record unchanged for {@link #TAKEOVER_DELAY_MS}, which is longer, so that two holders
 * never act at the same time unless one is suspended. Each takeover raises the fencing number,
 * which targets check with each order.
 *
 * <p>The clock has to count the time for which the machine was suspended.
 */
public final class PlacementLease {

  /**
   * Time for which a renewal counts, from before it was sent. A renewal without an answer can be
   * repeated within it: an interval, the time for an answer of the store, and the repetition.
   */
  public static final long VALIDITY_MS = 1_300;

  /**
   * Time for which a record must be unchanged before a takeover; a third above the usable time.
   * Callers leave a stream after 2 s without an event, and a target that dies together with the
   * holder of the lease is to be replaced before that.
   */
  public static final long TAKEOVER_DELAY_MS = 1_700;

  /** Time between renewals. */
  public static final long RENEWAL_INTERVAL_MS = 400;

  /**
   * The record in the store.
   *
   * @param holder name of the holding node
   * @param incarnation start of the holder's process
   * @param fencingNumber rises with each takeover
   * @param revision revision of the record in the store; 0 if there is none
   */
  public record LeaseRecord(String holder, long incarnation, long fencingNumber, long revision) {

    /** No node has held the lease. */
    public static final LeaseRecord NONE = new LeaseRecord("", 0, 0, 0);
  }

  private final String self;
  private final long incarnation;
  private LeaseRecord latestRecord;
  private LeaseRecord lastWritten = LeaseRecord.NONE;
  private long unchangedSinceMs;
  private long reportedRevision;
  private long reportedMs;
  private long validUntilMs = Long.MIN_VALUE;

  /** Whether this node was the last holder, as far as it knows. */
  private boolean isLastHolder;

  /**
   * Creates a lease that this node does not hold.
   *
   * @param self name of this node
   * @param incarnation start of this process
   */
  public PlacementLease(String self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Notes the record as it was read.
   *
   * @param record the record
   * @param nowMs monotonic time of the answer
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
   * Notes that another node said with which revision it holds the lease. If the record is then read
   * with the same revision, it has not changed since. A node that held the lease before is no
   * longer the last holder.
   *
   * @param revision revision of its last renewal
   * @param nowMs monotonic time
   */
  public void onHolderReport(long revision, long nowMs) {
    reportedRevision = revision;
    reportedMs = nowMs;
    if (revision > lastWritten.revision()) {
      relinquish();
    }
  }

  /**
   * Returns when a takeover may be due at the earliest.
   *
   * @return monotonic time
   */
  public long earliestTakeoverMs() {
    return unchangedSinceMs + TAKEOVER_DELAY_MS;
  }

  /**
   * Tells whether this node should write the record now: to renew it, to take it over, or because
   * nobody holds it.
   *
   * @param nowMs monotonic time
   * @return true if {@link #nextRecord} should be written under the condition that the record is
   *     still the one seen
   */
  public boolean isWriteDue(long nowMs) {
    if (latestRecord == null) {
      return false;
    }
    boolean isOwn = isSelf(latestRecord);
    boolean isFree = latestRecord.holder().isEmpty();
    // An earlier process on this machine has ended and cannot act any more.
    boolean isOfOwnEarlierProcess =
        latestRecord.holder().equals(self) && latestRecord.incarnation() != incarnation;
    boolean isStale = nowMs - unchangedSinceMs >= TAKEOVER_DELAY_MS;
    return isOwn || isFree || isOfOwnEarlierProcess || isStale;
  }

  /**
   * Returns the record to write.
   *
   * @return the next record; its revision is the one that the write expects
   */
  public LeaseRecord nextRecord() {
    long fencingNumber =
        isSelf(latestRecord) ? latestRecord.fencingNumber() : latestRecord.fencingNumber() + 1;
    return new LeaseRecord(self, incarnation, fencingNumber, latestRecord.revision());
  }

  /**
   * Notes that a write succeeded.
   *
   * @param written the record with its new revision
   * @param sentMs monotonic time before the write was sent
   */
  public void onWritten(LeaseRecord written, long sentMs) {
    latestRecord = written;
    lastWritten = written;
    unchangedSinceMs = sentMs;
    validUntilMs = sentMs + VALIDITY_MS;
    isLastHolder = true;
  }

  /**
   * Notes that targets refused the fencing number: another node has taken over.
   *
   * @param fencingNumber the refused number
   */
  public void onFenced(long fencingNumber) {
    if (lastWritten.fencingNumber() == fencingNumber) {
      relinquish();
      latestRecord = null;
    }
  }

  /** Notes that it is not known whether a write took effect; the record has to be read again. */
  public void onWriteUnknown() {
    latestRecord = null;
  }

  /** Stops to use the lease until it is renewed. */
  public void relinquish() {
    validUntilMs = Long.MIN_VALUE;
    isLastHolder = false;
  }

  /**
   * Goes on for a while without a renewal; to be called only while the store is away for all nodes.
   * Nobody can take the lease over then. If a node that is not heard has done so before, targets
   * refuse the fencing number of this one.
   *
   * @param nowMs monotonic time
   */
  public void extendWithoutStore(long nowMs) {
    if (isLastHolder) {
      validUntilMs = Math.max(validUntilMs, nowMs + VALIDITY_MS);
    }
  }

  /**
   * Tells whether this node may act as the holder.
   *
   * @param nowMs monotonic time
   * @return true if it may
   */
  public boolean isHeld(long nowMs) {
    return nowMs < validUntilMs;
  }

  /**
   * Returns the record that this node wrote last.
   *
   * @return the record, whose fencing number goes with orders; {@link LeaseRecord#NONE} if this
   *     node never held the lease
   */
  public LeaseRecord lastWritten() {
    return lastWritten;
  }

  private boolean isSelf(LeaseRecord record) {
    return record.holder().equals(self) && record.incarnation() == incarnation;
  }
}
