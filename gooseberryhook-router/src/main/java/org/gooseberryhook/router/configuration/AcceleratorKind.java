package org.gooseberryhook.router.configuration;

/**
 * A kind of accelerator.
 *
 * @param name name of the kind
 * @param memoryMb memory for layers and requests
 * @param decodeTimeFactor factor on the time of token steps and of context
 * @param prefillTimeFactor factor on the time of reading prompts
 */
public record AcceleratorKind(
    String name, double memoryMb, double decodeTimeFactor, double prefillTimeFactor) {}
