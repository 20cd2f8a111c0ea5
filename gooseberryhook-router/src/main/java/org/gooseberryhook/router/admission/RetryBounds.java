package org.gooseberryhook.router.admission;

/**
 * Bounds of the repeats that all nodes together may send to a service.
 *
 * @param ratio repeats for each request
 * @param slack repeats in a window beside the ratio
 * @param windowMs length of the window
 */
public record RetryBounds(double ratio, double slack, long windowMs) {}
