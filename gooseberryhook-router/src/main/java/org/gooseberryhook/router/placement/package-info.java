/**
 * Decides which layers of a model each target holds, and which orders are sent to reach that. Start
 * at {@link org.gooseberryhook.router.placement.LayerPlanner}. Nothing here does input or output.
 */
package org.gooseberryhook.router.placement;
