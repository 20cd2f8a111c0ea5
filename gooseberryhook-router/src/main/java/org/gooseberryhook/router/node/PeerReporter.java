package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.cluster.NodeCapacity;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.WorkMeter;

/**
 * Sends reports about this node to the other nodes and applies the reports of the others. Used on
 * the event loop only.
 */
final class PeerReporter {

  private final String node;
  private final long incarnation;
  private final NodeAddresses addresses;
  private final String dataCentre;
  private final NodeCapacity capacity;
  private final SharedState state;
  private final MonotonicClock clock;
  private final BooleanSupplier isReady;
  private final Runnable onLoadsChanged;
  private final DecisionLog log;
  private final WorkMeter meter;
  private final PeerReportSocket socket;
  private final ReportSchedule schedule = new ReportSchedule();
  private long sequence;

  /** State from which reports are built and which the reports of other nodes update. */
  record SharedState(
      PeerTable peers,
      LoadTracker loads,
      CrashCauses crashCauses,
      TargetRegistry registry,
      FleetState fleet,
      PlacementLease lease,
      BooleanSupplier canRelay,
      LongSupplier configurationVersion,
      LimitKeeper limits,
      FleetSumsTracker sums) {}

  PeerReporter(
      RouterSettings settings,
      long incarnation,
      SharedState state,
      EventLoop loop,
      MonotonicClock clock,
      BooleanSupplier isReady,
      Runnable onLoadsChanged,
      WorkMeter meter,
      DecisionLog log) {
    this.node = settings.name();
    this.addresses = settings.addresses();
    this.dataCentre = settings.zone();
    this.capacity = settings.capacity();
    this.incarnation = incarnation;
    this.state = state;
    this.clock = clock;
    this.isReady = isReady;
    this.onLoadsChanged = onLoadsChanged;
    this.log = log;
    this.meter = meter;
    this.socket = new PeerReportSocket(loop, addresses.reports(), this::onReport, meter, log);
  }

  void start() throws InterruptedException {
    socket.start();
  }

  void stop() {
    socket.stop();
  }

  /** Removes silent nodes and sends a report if one is due. Must be called often. */
  void tick() {
    long nowMs = clock.nowMs();
    for (String expired : state.peers().expire(nowMs)) {
      log.recordEvent("node-gone", "", "peer", expired);
      state.loads().replacePeerLoads(expired, Map.of());
      state.sums().replacePeer(expired, FleetSums.NONE);
      state.fleet().onPeerGone(expired);
      state.limits().limits().onNodeGone(expired);
    }
    if (schedule.isDue(receiverCount(), urgentState(), nowMs)) {
      sendReport(false);
    }
  }

  private int receiverCount() {
    return state.peers().liveReports().size();
  }

  /** Returns the state whose changes are reported at once; loads can wait for the next report. */
  private List<Object> urgentState() {
    return List.of(
        isReady.getAsBoolean(),
        leaseRevision(),
        state.registry().isStoreUnavailable(),
        state.canRelay().getAsBoolean(),
        state.fleet().unreportedSuspects(),
        state.fleet().testimony().urgentAnswers(),
        state.crashCauses().ownRevision(),
        state.registry().layerReports(),
        state.fleet().reachedServices(),
        state.limits().limits().revision(),
        state.fleet().announcements().heardLeavingCount());
  }

  /**
   * Returns the time until the next report. The lease holder reports with each renewal, so that its
   * loss is noticed early.
   */
  private long intervalMs() {
    long usualMs = ReportSchedule.intervalMs(receiverCount());
    return leaseRevision() == 0 ? usualMs : Math.min(usualMs, PlacementLease.RENEWAL_INTERVAL_MS);
  }

  private long leaseRevision() {
    PlacementLease lease = state.lease();
    return lease.isHeld(clock.nowMs()) ? lease.lastWritten().revision() : 0;
  }

  /**
   * Sends a report to all known nodes.
   *
   * @param isLast whether this is the last report of this process
   */
  void sendReport(boolean isLast) {
    long nowMs = clock.nowMs();
    boolean areRelayed = ReportSchedule.areLoadsRelayed(receiverCount());
    schedule.onSent(urgentState(), nowMs);
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
            areRelayed ? Map.of() : state.loads().ownLoads(),
            state.registry().isStoreUnavailable(),
            state.fleet().suspectAndSlowAddresses(),
            state.fleet().testimony().answerAgesMs(),
            state.crashCauses().findings(nowMs, intervalMs()),
            intervalMs(),
            state.registry().layerReports(),
            dataCentre,
            !isLast && state.canRelay().getAsBoolean(),
            state.configurationVersion().getAsLong(),
            state.fleet().reachableTargets(),
            state.limits().limits().reports(nowMs),
            state.registry().announcedLeaving(),
            areRelayed ? FleetSums.NONE : state.sums().own(),
            capacity);
    meter.run("reports-sent", () -> socket.send(report, state.peers().reportAddresses()));
    meter.add("datagrams-sent", state.peers().reportAddresses().size(), 0);
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
    state.sums().replacePeer(report.node(), report.isStopping() ? FleetSums.NONE : report.sums());
    if (report.isLeaseHolder()) {
      state.lease().onHolderReport(report.leaseRevision(), nowMs);
    }
    state.crashCauses().merge(report.crashFindings(), nowMs);
    state.fleet().onPeerSuspects(report.node(), report.suspects(), report.answeringSuspects());
    state.limits().onReport(report);
    state.fleet().announcements().onLeavingReported(report.node(), report.announcedLeaving());
    state.fleet().onPeerLayerReports(report.node(), report.layerReports());
    onLoadsChanged.run();
  }
}
