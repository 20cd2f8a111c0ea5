package org.gooseberryhook.coordination;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.gooseberryhook.state.NodeId;

/**
 * Value of the record in the table service that names the holder of one duty of the cluster, for
 * example of granting the quotas of a shard. {@code LeaseState} is what one node knows of a lease;
 * {@link HeldLease} is a term that the node itself holds.
 *
 * @param holder node that holds the lease; null if it was released
 * @param fencingNumber rises by one with each new holder, so that actions of earlier holders can be
 *     refused
 * @param renewal counter that differs for each attempted write, so that a write can be recognized
 *     when it is read back
 * @param electors the holder and its deputies; only they may acquire the lease while the holder's
 *     run has not ended
 * @param frozen whether the holder may keep the lease without renewing it, because it has requested
 *     pledges from its deputies not to acquire it
 * @param ttlMs time for which an acquirer must wait after it first read this renewal, in
 *     milliseconds. It is part of the record because nodes that see different cluster sizes use
 *     different times
 * @since 0.1
 */
public record DutyLease(
    NodeId holder,
    long fencingNumber,
    long renewal,
    List<NodeId> electors,
    boolean frozen,
    long ttlMs) {

  /** Fencing number of the first holder of a lease. */
  static final long FIRST_FENCING_NUMBER = 1;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Copies the electors; a missing list is empty. */
  public DutyLease {
    electors = electors == null ? List.of() : List.copyOf(electors);
  }

  /**
   * Parses the value of a lease record.
   *
   * @param json the value
   * @return the lease, never null
   * @throws IllegalArgumentException if the value is not a lease
   */
  public static DutyLease ofJson(String json) {
    try {
      return MAPPER.readValue(json, DutyLease.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "lease record cannot be read; stop its holder, then delete the record: " + json, e);
    }
  }

  /**
   * Returns the lease as the value of a record.
   *
   * @return JSON text
   */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("lease cannot be written as JSON: " + this, e);
    }
  }
}
