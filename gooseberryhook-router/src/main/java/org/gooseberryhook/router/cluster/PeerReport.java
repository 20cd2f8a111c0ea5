package org.gooseberryhook.router.cluster;

import java.util.List;
import java.util.Map;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.admission.LimitReport;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.LayerReport;

/**
 * The state of a node as it reports it to the other nodes. Each report is complete and replaces the
 * earlier ones of its sender, so a lost datagram does no harm.
 *
 * @param node name of the sender
 * @param incarnation start time of the sender's process; a higher one replaces a lower one
 * @param sequence number of the report within the incarnation
 * @param callerAddress address at which the sender accepts callers
 * @param reportAddress address at which the sender receives reports
 * @param isReady whether the sender accepts new callers
 * @param leaseRevision revision of the lease record while the sender holds the placement lease,
 *     else 0
 * @param isStopping whether this is the sender's last report
 * @param loads the sender's requests in flight by target id
 * @param isStoreUnavailable whether the sender gets no responses from the store
 * @param suspects addresses of targets at which requests of the sender failed recently
 * @param answeringSuspects time since the last answer to the sender, in milliseconds, of targets
 *     that other nodes reported as suspects or that are slow, by address
 * @param crashFindings what the sender knows of requests that crash targets
 * @param intervalMs longest time until the next report
 * @param layerReports layers that targets reported while the store is unavailable and that its last
 *     list does not show, by target id
 * @param dataCentre data centre of the sender
 * @param canRelay whether the sender has recent lists of the platform, which others may follow
 * @param configurationVersion version of the configuration that the sender applies; 0 if it has
 *     none
 * @param reachableTargets number of targets that the sender can use now, by name of the service: it
 *     lists them, they are not leaving, and the sender does not suspect them; 0 for a service of
 *     whose targets it reaches none; empty if the sender's version does not report it
 * @param limits what the sender knows of the limits that targets named, by target id
 * @param announcedLeaving start, in Unix milliseconds, of the targets that said in an answer to the
 *     sender or another node that they are about to leave, by target id
 * @param sums the sender's amounts; empty in a large fleet, where they are relayed with the loads
 * @param capacity what the sender's VM can carry
 */
public record PeerReport(
    String node,
    long incarnation,
    long sequence,
    String callerAddress,
    String reportAddress,
    boolean isReady,
    long leaseRevision,
    boolean isStopping,
    Map<String, InFlightLoad> loads,
    boolean isStoreUnavailable,
    List<String> suspects,
    Map<String, Long> answeringSuspects,
    CrashFindings crashFindings,
    long intervalMs,
    Map<String, LayerReport> layerReports,
    String dataCentre,
    boolean canRelay,
    long configurationVersion,
    Map<String, Integer> reachableTargets,
    Map<String, LimitReport> limits,
    Map<String, Long> announcedLeaving,
    FleetSums sums,
    NodeCapacity capacity) {

  /** Creates a report without amounts and capacity; its components are those of the record. */
  public PeerReport(
      String node,
      long incarnation,
      long sequence,
      String callerAddress,
      String reportAddress,
      boolean isReady,
      long leaseRevision,
      boolean isStopping,
      Map<String, InFlightLoad> loads,
      boolean isStoreUnavailable,
      List<String> suspects,
      Map<String, Long> answeringSuspects,
      CrashFindings crashFindings,
      long intervalMs,
      Map<String, LayerReport> layerReports,
      String dataCentre,
      boolean canRelay,
      long configurationVersion,
      Map<String, Integer> reachableTargets,
      Map<String, LimitReport> limits,
      Map<String, Long> announcedLeaving) {
    this(
        node,
        incarnation,
        sequence,
        callerAddress,
        reportAddress,
        isReady,
        leaseRevision,
        isStopping,
        loads,
        isStoreUnavailable,
        suspects,
        answeringSuspects,
        crashFindings,
        intervalMs,
        layerReports,
        dataCentre,
        canRelay,
        configurationVersion,
        reachableTargets,
        limits,
        announcedLeaving,
        FleetSums.NONE,
        NodeCapacity.UNKNOWN);
  }

  /**
   * Returns whether the sender holds the placement lease and thus plans the placement.
   *
   * @return true if the report states a revision of the lease record
   */
  public boolean isLeaseHolder() {
    return leaseRevision != 0;
  }

  /**
   * Returns this report with other crash findings.
   *
   * @param findings the findings
   * @return a new report
   */
  PeerReport withCrashFindings(CrashFindings findings) {
    return new PeerReport(
        node,
        incarnation,
        sequence,
        callerAddress,
        reportAddress,
        isReady,
        leaseRevision,
        isStopping,
        loads,
        isStoreUnavailable,
        suspects,
        answeringSuspects,
        findings,
        intervalMs,
        layerReports,
        dataCentre,
        canRelay,
        configurationVersion,
        reachableTargets,
        limits,
        announcedLeaving,
        sums,
        capacity);
  }

  /**
   * Returns this report with the amounts and the capacity of its sender.
   *
   * @param newSums the amounts
   * @param newCapacity the capacity
   * @return a new report
   */
  public PeerReport withSums(FleetSums newSums, NodeCapacity newCapacity) {
    return new PeerReport(
        node,
        incarnation,
        sequence,
        callerAddress,
        reportAddress,
        isReady,
        leaseRevision,
        isStopping,
        loads,
        isStoreUnavailable,
        suspects,
        answeringSuspects,
        crashFindings,
        intervalMs,
        layerReports,
        dataCentre,
        canRelay,
        configurationVersion,
        reachableTargets,
        limits,
        announcedLeaving,
        newSums,
        newCapacity);
  }

  /**
   * Returns whether the sender reaches targets.
   *
   * @return true if it reports at least one target of any service, or has a configuration and does
   *     not report what it reaches
   */
  public boolean reachesTargets() {
    if (reachableTargets.isEmpty()) {
      return configurationVersion != 0;
    }
    return reachableTargets.values().stream().anyMatch(count -> count > 0);
  }
}
