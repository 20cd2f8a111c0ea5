package org.gooseberryhook.protocol;

/**
 * Conditional write of one record of the table service.
 *
 * @param key key of the record
 * @param expectedVersion version that the record must have; 0 if it must be absent
 * @param value the new value in UTF-8 JSON text; null deletes the record
 * @since 0.1
 */
public record TableOperation(String key, long expectedVersion, String value) {

  /**
   * Returns an operation that creates or replaces a record.
   *
   * @param key key of the record
   * @param expectedVersion version that the record must have; 0 if it must be absent
   * @param value the new value, not null
   * @return the operation, never null
   */
  public static TableOperation ofPut(String key, long expectedVersion, String value) {
    return new TableOperation(key, expectedVersion, value);
  }

  /**
   * Returns an operation that deletes a record.
   *
   * @param key key of the record
   * @param expectedVersion version that the record must have
   * @return the operation, never null
   */
  public static TableOperation ofDelete(String key, long expectedVersion) {
    return new TableOperation(key, expectedVersion, null);
  }
}
