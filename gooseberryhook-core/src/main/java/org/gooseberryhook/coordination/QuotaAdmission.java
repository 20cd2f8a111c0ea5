package org.gooseberryhook.coordination;

/**
 * Units charged for one admitted request.
 *
 * @param workspaceId the workspace
 * @param term fencing number of the grantor that granted the units
 * @param stamp position in the grantor's ledger that is not later than the admission
 * @param requestUnits request units charged
 * @param tokenUnits token units charged, as estimated
 * @param isLocal whether the units came directly from the grantor on this node
 * @since 0.1
 */
public record QuotaAdmission(
    String workspaceId,
    long term,
    long stamp,
    long requestUnits,
    long tokenUnits,
    boolean isLocal) {}
