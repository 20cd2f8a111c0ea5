package org.gooseberryhook.router.configuration;

/**
 * A kind of accelerator. Its factors multiply the times of {@link EngineProfile}, so a larger
 * factor means a slower accelerator.
 *
 * @param name name of the kind
 * @param memoryMb memory for weights of layers and for requests, in MB of 1,000,000 bytes
 * @param decodeTimeFactor factor on the time of decode steps, including the time for context
 * @param prefillTimeFactor factor on the time of prompt processing (prefill)
 */
public record AcceleratorKind(
    String name, double memoryMb, double decodeTimeFactor, double prefillTimeFactor) {}
