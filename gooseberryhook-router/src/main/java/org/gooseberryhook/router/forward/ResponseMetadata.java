package org.gooseberryhook.router.forward;

import java.util.Optional;

/**
 * What a target's headers say of its answer.
 *
 * @param attemptId id of the attempt that it answers, if stated
 * @param isSigned whether the target signed it
 * @param isNotRun whether the target states that it did not run the request
 * @param faultAddress address of the pipeline's target that is at fault, if stated
 */
public record ResponseMetadata(
    Optional<String> attemptId,
    boolean isSigned,
    boolean isNotRun,
    Optional<String> faultAddress) {}
