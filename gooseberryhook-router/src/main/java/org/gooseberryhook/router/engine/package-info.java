/**
 * Estimates the times between events of streams from the profiles of engines. The entry point is
 * {@link org.gooseberryhook.router.engine.EventGap}. Nothing in this package does input or output.
 */
package org.gooseberryhook.router.engine;
