/**
 * Estimates the times of engines from their figures. Start at {@link
 * org.gooseberryhook.router.engine.EventInterval}; nothing here does input or output.
 */
package org.gooseberryhook.router.engine;
