package org.gooseberryhook.coordination;

/**
 * A lease that this node holds.
 *
 * @param fencingNumber number of this term
 * @param usableUntilNanos when it may no longer be used unless it is renewed
 * @since 0.1
 */
public record HeldLease(long fencingNumber, long usableUntilNanos) {}
