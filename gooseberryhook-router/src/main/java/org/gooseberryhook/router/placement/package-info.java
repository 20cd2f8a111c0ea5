/**
 * Decides which layers each target holds. Start at {@link
 * org.gooseberryhook.router.placement.LayerPlanner}; nothing here does input or output.
 */
package org.gooseberryhook.router.placement;
