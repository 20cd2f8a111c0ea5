package org.gooseberryhook.coordination;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.gooseberryhook.state.NodeId;

/**
 * Value of a lease record in the table service.
 *
 * @param holder the holder; null if the lease was released
 * @param fencingNumber rises by one with each new holder
 * @param renewal differs for each write that was tried
 * @param electors the holder and its deputies; only they may acquire the lease while the holder's
 *     VM exists
 * @param frozen whether the holder may have gone on by pledges without renewing
 * @param ttlMs time that an acquirer must wait after it first read this renewal, in milliseconds.
 *     It is part of the record because nodes that see different cluster sizes use different times
 * @since 0.1
 */
public record DutyLease(
    NodeId holder,
    long fencingNumber,
    long renewal,
    List<NodeId> electors,
    boolean frozen,
    long ttlMs) {

  /** Number of the first holder; there was none before it. */
  static final long FIRST_FENCING_NUMBER = 1;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Copies the electors; a missing list is empty. */
  public DutyLease {
    electors = electors == null ? List.of() : List.copyOf(electors);
  }

  /**
   * Reads the value of a record.
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
   * Returns the value of a record.
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
