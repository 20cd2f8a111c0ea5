package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Amounts of the three resources that a contract limits.
 *
 * @param requests units of the request budget; one request costs one unit
 * @param tokens units of the token budget
 * @param slots concurrency slots; each running request takes one
 * @since 0.1
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record QuotaUnits(long requests, long tokens, long slots) {

  /** No units. */
  public static final QuotaUnits NONE = new QuotaUnits(0, 0, 0);

  /**
   * Returns amounts.
   *
   * @param requests request units
   * @param tokens token units
   * @param slots concurrency slots
   * @return the amounts, never null
   */
  public static QuotaUnits of(long requests, long tokens, long slots) {
    return new QuotaUnits(requests, tokens, slots);
  }
}
