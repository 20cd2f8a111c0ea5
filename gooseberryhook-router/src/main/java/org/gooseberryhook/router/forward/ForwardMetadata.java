package org.gooseberryhook.router.forward;

import java.util.Optional;
import org.gooseberryhook.router.fleet.ModelPipeline;

/**
 * Values that the router sends to a target in the headers of a request.
 *
 * @param targetId id of the only target that may run the request
 * @param remainingMs time left until the request's deadline, in milliseconds
 * @param workspace name of the caller's workspace, if its key is known
 * @param rank priority rank of the request, 0 is the most urgent
 * @param pipeline the targets that the request passes through, for a model split into layers
 * @param lastEventId id of the last event that the caller received, if a stream is resumed
 */
public record ForwardMetadata(
    String targetId,
    long remainingMs,
    Optional<String> workspace,
    int rank,
    Optional<ModelPipeline> pipeline,
    Optional<String> lastEventId) {}
