package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Messages between the holder of duty leases and its deputies. A deputy pledges not to acquire a
 * lease, so that the holder can keep its duty while it cannot renew the lease in the table service.
 * One message carries any number of leases.
 *
 * @since 0.1
 */
public sealed interface PledgeMessage extends PeerMessage {

  /**
   * Requests a pledge from a deputy. The holder sends it when it has not renewed a lease for some
   * time, and repeats it until every deputy has pledged.
   *
   * @param sequence number that the response repeats; rises with every round of requests of one
   *     holder
   * @param leases leases of the sender for which it requests the pledge
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeAsk(long sequence, List<PledgedLease> leases) implements PledgeMessage {}

  /**
   * Gives the pledge that a holder requested: the deputy does not acquire the leases until the
   * holder releases it or the holder's VM is gone.
   *
   * @param sequence number of the request
   * @param leases the leases that are pledged; the others of the request are refused
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeGiven(long sequence, List<PledgedLease> leases) implements PledgeMessage {}

  /**
   * Releases a deputy from its pledges. The holder sends it when it gives a lease back, renews it
   * or receives a pledge that it no longer needs.
   *
   * @param sequence pledges in response to requests up to this number are released
   * @param leaseKeys keys of the leases
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeRelease(long sequence, List<String> leaseKeys) implements PledgeMessage {}

  /**
   * Lease to which a pledge applies.
   *
   * @param leaseKey key of the lease record in the table service
   * @param fencingNumber fencing number under which the holder has the lease
   * @param renewal highest renewal counter that the holder has tried to write
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgedLease(String leaseKey, long fencingNumber, long renewal) {}
}
