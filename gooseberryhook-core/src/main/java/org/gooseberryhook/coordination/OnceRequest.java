package org.gooseberryhook.coordination;

/**
 * Immutable parameters of one attempt of a once-only call.
 *
 * @param claimId unique id of the attempt
 * @param claimant peer address of this node
 * @param digest digest of the operation and the body
 * @param hasLookup whether the service supports a lookup by key
 * @param deadlineNanos deadline of the caller on this node's monotonic clock
 * @param createdEpochMs wall-clock time of creation in milliseconds since 1970, used only for
 *     reports and expiry
 * @since 0.1
 */
public record OnceRequest(
    String claimId,
    String claimant,
    String digest,
    boolean hasLookup,
    long deadlineNanos,
    long createdEpochMs) {}
