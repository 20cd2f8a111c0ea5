package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.gooseberryhook.router.forward.DecisionLog;

/**
 * Follows a list of the platform: reads it once, then waits for changes; reads it anew when the
 * history is gone.
 *
 * @param <T> type of the entries
 */
final class FeedFollower<T> {

  /**
   * Time that the store waits for a change. With the margin for an answer it stays below the times
   * within which changes have to be in force, so that a silent connection is noticed before.
   */
  static final long LONG_POLL_MS = 1_200;

  /**
   * Time before the next call after changes, so that a series of changes takes few calls. Targets
   * change their entries with each heartbeat, so that each call has changes.
   */
  static final long MIN_INTERVAL_MS = 150;

  /**
   * Time before the next call at most; with the answer it stays well below the 2 s within which a
   * leaving target must get no more requests.
   */
  static final long MAX_INTERVAL_MS = 1_000;

  /** Calls of all nodes a second for one list; the store takes some thousands of any kind. */
  private static final long MAX_FLEET_CALLS_PER_SECOND = 60;

  private static final long MS_PER_SECOND = 1_000;

  /** Time before a failed call is repeated. */
  static final long RETRY_DELAY_MS = 300;

  private final String name;
  private final EventLoop loop;
  private final ChangeFeed<T> feed;
  private final Listener<T> listener;
  private final DecisionLog log;
  private final IntSupplier nodeCount;
  private ScheduledFuture<?> nextRead;
  private long lastSuccessMs;
  private long revision = -1;
  private boolean isFailing;
  private boolean isStopped;

  /** Receives what the list holds. */
  interface Listener<T> {
    /** All entries of the list. */
    void onAll(List<FeedResult.Change<T>> entries);

    /** Entries that changed, possibly none. */
    void onChanges(List<FeedResult.Change<T>> changes);

    /** The store does not answer. */
    void onStoreUnavailable();
  }

  FeedFollower(
      String name,
      EventLoop loop,
      ChangeFeed<T> feed,
      Listener<T> listener,
      IntSupplier nodeCount,
      DecisionLog log) {
    this.nodeCount = nodeCount;
    this.name = name;
    this.loop = loop;
    this.feed = feed;
    this.listener = listener;
    this.log = log;
  }

  void start() {
    scheduleRead(0);
  }

  void stop() {
    isStopped = true;
  }

  /** Reads at once, if the next call only waits for its turn: the list has proved to be old. */
  void expediteRead() {
    boolean isWaiting = nextRead != null && !isFailing;
    if (isWaiting && nextRead.cancel(false)) {
      long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - lastSuccessMs;
      scheduleRead(Math.max(0, MIN_INTERVAL_MS - sinceMs));
    }
  }

  /**
   * Returns the time before the next call after changes. It grows with the fleet, whose calls add
   * up at the store.
   *
   * @param nodeCount nodes that follow the list
   * @return milliseconds
   */
  static long intervalMs(int nodeCount) {
    long fleetMs = nodeCount * MS_PER_SECOND / MAX_FLEET_CALLS_PER_SECOND;
    return Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, fleetMs));
  }

  private void scheduleRead(long delayMs) {
    if (!isStopped) {
      nextRead = loop.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void read() {
    nextRead = null;
    if (isStopped) {
      return;
    }
    if (revision < 0) {
      feed.readAll(result -> onResult(result, true));
    } else {
      feed.readChanges(revision, LONG_POLL_MS, result -> onResult(result, false));
    }
  }

  private void onResult(FeedResult<T> result, boolean isFullRead) {
    if (isStopped) {
      return;
    }
    if (result instanceof FeedResult.Entries<T> entries) {
      onSuccess();
      revision = entries.revision();
      if (isFullRead) {
        listener.onAll(entries.changes());
      } else {
        listener.onChanges(entries.changes());
      }
      scheduleRead(entries.changes().isEmpty() ? 0 : intervalMs(nodeCount.getAsInt()));
    } else if (result instanceof FeedResult.HistoryGone<T>) {
      onSuccess();
      log.note("feed-history-gone", "", "list", name, "revision", revision);
      revision = -1;
      scheduleRead(0);
    } else if (result instanceof FeedResult.Failed<T> failed) {
      if (!isFailing) {
        log.note("feed-lost", "", "list", name, "reason", failed.reason());
      }
      isFailing = true;
      listener.onStoreUnavailable();
      scheduleRead(RETRY_DELAY_MS);
    }
  }

  private void onSuccess() {
    lastSuccessMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    if (isFailing) {
      isFailing = false;
      log.note("feed-regained", "", "list", name);
    }
  }
}
