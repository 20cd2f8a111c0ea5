package org.gooseberryhook.state;

/**
 * Value with the version of the configuration log that last changed it.
 *
 * @param version the log version, which the administrative interface uses as ETag
 * @param value the value
 * @param <T> type of the value
 * @since 0.1
 */
public record Versioned<T>(long version, T value) {}
