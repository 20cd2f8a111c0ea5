package org.gooseberryhook.protocol;

/**
 * Record of the table service.
 *
 * @param key key of the record
 * @param version version that the last write gave the record; at least 1, and never reused for this
 *     key
 * @param value the value in UTF-8 JSON text
 * @since 0.1
 */
public record TableRecord(String key, long version, String value) {}
