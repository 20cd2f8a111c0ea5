package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.router.cluster.PeerTable;
import org.junit.jupiter.api.Test;

/**
 * Tests the registration of a node and the removal of stale ones. Guards against registrations of
 * killed nodes that count as nodes forever.
 */
class NodeRegistrationTest {

  private static final long READ_INTERVAL_MS = 10_000;

  private final MemoryTable table = new MemoryTable();
  private final PeerTable peers = new PeerTable("self");
  private long nowMs;
  private boolean isLeaseHolder = true;

  private NodeRegistration newRegistration() {
    return new NodeRegistration(
        table, "self", "10.0.0.1:7340", peers, () -> nowMs, () -> isLeaseHolder, (k, r, f) -> {});
  }

  private void tickFor(NodeRegistration registration, long durationMs) {
    long endMs = nowMs + durationMs;
    for (; nowMs <= endMs; nowMs += 500) {
      registration.tick();
    }
  }

  @Test
  void theRegistrationOfANodeThatDoesNotReportIsRemoved() {
    table.put("nodes/dead", "10.0.0.9:7340");
    NodeRegistration registration = newRegistration();
    tickFor(registration, NodeRegistration.STALE_MS - READ_INTERVAL_MS);
    assertThat(table.rows).containsKeys("nodes/self", "nodes/dead");
    tickFor(registration, 3 * READ_INTERVAL_MS);
    assertThat(table.rows).containsOnlyKeys("nodes/self");
  }

  @Test
  void onlyTheLeaseHolderRemovesRegistrations() {
    isLeaseHolder = false;
    table.put("nodes/dead", "10.0.0.9:7340");
    tickFor(newRegistration(), 2 * NodeRegistration.STALE_MS);
    assertThat(table.rows).containsKey("nodes/dead");
  }

  @Test
  void aRegistrationThatIsWrittenAgainIsKept() {
    table.put("nodes/back", "10.0.0.9:7340");
    NodeRegistration registration = newRegistration();
    tickFor(registration, NodeRegistration.STALE_MS - READ_INTERVAL_MS);
    table.put("nodes/back", "10.0.0.9:7340");
    tickFor(registration, NodeRegistration.STALE_MS - READ_INTERVAL_MS);
    assertThat(table.rows).containsKey("nodes/back");
  }

  /** Guards against a node that stays unregistered after it was disconnected for a long time. */
  @Test
  void aNodeWhoseRegistrationWasRemovedRegistersAgain() {
    NodeRegistration registration = newRegistration();
    tickFor(registration, READ_INTERVAL_MS);
    table.rows.remove("nodes/self");
    tickFor(registration, 2 * READ_INTERVAL_MS);
    assertThat(table.rows).containsKey("nodes/self");
  }

  private static final class MemoryTable implements TableService {
    private final Map<String, TableRecord> rows = new TreeMap<>();
    private long version;

    void put(String key, String value) {
      rows.put(key, new TableRecord(key, ++version, value));
    }

    @Override
    public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
      List<Long> versions = new ArrayList<>();
      for (TableOperation operation : operations) {
        TableRecord now = rows.get(operation.key());
        if ((now == null ? 0 : now.version()) != operation.expectedVersion()) {
          return CompletableFuture.completedFuture(
              new TableResult.Conflict(now == null ? List.of() : List.of(now)));
        }
        if (operation.value() == null) {
          rows.remove(operation.key());
        } else {
          put(operation.key(), operation.value());
        }
        versions.add(version);
      }
      return CompletableFuture.completedFuture(new TableResult.Committed(versions));
    }

    @Override
    public CompletableFuture<TableResult> get(String key) {
      TableRecord row = rows.get(key);
      return CompletableFuture.completedFuture(
          new TableResult.Read(row == null ? List.of() : List.of(row)));
    }

    @Override
    public CompletableFuture<TableResult> scan(String prefix, String afterKey, int limit) {
      List<TableRecord> found =
          rows.values().stream().filter(row -> row.key().startsWith(prefix)).toList();
      return CompletableFuture.completedFuture(new TableResult.Read(found));
    }
  }
}
