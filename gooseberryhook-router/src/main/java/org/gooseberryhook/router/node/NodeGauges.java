package org.gooseberryhook.router.node;

import java.util.List;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.Forwarder;

/**
 * Sets the gauges of a node from its state. Used on the event loop only.
 *
 * @param forwarder requests in progress and what decides them
 * @param limits limits that targets named
 * @param peers the other nodes
 * @param registry the listed targets
 * @param fleet the targets in use
 * @param distribution where the lists come from
 */
record NodeGauges(
    Forwarder forwarder,
    LimitKeeper limits,
    PeerTable peers,
    TargetRegistry registry,
    FleetState fleet,
    ListDistribution distribution) {

  /** Sets the gauges, among them those of the platform's lists. */
  void update(RouterMetrics metrics, List<FeedFollower<?>> lists) {
    metrics.setGauge("requests_in_flight", forwarder.requestCount());
    metrics.setGauge("streams_waiting", forwarder.waitingCount());
    metrics.setGauge("requests_relayed", forwarder.relayedCount());
    metrics.setGauge("target_limits", limits.limits().inForceCount());
    metrics.setGauge("target_limit_refusals", limits.limits().refusalCount());
    metrics.setAdmission(forwarder.admittedFractions(), forwarder.heldBackWorkspaces());
    forwarder.costGauges().forEach(metrics::setGauge);
    metrics.setGauge("caller_connections", forwarder.connectionCount());
    metrics.setGauge("live_peers", peers.liveReports().size());
    metrics.setGauge("targets", registry.entries().size());
    metrics.setGauge("suspected_targets", fleet.suspectTracker().suspectAddresses().size());
    metrics.setGauge("adopted_targets", fleet.suspectTracker().adoptedAddresses().size());
    metrics.setGauge("list_source_is_store", distribution.source().isPresent() ? 0 : 1);
    metrics.setGauge("list_followers", distribution.followerCount());
    for (FeedFollower<?> list : lists) {
      metrics.setGauge(list.name() + "_feed_responses", list.responseCount());
      metrics.setGauge(list.name() + "_feed_changes", list.changeCount());
      metrics.setGauge(list.name() + "_entries_left_out", list.leftOutCount());
      metrics.setGauge(list.name() + "_feed_revision", list.history().position().revision());
    }
  }
}
