package org.gooseberryhook.router.engine;

import org.gooseberryhook.router.configuration.AcceleratorKind;

/**
 * Properties of a pipeline stage that determine its times.
 *
 * @param kind kind of the target's accelerator
 * @param layerCount number of layers that the stage runs
 * @param slowdownFactor processing times of the target relative to those usual for its accelerator
 *     kind; 1 is usual, 2 is half as fast
 */
public record EngineStage(AcceleratorKind kind, int layerCount, double slowdownFactor) {}
