package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request that is to be explained and is not sent. It names a workspace and not a caller's key,
 * because keys must not appear in addresses, logs or output.
 *
 * @param host value of the Host header
 * @param path path without the query
 * @param workspace name of the caller's workspace; empty for a caller without a key
 * @param promptTokens number of tokens of the prompt, if stated
 * @param maxOutputTokens maximum number of tokens to generate, if stated
 * @param estimatedOutputTokens estimate of the tokens to be generated, if stated
 */
public record ExplainQuery(
    String host,
    String path,
    Optional<String> workspace,
    OptionalInt promptTokens,
    OptionalInt maxOutputTokens,
    OptionalInt estimatedOutputTokens) {}
