package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
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
  static final long WAIT_MS = 1_200;

  /** Time before the next call after changes, so that a series of changes takes few calls. */
  static final long PACE_MS = 150;

  /** Time before a failed call is repeated. */
  static final long RETRY_MS = 300;

  private final String name;
  private final EventLoop loop;
  private final ChangeFeed<T> feed;
  private final Listener<T> listener;
  private final DecisionLog log;
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
    void onAway();
  }

  FeedFollower(
      String name, EventLoop loop, ChangeFeed<T> feed, Listener<T> listener, DecisionLog log) {
    this.name = name;
    this.loop = loop;
    this.feed = feed;
    this.listener = listener;
    this.log = log;
  }

  void start() {
    next(0);
  }

  void stop() {
    isStopped = true;
  }

  private void next(long delayMs) {
    if (!isStopped) {
      loop.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void read() {
    if (isStopped) {
      return;
    }
    if (revision < 0) {
      feed.readAll(result -> onResult(result, true));
    } else {
      feed.readChanges(revision, WAIT_MS, result -> onResult(result, false));
    }
  }

  private void onResult(FeedResult<T> result, boolean isFull) {
    if (isStopped) {
      return;
    }
    if (result instanceof FeedResult.Entries<T> entries) {
      noteAnswered();
      revision = entries.revision();
      if (isFull) {
        listener.onAll(entries.changes());
      } else {
        listener.onChanges(entries.changes());
      }
      next(entries.changes().isEmpty() ? 0 : PACE_MS);
    } else if (result instanceof FeedResult.HistoryGone<T>) {
      noteAnswered();
      log.note("feed-history-gone", "", "list", name, "revision", revision);
      revision = -1;
      next(0);
    } else if (result instanceof FeedResult.Failed<T> failed) {
      if (!isFailing) {
        log.note("feed-lost", "", "list", name, "reason", failed.reason());
      }
      isFailing = true;
      listener.onAway();
      next(RETRY_MS);
    }
  }

  private void noteAnswered() {
    if (isFailing) {
      isFailing = false;
      log.note("feed-regained", "", "list", name);
    }
  }
}
