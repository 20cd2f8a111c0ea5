package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Values of a caller's request headers that the router uses.
 *
 * @param attemptId the caller's id of this attempt, an empty string if it sent none
 * @param apiKey the caller's key, if any
 * @param timeoutMs how long the caller waits in milliseconds, if stated
 * @param promptTokens number of tokens of the prompt, if stated
 * @param maxOutputTokens maximum number of tokens to generate, if stated
 * @param estimatedOutputTokens the caller's estimate of the tokens to be generated, if stated
 * @param lastEventId id of the last event that the caller received, if it resumes a stream
 * @param promptParts ids of the parts of the prompt in order, empty if not stated; other requests
 *     may share all but the last
 * @param relayedSends number of targets that got the request from the node that relayed it, empty
 *     if it comes from the caller itself
 * @param runningAddresses addresses of targets at which the node that relayed the request may have
 *     a run of it in progress, empty if there is none
 */
public record RequestMetadata(
    String attemptId,
    Optional<String> apiKey,
    OptionalLong timeoutMs,
    OptionalInt promptTokens,
    OptionalInt maxOutputTokens,
    OptionalInt estimatedOutputTokens,
    Optional<String> lastEventId,
    List<Long> promptParts,
    OptionalInt relayedSends,
    Set<String> runningAddresses) {}
