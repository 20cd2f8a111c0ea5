package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a caller's headers say of its request.
 *
 * @param attemptId id of this attempt, empty text if the caller sent none
 * @param apiKey the caller's key, if any
 * @param timeoutMs how long the caller waits, if stated
 * @param promptTokens tokens of the prompt, if stated
 * @param maxOutputTokens most tokens of the answer, if stated
 * @param estimatedOutputTokens the caller's estimate of the answer, if stated
 * @param lastEventId id of the last event that the caller has, if it resumes
 */
public record RequestMetadata(
    String attemptId,
    Optional<String> apiKey,
    OptionalLong timeoutMs,
    OptionalInt promptTokens,
    OptionalInt maxOutputTokens,
    OptionalInt estimatedOutputTokens,
    Optional<String> lastEventId) {}
