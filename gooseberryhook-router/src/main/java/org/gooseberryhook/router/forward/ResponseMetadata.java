package org.gooseberryhook.router.forward;

import java.util.Optional;

/**
 * Values of a target's response headers that the router uses.
 *
 * @param attemptId id of the attempt that the response belongs to, if stated
 * @param isSigned whether the target signed the response
 * @param isNotRun whether the target states that it did not run the request
 * @param faultAddress address of the target in the pipeline that caused the failure, if stated
 * @param isLeaving whether the target states that it is about to leave
 * @param retryAfter time for which a target that refuses a request wants no other one, in seconds
 *     as it states them, if it does
 * @param namedLimit requests a second that the target takes from all nodes together, as it states
 *     them, if it names a limit
 */
public record ResponseMetadata(
    Optional<String> attemptId,
    boolean isSigned,
    boolean isNotRun,
    Optional<String> faultAddress,
    boolean isLeaving,
    Optional<String> retryAfter,
    Optional<String> namedLimit) {}
