/**
 * Estimates the times between events of streams from the timing profiles of engines. The entry
 * point is {@link org.gooseberryhook.router.engine.EventInterval}. Nothing in this package does
 * input or output.
 */
package org.gooseberryhook.router.engine;
