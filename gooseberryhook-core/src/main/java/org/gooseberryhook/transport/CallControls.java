package org.gooseberryhook.transport;

import org.gooseberryhook.coordination.AdmissionController;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.RetryBudget;

/**
 * Components that decide on a model call, in the order in which it passes them.
 *
 * @param crashMarks refuses or isolates requests that crashed targets
 * @param quota keeps workspaces within the bounds of their contracts
 * @param admission queues or rejects requests so that the node is not overloaded
 * @param router chooses pipelines
 * @param retries limits repeated attempts of each workspace
 * @since 0.1
 */
public record CallControls(
    CrashMarkRegistry crashMarks,
    QuotaHolder quota,
    AdmissionController admission,
    PipelineRouter router,
    RetryBudget retries) {}
