package org.gooseberryhook.coordination;

/**
 * A term of a lease that this node holds, for the components that act under it.
 *
 * @param fencingNumber fencing number of this term
 * @param usableUntilNanos monotonic time from which the lease may no longer be used unless it is
 *     renewed, in nanoseconds
 * @since 0.1
 */
public record HeldLease(long fencingNumber, long usableUntilNanos) {}
