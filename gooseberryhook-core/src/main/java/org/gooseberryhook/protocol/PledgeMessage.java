package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Messages between a lease holder and its deputies. One message carries any number of leases.
 *
 * @since 0.1
 */
public sealed interface PledgeMessage extends PeerMessage {

  /**
   * Asks a deputy not to acquire leases.
   *
   * @param sequence number that the answer repeats; rises with every ask and release of one holder
   * @param leases the leases
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeAsk(long sequence, List<PledgedLease> leases) implements PledgeMessage {}

  /**
   * Promises not to acquire leases until the holder releases the deputy or its VM is gone.
   *
   * @param sequence number of the ask
   * @param leases the leases for which the promise is given
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeGiven(long sequence, List<PledgedLease> leases) implements PledgeMessage {}

  /**
   * Releases a deputy from its promises.
   *
   * @param sequence promises to asks up to this number are released
   * @param leaseKeys keys of the leases
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeRelease(long sequence, List<String> leaseKeys) implements PledgeMessage {}

  /**
   * A lease in a pledge.
   *
   * @param leaseKey key of the lease
   * @param fencingNumber number under which the sender of the ask holds it
   * @param renewal highest renewal counter that the sender of the ask has tried to write
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgedLease(String leaseKey, long fencingNumber, long renewal) {}
}
