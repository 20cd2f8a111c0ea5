package org.gooseberryhook.transport;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.TargetMessage;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.Target;
import org.jboss.logging.Logger;

/**
 * Administration view that is backed by the services of a node.
 *
 * @since 0.1
 */
final class NodeAdminView implements AdminView {

  private static final Logger LOG = Logger.getLogger(NodeAdminView.class);
  private static final int MAX_LISTED = 1_000;

  private final ClusterService cluster;
  private final FleetService fleet;
  private final LeaseService leases;
  private final ModelCallService modelCalls;
  private final CrashMarkRegistry crashMarks;
  private final CapacityCheck capacity;
  private final BooleanSupplier isLeaving;

  NodeAdminView(
      ClusterService cluster,
      FleetService fleet,
      LeaseService leases,
      ModelCallService modelCalls,
      CrashMarkRegistry crashMarks,
      PipelineTable pipelines,
      PipelineHealth health,
      BooleanSupplier isLeaving) {
    this.cluster = cluster;
    this.fleet = fleet;
    this.leases = leases;
    this.modelCalls = modelCalls;
    this.crashMarks = crashMarks;
    this.isLeaving = isLeaving;
    this.capacity = new CapacityCheck(pipelines, health);
  }

  @Override
  public Map<String, Object> getStatus() {
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("node", cluster.getSelf().address());
    status.put("isReady", cluster.isReady());
    status.put("isLeaving", isLeaving.getAsBoolean());
    status.put("configurationVersion", cluster.getConfiguration().version());
    status.put("runningRequests", modelCalls.getRunningCount());
    status.put("members", cluster.getLiveMembers().stream().map(NodeAdminView::toMap).toList());
    status.put(
        "targets",
        fleet.getTargets().stream().limit(MAX_LISTED).map(Target::targetId).sorted().toList());
    status.put(
        "pipelines",
        fleet.getPipelines().stream().limit(MAX_LISTED).map(Pipeline::pipelineId).toList());
    Map<String, Long> fencingNumbers = new LinkedHashMap<>();
    leases
        .getHeldLeases("")
        .forEach((key, lease) -> fencingNumbers.put(key, lease.fencingNumber()));
    status.put("leases", fencingNumbers);
    return status;
  }

  @Override
  public List<Map<String, Object>> getPlannedChanges() {
    List<Map<String, Object>> changes = new ArrayList<>();
    cluster
        .getConfiguration()
        .leavingTargets()
        .forEach(
            (targetId, reason) -> {
              int running = modelCalls.countRunningOn(targetId);
              Map<String, Object> change = new LinkedHashMap<>();
              change.put("targetId", targetId);
              change.put("version", reason.version());
              change.put("reason", reason.value());
              change.put("runningHere", running);
              change.put("waitingFor", running == 0 ? "nothing at this node" : "running streams");
              changes.add(change);
            });
    return changes;
  }

  @Override
  public List<Map<String, Object>> getChanges(long afterVersion) {
    return cluster.getChanges(afterVersion).stream()
        .map(
            entry -> {
              Map<String, Object> change = new LinkedHashMap<>();
              change.put("version", entry.version());
              change.put("changeId", entry.changeId());
              change.put("author", entry.author());
              change.put("time", Instant.ofEpochMilli(entry.wallClockMs()).toString());
              change.put("record", entry.change().recordKey());
              change.put("kind", entry.change().getClass().getSimpleName());
              return change;
            })
        .toList();
  }

  @Override
  public List<Map<String, Object>> getCrashMarks() {
    return crashMarks.list(MAX_LISTED, System.nanoTime()).stream()
        .map(
            marked -> {
              Map<String, Object> entry = new LinkedHashMap<>();
              entry.put("fingerprint", Long.toHexString(marked.fingerprint()));
              entry.put("crashes", marked.eventIds());
              entry.put("rule", marked.rule().getClass().getSimpleName());
              entry.put("youngestAgeMs", marked.youngestAgeMs());
              return entry;
            })
        .toList();
  }

  @Override
  public void clearCrashMarks(long fingerprint) {
    cluster.broadcast(
        crashMarks.clear(fingerprint, UUID.randomUUID().toString(), System.nanoTime()));
  }

  @Override
  public List<String> getTargetIds(String kind, String id) {
    return fleet.getTargets().stream()
        .filter(target -> isAffected(target, kind, id))
        .map(Target::targetId)
        .toList();
  }

  @Override
  public Optional<Problem> checkCapacity(ConfigurationChange change) {
    return change instanceof ConfigurationChange.PutContract put
        ? capacity.check(put.contract(), cluster.getConfiguration())
        : Optional.empty();
  }

  @Override
  public Optional<Problem> declareNodeGone(String peerAddress, String reason) {
    Optional<Member> found = cluster.findMember(peerAddress);
    if (found.isEmpty()) {
      return Optional.of(
          Problem.of(ProblemKind.NOT_FOUND, "no node has the peer address " + peerAddress));
    }
    if (found.get().status() == MemberStatus.ALIVE) {
      return Optional.of(
          Problem.of(
              ProblemKind.CONFLICT,
              "node " + peerAddress + " still answers this node; stop its process first"));
    }
    LOG.warnf("an operator declares that node %s has ended: %s", peerAddress, reason);
    cluster.onRunEnded(found.get().id());
    cluster.broadcast(new TargetMessage.RunEnded(found.get().id(), reason));
    return Optional.empty();
  }

  @Override
  public void onChangeAccepted(ConfigurationChange change) {
    if (change instanceof ConfigurationChange.SetTargetLeaving leaving) {
      fleet.onTargetLeaving(leaving.targetId());
      cluster.broadcast(new TargetMessage.TargetLeaving(leaving.targetId(), leaving.reason()));
    }
  }

  @Override
  public Optional<String> getNotReadyReason() {
    if (isLeaving.getAsBoolean()) {
      return Optional.of("the node is leaving");
    }
    Configuration configuration = cluster.getConfiguration();
    return cluster.isReady()
        ? Optional.empty()
        : Optional.of(
            "no trusted configuration; version "
                + configuration.version()
                + " is not confirmed by a peer or the table service");
  }

  private static boolean isAffected(Target target, String kind, String id) {
    return switch (String.valueOf(kind)) {
      case "target" -> target.targetId().equals(id);
      case "vm" -> target.vmId().equals(id);
      case "place" -> target.place().equals(id);
      default -> false;
    };
  }

  private static Map<String, Object> toMap(Member member) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("peerAddress", member.address());
    entry.put("callerAddress", member.callerAddress());
    entry.put("place", member.place());
    entry.put("region", member.region());
    entry.put("status", member.status());
    return entry;
  }
}
