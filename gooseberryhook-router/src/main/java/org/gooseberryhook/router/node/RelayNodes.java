package org.gooseberryhook.router.node;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.cluster.LinkState;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.ReachHistory;
import org.gooseberryhook.router.cluster.RelayChoice;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.RelayView;

/** Chooses the nodes that requests are relayed to, by the reports of the other nodes. */
final class RelayNodes implements RelayView {

  private final FleetState fleet;
  private final PeerTable peers;
  private final String dataCentre;
  private final LongSupplier configurationVersion;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final ReachHistory history = new ReachHistory();

  RelayNodes(
      FleetState fleet,
      PeerTable peers,
      String dataCentre,
      LongSupplier configurationVersion,
      MonotonicClock clock,
      RandomGenerator random) {
    this.fleet = fleet;
    this.peers = peers;
    this.dataCentre = dataCentre;
    this.configurationVersion = configurationVersion;
    this.clock = clock;
    this.random = random;
  }

  @Override
  public boolean isCutOff(String service) {
    history.update(fleet.reachableTargets(), clock.nowMs());
    return fleet.isCutOff(service);
  }

  @Override
  public Optional<RelayNode> choose(
      String service, Set<String> excludedNodes, ToIntFunction<String> relayedTo) {
    history.update(fleet.reachableTargets(), clock.nowMs());
    Set<String> excluded = new HashSet<>(excludedNodes);
    for (LinkState.PeerView peer : peers.linkViews()) {
      if (!history.isSettled(service, peer.receivedMs())) {
        excluded.add(peer.node());
      }
    }
    RelayChoice.Criteria criteria =
        new RelayChoice.Criteria(
            service,
            fleet.listedEngines().containsKey(service),
            fleet.reachableTargets().getOrDefault(service, 0),
            configurationVersion.getAsLong(),
            dataCentre,
            excluded);
    return RelayChoice.choose(criteria, peers.liveReports(), relayedTo, random)
        .map(report -> new RelayNode(report.node(), report.callerAddress()));
  }
}
