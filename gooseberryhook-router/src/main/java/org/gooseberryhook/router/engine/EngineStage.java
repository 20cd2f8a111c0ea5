package org.gooseberryhook.router.engine;

import org.gooseberryhook.router.configuration.AcceleratorKind;

/**
 * A target's part in a pipeline, as far as it decides about times.
 *
 * @param kind kind of its accelerator
 * @param layerCount layers that it runs
 * @param pace factor by which it is slower than its kind; 1 is usual
 */
public record EngineStage(AcceleratorKind kind, int layerCount, double pace) {}
