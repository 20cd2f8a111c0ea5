/**
 * Decides which pipeline or target takes a request, which requests wait and which are refused. The
 * entry point is {@link org.gooseberryhook.router.admission.StreamAdmission}. Limits that targets
 * name begin at {@link org.gooseberryhook.router.admission.TargetLimits}. Nothing in this package
 * does input or output.
 */
package org.gooseberryhook.router.admission;
