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
   * A record did not have the expected version and nothing was applied.
   *
   * @param current the current records of the transaction's keys; absent records are omitted
   * @since 0.1
   */
  record Conflict(List<TableRecord> current) implements TableResult {}

  /**
   * The records were read.
   *
   * @param records the records in key order
   * @since 0.1
   */
  record Read(List<TableRecord> records) implements TableResult {}

  /**
   * The call was refused or never sent; nothing was applied.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record NotApplied(String reason) implements TableResult {}

  /**
   * The response was lost; the transaction may have been applied or may still be applied later.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record Unknown(String reason) implements TableResult {}
}
