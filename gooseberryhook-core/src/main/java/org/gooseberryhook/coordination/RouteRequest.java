package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PriorityClass;

/**
 * What routing needs to know about a request.
 *
 * @param modelId the model
 * @param modelVersion the version that the request stays on
 * @param priorityClass the class
 * @param promptBlocks block hashes of the prompt and the delivered tokens
 * @param promptTokens estimated length of the prompt, in tokens
 * @param remainingTokens tokens still to be generated, as estimated
 * @since 0.1
 */
public record RouteRequest(
    String modelId,
    String modelVersion,
    PriorityClass priorityClass,
    PromptBlocks promptBlocks,
    int promptTokens,
    int remainingTokens) {}
