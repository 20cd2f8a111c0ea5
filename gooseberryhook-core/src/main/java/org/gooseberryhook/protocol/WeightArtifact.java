package org.gooseberryhook.protocol;

/**
 * Weights of a model or an adapter.
 *
 * @param name unique name
 * @param modelId the model
 * @param modelVersion version of the model
 * @param sizeBytes length of the whole artifact
 * @since 0.1
 */
public record WeightArtifact(String name, String modelId, String modelVersion, long sizeBytes) {}
