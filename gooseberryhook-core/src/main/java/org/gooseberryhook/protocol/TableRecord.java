package org.gooseberryhook.protocol;

/**
 * A record of the table service.
 *
 * @param key the key
 * @param version number of the last write; at least 1, and never used again for this key
 * @param value the value in UTF-8 JSON text
 * @since 0.1
 */
public record TableRecord(String key, long version, String value) {}
