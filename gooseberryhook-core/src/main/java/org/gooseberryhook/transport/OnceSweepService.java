package org.gooseberryhook.transport;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gooseberryhook.coordination.HeldLease;
import org.gooseberryhook.coordination.OnceSweep;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.jboss.logging.Logger;

/**
 * Deletes expired once-only records while this node holds the lease {@code duty/once-sweep}. Each
 * second it reads a page of records and writes at most one transaction, which deletes those that
 * expired.
 *
 * @since 0.1
 */
public final class OnceSweepService {

  private static final Logger LOG = Logger.getLogger(OnceSweepService.class);
  private static final String LEASE_KEY = "duty/once-sweep";
  private static final String PREFIX = "once/";

  /** Records of a page; a transaction can delete no more. */
  private static final int PAGE_RECORDS = 100;

  private static final long TICK_MS = 1_000;

  private final LeaseService leases;
  private final TableService table;
  private final ScheduledExecutorService timer;
  private final AtomicBoolean isPassRunning = new AtomicBoolean();
  private volatile Term term = new Term(0, new OnceSweep());
  private volatile String afterKey = "";
  private ScheduledFuture<?> ticks;

  /**
   * Creates a service.
   *
   * @param leases acquires the lease and reports whether this node holds it
   * @param table stores the once-only records
   * @param timer runs the periodic sweep; its tasks must not block
   */
  public OnceSweepService(LeaseService leases, TableService table, ScheduledExecutorService timer) {
    this.leases = leases;
    this.table = table;
    this.timer = timer;
    leases.addDuties(
        nodes ->
            nodes
                .getDeputies(LEASE_KEY)
                .map(deputies -> Map.of(LEASE_KEY, deputies))
                .orElse(Map.of()));
  }

  /** Progress of the sweep under one term of the lease; a new term starts afresh. */
  private record Term(long fencingNumber, OnceSweep sweep) {}

  /** Starts the periodic sweep. */
  public void start() {
    ticks = timer.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops the periodic sweep; a page in progress is finished. */
  public void stop() {
    if (ticks != null) {
      ticks.cancel(false);
    }
  }

  private void tick() {
    HeldLease lease = leases.getHeldLeases(LEASE_KEY).get(LEASE_KEY);
    if (lease == null || !isPassRunning.compareAndSet(false, true)) {
      return;
    }
    if (term.fencingNumber() != lease.fencingNumber()) {
      term = new Term(lease.fencingNumber(), new OnceSweep());
      afterKey = "";
    }
    try {
      table
          .scan(PREFIX, afterKey, PAGE_RECORDS)
          .thenCompose(this::onPage)
          .whenComplete(
              (ignored, failure) -> {
                isPassRunning.set(false);
                if (failure != null) {
                  LOG.warn(
                      "once-only records could not be swept; the sweep continues at the next tick",
                      failure);
                }
              });
    } catch (RuntimeException e) {
      isPassRunning.set(false);
      LOG.error("the sweep of once-only records failed; it is repeated at the next tick", e);
    }
  }

  private CompletableFuture<TableResult> onPage(TableResult result) {
    if (!(result instanceof TableResult.Read read)) {
      return CompletableFuture.completedFuture(result);
    }
    List<TableRecord> page = read.records();
    boolean isLast = page.size() < PAGE_RECORDS;
    List<TableOperation> deletions =
        term.sweep().onPage(page, isLast, System.currentTimeMillis(), System.nanoTime());
    afterKey = isLast ? "" : page.get(page.size() - 1).key();
    if (deletions.isEmpty() || !leases.isHolder(LEASE_KEY)) {
      return CompletableFuture.completedFuture(result);
    }
    // A conflict or a lost result needs no handling: the next pass finds the records that are left.
    return table.transact(deletions);
  }
}
