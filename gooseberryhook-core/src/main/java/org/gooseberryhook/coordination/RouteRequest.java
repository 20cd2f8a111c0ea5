package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PriorityClass;

/**
 * Properties of a request that routing depends on.
 *
 * @param modelId the model
 * @param modelVersion the version that serves the whole request
 * @param priorityClass the class
 * @param promptBlocks block hashes of the prompt and the delivered tokens
 * @param promptTokens estimated length of the prompt, in tokens
 * @param remainingTokens estimated number of tokens still to be generated
 * @since 0.1
 */
public record RouteRequest(
    String modelId,
    String modelVersion,
    PriorityClass priorityClass,
    PromptBlocks promptBlocks,
    int promptTokens,
    int remainingTokens) {}
