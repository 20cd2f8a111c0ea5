package org.gooseberryhook.coordination;

/**
 * What one admitted request was charged.
 *
 * @param workspaceId the workspace
 * @param term fencing number of the grantor that gave the units
 * @param stampMs the grantor's monotonic time, not later than the admission, in milliseconds
 * @param requestUnits request units charged
 * @param tokenUnits token units charged, an estimate
 * @param isLocal whether the units came straight from this node's own grantor
 * @since 0.1
 */
public record QuotaAdmission(
    String workspaceId,
    long term,
    long stampMs,
    long requestUnits,
    long tokenUnits,
    boolean isLocal) {}
