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
 * Deletes expired once-only records, as the holder of {@code duty/once-sweep}. A page of records is
 * read each second and at most one transaction is written for it.
 *
 * @since 0.1
 */
public final class OnceSweepService {

  private static final Logger LOG = Logger.getLogger(OnceSweepService.class);
  private static final String LEASE_KEY = "duty/once-sweep";
  private static final String PREFIX = "once/";

  /** As many as a transaction can delete. */
  private static final int PAGE_RECORDS = 100;

  private static final long TICK_MS = 1_000;

  private final LeaseService leases;
  private final TableService table;
  private final ScheduledExecutorService timer;
  private final AtomicBoolean isBusy = new AtomicBoolean();
  private volatile Term term = new Term(0, new OnceSweep());
  private volatile String afterKey = "";
  private ScheduledFuture<?> task;

  /**
   * Creates a service.
   *
   * @param leases holds the lease
   * @param table the table service
   * @param timer runs the ticks; must not block
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

  /** What was noted under one term of the lease. */
  private record Term(long fencingNumber, OnceSweep sweep) {}

  /** Starts the ticks. */
  public void start() {
    task = timer.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops the ticks. */
  public void stop() {
    if (task != null) {
      task.cancel(false);
    }
  }

  private void tick() {
    HeldLease lease = leases.getHeldLeases(LEASE_KEY).get(LEASE_KEY);
    if (lease == null || !isBusy.compareAndSet(false, true)) {
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
                isBusy.set(false);
                if (failure != null) {
                  LOG.warn("once-only records could not be swept; it is tried again", failure);
                }
              });
    } catch (RuntimeException e) {
      isBusy.set(false);
      LOG.error("the sweep of once-only records failed; it runs again", e);
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
    // A conflict or a lost answer needs no care: the next pass sees what is left.
    return table.transact(deletions);
  }
}
