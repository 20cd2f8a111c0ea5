package org.gooseberryhook.router.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.cluster.PlacementLease.LeaseRecord;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * Acquires, renews and releases the placement lease through its record in the store. Used on the
 * event loop only.
 */
final class LeaseKeeper {

  static final String KEY = "lease/placement";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final TableService table;
  private final PlacementLease lease;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final BooleanSupplier isHolderReporting;
  private final BooleanSupplier mayExtendWithoutStore;
  private final NodeLinks links;
  private long nextCallMs;
  private boolean isCallPending;
  private boolean isStopped;
  private boolean wasHeld;

  LeaseKeeper(
      TableService table,
      PlacementLease lease,
      MonotonicClock clock,
      BooleanSupplier isHolderReporting,
      BooleanSupplier mayExtendWithoutStore,
      NodeLinks links,
      DecisionLog log) {
    this.table = table;
    this.lease = lease;
    this.clock = clock;
    this.isHolderReporting = isHolderReporting;
    this.mayExtendWithoutStore = mayExtendWithoutStore;
    this.links = links;
    this.log = log;
  }

  /**
   * Reads or writes the record if that is due. Makes no calls while another node that holds the
   * lease reports, nor while the links of this node are lost, when it hands the lease over. Without
   * the store no other node could take it, so it is kept then. Must be called often.
   */
  void tick() {
    long nowMs = clock.nowMs();
    boolean isKeptWithoutStore = mayExtendWithoutStore.getAsBoolean();
    if (!isStopped && isKeptWithoutStore) {
      lease.extendWithoutStore(nowMs);
    }
    boolean isHeld = lease.isHeld(nowMs);
    if (isHeld != wasHeld) {
      wasHeld = isHeld;
      log.recordEvent(
          isHeld ? "lease-gained" : "lease-lost",
          "",
          "fencing",
          lease.lastWritten().fencingNumber());
    }
    if (isStopped || isCallPending) {
      return;
    }
    if (!links.areUp()) {
      if (isHeld && !isKeptWithoutStore) {
        handOver();
      }
      return;
    }
    if (nowMs < nextCallMs) {
      return;
    }
    if (!isHeld && isHolderReporting.getAsBoolean()) {
      return;
    }
    if (lease.isWriteDue(nowMs)) {
      write();
    } else {
      read();
    }
  }

  private void read() {
    isCallPending = true;
    table
        .get(KEY)
        .thenAccept(
            result -> {
              isCallPending = false;
              long nowMs = clock.nowMs();
              if (result instanceof TableResult.Read read) {
                lease.onRead(decode(read.records()), nowMs);
                nextCallMs = lease.isWriteDue(nowMs) ? nowMs : nextReadMs(nowMs);
              } else {
                nextCallMs = nowMs + PlacementLease.RENEWAL_INTERVAL_MS / 2;
              }
            });
  }

  private long nextReadMs(long nowMs) {
    long latestMs = nowMs + PlacementLease.RENEWAL_INTERVAL_MS;
    return Math.max(nowMs, Math.min(latestMs, lease.earliestTakeoverMs()));
  }

  private void write() {
    isCallPending = true;
    LeaseRecord next = lease.nextRecord();
    long sentMs = clock.nowMs();
    table
        .transact(List.of(TableOperation.ofPut(KEY, next.revision(), encode(next))))
        .thenAccept(
            result -> {
              isCallPending = false;
              long nowMs = clock.nowMs();
              nextCallMs = nowMs + PlacementLease.RENEWAL_INTERVAL_MS;
              if (result instanceof TableResult.Committed committed) {
                long revision = committed.versions().get(0);
                lease.onWritten(
                    new LeaseRecord(
                        next.holder(), next.incarnation(), next.fencingNumber(), revision),
                    sentMs);
              } else if (result instanceof TableResult.Conflict conflict) {
                lease.onRead(decode(conflict.current()), nowMs);
                nextCallMs = lease.isWriteDue(nowMs) ? nowMs : nextCallMs;
              } else {
                // The write may have taken effect; the record must be read to find out.
                lease.onWriteUnknown();
                nextCallMs = nowMs + PlacementLease.RENEWAL_INTERVAL_MS / 4;
              }
            });
  }

  /** Releases the lease, so that another node need not wait until it expires. */
  void stop() {
    boolean isHolder = lease.isHeld(clock.nowMs());
    isStopped = true;
    lease.relinquish();
    if (isHolder) {
      release(lease.lastWritten())
          .thenAccept(
              result ->
                  log.recordEvent(
                      "lease-released", "", "result", result.getClass().getSimpleName()));
    }
  }

  /** Releases the lease, so that a node with links plans; this one may take it again later. */
  private void handOver() {
    isCallPending = true;
    lease.relinquish();
    release(lease.lastWritten())
        .thenAccept(
            result -> {
              isCallPending = false;
              // Another node has probably taken the lease by the time the links are back.
              lease.onWriteUnknown();
              log.recordEvent(
                  "lease-handed-over",
                  "",
                  "fencing",
                  lease.lastWritten().fencingNumber(),
                  "counts",
                  links.figures(),
                  "result",
                  result.getClass().getSimpleName());
            });
  }

  /**
   * Writes a free record, again if the record is a later one of this process: a renewal may have
   * taken effect without a response.
   */
  private CompletionStage<TableResult> release(LeaseRecord held) {
    LeaseRecord free = new LeaseRecord("", 0, held.fencingNumber(), held.revision());
    return table
        .transact(List.of(TableOperation.ofPut(KEY, held.revision(), encode(free))))
        .thenCompose(
            result -> {
              if (result instanceof TableResult.Conflict conflict) {
                LeaseRecord current = decode(conflict.current());
                boolean isOwnRenewal =
                    current.holder().equals(held.holder())
                        && current.incarnation() == held.incarnation()
                        && current.revision() > held.revision();
                if (isOwnRenewal) {
                  return release(current);
                }
              }
              return CompletableFuture.completedFuture(result);
            });
  }

  private static String encode(LeaseRecord record) {
    return JSON.createObjectNode()
        .put("holder", record.holder())
        .put("incarnation", record.incarnation())
        .put("fencing", record.fencingNumber())
        .toString();
  }

  private LeaseRecord decode(List<TableRecord> records) {
    if (records.isEmpty()) {
      return LeaseRecord.NONE;
    }
    TableRecord record = records.get(0);
    try {
      JsonNode node = JSON.readTree(record.value());
      return new LeaseRecord(
          node.path("holder").asText(),
          node.path("incarnation").asLong(),
          node.path("fencing").asLong(),
          record.version());
    } catch (JsonProcessingException e) {
      log.recordEvent("lease-record-invalid", "", "error", e.getOriginalMessage());
      return new LeaseRecord("", 0, 0, record.version());
    }
  }
}
