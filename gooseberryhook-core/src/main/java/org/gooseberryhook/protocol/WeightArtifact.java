package org.gooseberryhook.protocol;

/**
 * Artifact of the weight store: the weights of a model or an adapter.
 *
 * @param name unique name
 * @param modelId id of the model
 * @param modelVersion version of the model
 * @param sizeBytes size of the whole artifact in bytes
 * @since 0.1
 */
public record WeightArtifact(String name, String modelId, String modelVersion, long sizeBytes) {}
