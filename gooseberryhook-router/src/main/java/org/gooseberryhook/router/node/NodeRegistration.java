package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * Registers this node's report address in the store and reads the addresses of the other nodes. A
 * node writes its own before it reads, so of any two nodes at least one finds the other. Used on
 * the event loop only.
 */
final class NodeRegistration {

  private static final String PREFIX = "nodes/";

  /**
   * Shortest time between reads; a node that registers in between makes itself known by its
   * reports.
   */
  static final long READ_INTERVAL_MS = 10_000;

  /** Limit on the reads of all nodes together, per second. */
  private static final long MAX_FLEET_READS_PER_SECOND = 2;

  private static final long MS_PER_SECOND = 1_000;

  private static final long RETRY_DELAY_MS = 500;

  /**
   * Time without a report after which the registration of a node is removed. A killed node cannot
   * remove its own, and each registration takes a share of the retry budget. A node that was
   * disconnected for longer registers again.
   */
  static final long STALE_MS = 60_000;

  private static final int MAX_NODES = 500;

  private final TableService table;
  private final String node;
  private final String reportAddress;
  private final PeerTable peers;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final BooleanSupplier mayRemoveStale;
  private final Map<String, SilentRegistration> silentRegistrations = new HashMap<>();
  private long revision;
  private boolean isRegistered;
  private boolean isCallPending;
  private boolean isStopped;
  private long nextCallMs;

  /** A registration whose node does not report, and since when it has been seen unchanged. */
  private record SilentRegistration(long revision, long sinceMs) {}

  NodeRegistration(
      TableService table,
      String node,
      String reportAddress,
      PeerTable peers,
      MonotonicClock clock,
      BooleanSupplier mayRemoveStale,
      DecisionLog log) {
    this.mayRemoveStale = mayRemoveStale;
    this.table = table;
    this.node = node;
    this.reportAddress = reportAddress;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  /** Writes the registration or reads those of other nodes if due. Must be called often. */
  void tick() {
    if (!isStopped && !isCallPending && clock.nowMs() >= nextCallMs) {
      isCallPending = true;
      if (isRegistered) {
        read();
      } else {
        write();
      }
    }
  }

  /**
   * Returns the time between two reads of a node.
   *
   * @param nodeCount number of nodes that read
   * @return milliseconds
   */
  static long readIntervalMs(int nodeCount) {
    return Math.max(READ_INTERVAL_MS, nodeCount * MS_PER_SECOND / MAX_FLEET_READS_PER_SECOND);
  }

  private void write() {
    table
        .transact(List.of(TableOperation.ofPut(PREFIX + node, revision, reportAddress)))
        .thenAccept(
            result -> {
              isCallPending = false;
              nextCallMs = clock.nowMs();
              if (result instanceof TableResult.Committed committed) {
                revision = committed.versions().get(0);
                isRegistered = true;
              } else if (result instanceof TableResult.Conflict conflict) {
                onConflict(conflict.current());
              } else {
                nextCallMs += RETRY_DELAY_MS;
              }
            });
  }

  /** Handles a registration by an earlier process of this node, or by an earlier write. */
  private void onConflict(List<TableRecord> current) {
    if (current.isEmpty()) {
      revision = 0;
    } else {
      revision = current.get(0).version();
      isRegistered = reportAddress.equals(current.get(0).value());
    }
  }

  private void read() {
    table
        .scan(PREFIX, "", MAX_NODES)
        .thenAccept(
            result -> {
              isCallPending = false;
              if (result instanceof TableResult.Read read) {
                Map<String, String> registeredAddresses = new HashMap<>();
                for (TableRecord record : read.records()) {
                  registeredAddresses.put(record.key().substring(PREFIX.length()), record.value());
                }
                peers.setRegisteredAddresses(registeredAddresses);
                nextCallMs = clock.nowMs() + readIntervalMs(peers.knownNodeCount());
                if (!registeredAddresses.containsKey(node)) {
                  isRegistered = false;
                  revision = 0;
                }
                removeStale(read.records());
              } else {
                nextCallMs = clock.nowMs() + RETRY_DELAY_MS;
              }
            });
  }

  /** Removes registrations of nodes that stay silent, if this node is the one that may do so. */
  private void removeStale(List<TableRecord> records) {
    long nowMs = clock.nowMs();
    Map<String, SilentRegistration> known = new HashMap<>(silentRegistrations);
    silentRegistrations.clear();
    for (TableRecord record : records) {
      String other = record.key().substring(PREFIX.length());
      if (other.equals(node) || peers.isLive(other)) {
        continue;
      }
      SilentRegistration previous = known.get(other);
      boolean isSame = previous != null && previous.revision() == record.version();
      SilentRegistration current =
          new SilentRegistration(record.version(), isSame ? previous.sinceMs() : nowMs);
      silentRegistrations.put(other, current);
      if (nowMs - current.sinceMs() >= STALE_MS && mayRemoveStale.getAsBoolean()) {
        table
            .transact(List.of(TableOperation.ofDelete(record.key(), record.version())))
            .thenAccept(
                result ->
                    log.recordEvent(
                        "registration-removed",
                        "",
                        "peer",
                        other,
                        "result",
                        result.getClass().getSimpleName()));
      }
    }
  }

  /**
   * Writes the registration again after the store came back from a copy, which may lack it.
   *
   * @param delayMs delay of the write, by which the nodes spread their calls, in milliseconds
   */
  void onHistoryChanged(long delayMs) {
    isRegistered = false;
    revision = 0;
    nextCallMs = clock.nowMs() + delayMs;
  }

  /** Removes the registration, so that other nodes stop sending reports to this one. */
  void stop() {
    isStopped = true;
    if (isRegistered) {
      table
          .transact(List.of(TableOperation.ofDelete(PREFIX + node, revision)))
          .thenAccept(
              result ->
                  log.recordEvent("unregistered", "", "result", result.getClass().getSimpleName()));
    }
  }
}
