/**
 * Decides which layers of a model each target holds, and which orders are sent to reach that. The
 * entry point is {@link org.gooseberryhook.router.placement.LayerPlanner}. Nothing in this package
 * does input or output.
 */
package org.gooseberryhook.router.placement;
