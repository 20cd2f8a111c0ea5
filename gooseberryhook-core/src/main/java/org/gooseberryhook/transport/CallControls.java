package org.gooseberryhook.transport;

import org.gooseberryhook.coordination.AdmissionController;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.RetryBudget;

/**
 * The decisions that a model call passes, in this order.
 *
 * @param crashMarks refuses requests that crash targets
 * @param quota keeps workspaces inside their contracts
 * @param admission keeps the node below overload
 * @param router chooses pipelines
 * @param retries bounds repeated attempts
 * @since 0.1
 */
public record CallControls(
    CrashMarkRegistry crashMarks,
    QuotaHolder quota,
    AdmissionController admission,
    PipelineRouter router,
    RetryBudget retries) {}
