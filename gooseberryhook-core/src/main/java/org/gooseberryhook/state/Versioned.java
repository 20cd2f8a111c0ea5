package org.gooseberryhook.state;

/**
 * A value with the log version that last changed it.
 *
 * @param version the log version, used as ETag
 * @param value the value
 * @param <T> type of the value
 * @since 0.1
 */
public record Versioned<T>(long version, T value) {}
