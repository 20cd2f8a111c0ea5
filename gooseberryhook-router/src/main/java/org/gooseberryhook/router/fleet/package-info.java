/**
 * Keeps the known targets and composes pipelines from them. The entry point is {@link
 * org.gooseberryhook.router.fleet.TargetRegistry}. Nothing in this package does input or output.
 */
package org.gooseberryhook.router.fleet;
