package org.gooseberryhook.router.forward;

import java.util.Optional;
import org.gooseberryhook.router.fleet.ModelPipeline;

/**
 * What the system tells a target with a request.
 *
 * @param targetId id of the target that may run it
 * @param remainingMs time that is left
 * @param workspace name of the caller's workspace, if its key is known
 * @param rank rank of the request, 0 first
 * @param pipeline the targets that the request passes through, for models in layers
 * @param lastEventId id of the last event that the caller has, if a stream goes on
 */
public record ForwardMetadata(
    String targetId,
    long remainingMs,
    Optional<String> workspace,
    int rank,
    Optional<ModelPipeline> pipeline,
    Optional<String> lastEventId) {}
