package org.gooseberryhook.coordination;

/**
 * The fixed part of one try of a once-only call.
 *
 * @param claimId unique id of the try
 * @param claimant peer address of this node
 * @param digest digest of operation and body
 * @param hasLookup whether the service can be asked for a key
 * @param deadlineNanos deadline of the caller on this node's monotonic clock
 * @param createdEpochMs wall-clock time, only for reports and expiry
 * @since 0.1
 */
public record OnceRequest(
    String claimId,
    String claimant,
    String digest,
    boolean hasLookup,
    long deadlineNanos,
    long createdEpochMs) {}
