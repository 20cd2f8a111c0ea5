package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a caller's headers say of its request.
 *
 * @param attemptId id of this attempt, empty text if the caller sent none
 * @param apiKey the caller's key, if any
 * @param deadlineMs how long the caller waits, if stated
 * @param promptTokens tokens of the prompt, if stated
 * @param maxAnswerTokens most tokens of the answer, if stated
 * @param answerHintTokens the caller's estimate of the answer, if stated
 * @param lastEventId id of the last event that the caller has, if it resumes
 */
public record RequestFacts(
    String attemptId,
    Optional<String> apiKey,
    OptionalLong deadlineMs,
    OptionalInt promptTokens,
    OptionalInt maxAnswerTokens,
    OptionalInt answerHintTokens,
    Optional<String> lastEventId) {}
