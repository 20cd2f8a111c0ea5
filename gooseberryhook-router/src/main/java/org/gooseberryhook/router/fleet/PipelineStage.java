package org.gooseberryhook.router.fleet;

import org.gooseberryhook.state.LayerRange;

/**
 * A target's part in a pipeline.
 *
 * @param target the target
 * @param layers the layers that it runs, all that it holds
 */
public record PipelineStage(TargetEntry target, LayerRange layers) {}
