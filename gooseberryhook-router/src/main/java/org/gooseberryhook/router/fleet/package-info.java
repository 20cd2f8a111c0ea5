/**
 * The targets and the pipelines they form. Start at {@link
 * org.gooseberryhook.router.fleet.TargetRegistry}; nothing here does input or output.
 */
package org.gooseberryhook.router.fleet;
