package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages between a lease holder and its deputies.
 *
 * @since 0.1
 */
public sealed interface PledgeMessage extends PeerMessage {

  /**
   * Asks a deputy not to acquire a lease.
   *
   * @param sequence number that the answer repeats
   * @param leaseKey key of the lease
   * @param fencingNumber number under which the sender holds it
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record PledgeAsk(long sequence, String leaseKey, long fencingNumber) implements PledgeMessage {}
}
