package org.gooseberryhook.coordination;

/**
 * What one admitted request was charged.
 *
 * @param workspaceId the workspace
 * @param term fencing number of the grantor that gave the units
 * @param stamp position in the grantor's account that is not later than the admission
 * @param requestUnits request units charged
 * @param tokenUnits token units charged, an estimate
 * @param isLocal whether the units came straight from this node's own grantor
 * @since 0.1
 */
public record QuotaAdmission(
    String workspaceId,
    long term,
    long stamp,
    long requestUnits,
    long tokenUnits,
    boolean isLocal) {}
