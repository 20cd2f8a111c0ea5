package org.gooseberryhook.router.engine;

import org.gooseberryhook.router.configuration.AcceleratorKind;

/**
 * A target's part in a pipeline, as far as it decides about times.
 *
 * @param kind kind of its accelerator
 * @param layers layers that it runs
 * @param pace factor by which it is slower than its kind; 1 is usual
 */
public record EnginePart(AcceleratorKind kind, int layers, double pace) {}
