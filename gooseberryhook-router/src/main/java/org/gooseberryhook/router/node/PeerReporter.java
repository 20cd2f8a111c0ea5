package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.fleet.CrashMarks;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/** Tells the other nodes of this one and takes in what they tell. Used on the event loop only. */
final class PeerReporter {

  private final String node;
  private final long incarnation;
  private final NodeAddresses addresses;
  private final KnownState state;
  private final MonotonicClock clock;
  private final BooleanSupplier isReady;
  private final Runnable onLoadsChanged;
  private final DecisionLog log;
  private final PeerLinks links;
  private final ReportSchedule pace = new ReportSchedule();
  private long sequence;

  /** What reports are made of, and what the reports of others change. */
  record KnownState(
      PeerTable peers,
      LoadTracker loads,
      CrashMarks crashMarks,
      TargetRegistry registry,
      FleetState fleet,
      PlacementLease lease) {}

  PeerReporter(
      RouterSettings settings,
      long incarnation,
      KnownState state,
      EventLoop loop,
      MonotonicClock clock,
      BooleanSupplier isReady,
      Runnable onLoadsChanged,
      DecisionLog log) {
    this.node = settings.name();
    this.addresses = settings.addresses();
    this.incarnation = incarnation;
    this.state = state;
    this.clock = clock;
    this.isReady = isReady;
    this.onLoadsChanged = onLoadsChanged;
    this.log = log;
    this.links = new PeerLinks(loop, addresses.reports(), this::onReport, log);
  }

  void start() throws InterruptedException {
    links.start();
  }

  void stop() {
    links.stop();
  }

  /** Forgets silent nodes and reports if that is due; to be called often. */
  void tick() {
    long nowMs = clock.nowMs();
    for (String gone : state.peers().expire(nowMs)) {
      log.recordEvent("node-gone", "", "peer", gone);
      state.loads().replacePeerLoads(gone, Map.of());
    }
    if (pace.isDue(receivers(), news(), nowMs)) {
      report(false);
    }
  }

  private int receivers() {
    return state.peers().liveReports().size();
  }

  /** What other nodes must hear of at once; loads are as good a little later. */
  private List<Object> news() {
    return List.of(
        isReady.getAsBoolean(),
        leaseRevision(),
        state.registry().isStoreUnavailable(),
        state.fleet().newsOfTargets(),
        state.registry().layerReports());
  }

  /** The holder of the lease is heard with each renewal, so that its loss shows soon. */
  private long intervalMs() {
    long usualMs = ReportSchedule.intervalMs(receivers());
    return leaseRevision() == 0 ? usualMs : Math.min(usualMs, PlacementLease.RENEWAL_INTERVAL_MS);
  }

  private long leaseRevision() {
    PlacementLease lease = state.lease();
    return lease.isHeld(clock.nowMs()) ? lease.lastWritten().revision() : 0;
  }

  /**
   * Reports now.
   *
   * @param isLast whether this is the last report of this process
   */
  void report(boolean isLast) {
    long nowMs = clock.nowMs();
    pace.onSent(news(), nowMs);
    PeerReport report =
        new PeerReport(
            node,
            incarnation,
            ++sequence,
            addresses.callers(),
            addresses.reports(),
            isReady.getAsBoolean(),
            leaseRevision(),
            isLast,
            state.loads().ownLoads(),
            state.registry().isStoreUnavailable(),
            state.fleet().conspicuous(),
            state.crashMarks().ownMarks(nowMs),
            intervalMs(),
            state.registry().layerReports());
    links.send(report, state.peers().reportAddresses());
  }

  private void onReport(PeerReport report) {
    long nowMs = clock.nowMs();
    boolean isNew = !state.peers().isLive(report.node());
    if (!state.peers().accept(report, nowMs)) {
      return;
    }
    if (isNew && !report.isStopping()) {
      log.recordEvent("node-seen", "", "peer", report.node(), "incarnation", report.incarnation());
    }
    state.loads().replacePeerLoads(report.node(), report.isStopping() ? Map.of() : report.loads());
    if (report.isPlanner()) {
      state.lease().onHolderReport(report.leaseRevision(), nowMs);
    }
    state.crashMarks().mergePeerMarks(report.node(), report.crashMarks(), nowMs);
    state.fleet().onPeerSuspects(report.suspects());
    state.fleet().onSightings(report.node(), report.sightings());
    onLoadsChanged.run();
  }
}
