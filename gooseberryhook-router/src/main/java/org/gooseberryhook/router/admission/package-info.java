/**
 * Decides which pipeline or target takes a request, which requests wait and which are refused.
 * Start at {@link org.gooseberryhook.router.admission.StreamAdmission}; nothing here does input or
 * output.
 */
package org.gooseberryhook.router.admission;
