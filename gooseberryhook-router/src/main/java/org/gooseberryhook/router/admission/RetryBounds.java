package org.gooseberryhook.router.admission;

/**
 * Bounds on the retries that all nodes together may send to a service.
 *
 * @param ratio retries allowed for each request
 * @param slack retries allowed in a window in addition to the ratio
 * @param windowMs length of the sliding window in milliseconds
 */
public record RetryBounds(double ratio, double slack, long windowMs) {}
