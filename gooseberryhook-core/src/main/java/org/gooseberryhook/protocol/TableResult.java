package org.gooseberryhook.protocol;

import java.util.List;

/**
 * Result of a call to the table service.
 *
 * @since 0.1
 */
public sealed interface TableResult {

  /**
   * The transaction was applied.
   *
   * @param versions new version of each record, in the order of the operations; 0 for deletions
   * @since 0.1
   */
  record Committed(List<Long> versions) implements TableResult {}

  /**
   * A condition did not hold and nothing was applied.
   *
   * @param current the present records of the transaction's keys; absent records are left out
   * @since 0.1
   */
  record Conflict(List<TableRecord> current) implements TableResult {}

  /**
   * Records that were read.
   *
   * @param records the records in key order
   * @since 0.1
   */
  record Read(List<TableRecord> records) implements TableResult {}

  /**
   * The call was refused or never sent; nothing was applied.
   *
   * @param reason what happened
   * @since 0.1
   */
  record NotApplied(String reason) implements TableResult {}

  /**
   * The answer was lost; a transaction may have been applied, now or later.
   *
   * @param reason what happened
   * @since 0.1
   */
  record Unknown(String reason) implements TableResult {}
}
