package org.gooseberryhook.router.fleet;

import org.gooseberryhook.state.LayerRange;

/**
 * Position of one target in a pipeline.
 *
 * @param target the target
 * @param layers layers that the target runs in the pipeline; it may hold more
 */
public record PipelineStage(TargetEntry target, LayerRange layers) {}
