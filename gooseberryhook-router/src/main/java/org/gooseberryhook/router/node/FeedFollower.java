package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.relay.ListHistory;
import org.gooseberryhook.router.relay.ListPosition;
import org.gooseberryhook.router.relay.ListUpdate;

/**
 * Follows a list of the platform: reads all of it once, then either polls the store for changes or
 * applies those that another node relays. Reads all of it again when neither has the changes since
 * the last read.
 *
 * @param <T> type of the entries
 */
final class FeedFollower<T> {

  /**
   * How long the store may wait for a change before it responds. It bounds the age of the list,
   * here and at the nodes that follow this one, while nothing changes; a node cannot know at the
   * start of a call whether others will follow it before the call ends.
   */
  static final long LONG_POLL_MS = 400;

  /**
   * Shortest delay after a call that returned changes. It batches changes into few calls; without
   * it each call would return at once, because every heartbeat of a target changes its entry.
   */
  static final long MIN_DELAY_MS = 150;

  /**
   * Longest delay after a call that returned changes. A leaving target must receive no more
   * requests after 2 s; this delay and the call together are well below that.
   */
  static final long MAX_DELAY_MS = 1_000;

  /**
   * Limit on the calls of all nodes together for one list; the store handles a few thousand calls
   * of all kinds a second.
   */
  private static final long MAX_FLEET_CALLS_PER_SECOND = 60;

  private static final long MS_PER_SECOND = 1_000;

  /** Shortest delay before a failed call is repeated. */
  static final long RETRY_DELAY_MS = 300;

  /** Longest delay before a failed call is repeated. */
  static final long MAX_RETRY_DELAY_MS = 2_000;

  /**
   * Time without a response after which the present call or wait counts as lost; longer than any
   * wait and than the time limits of a call.
   */
  static final long MAX_SILENCE_MS = 3_000;

  /** The same for a read of the whole list, which takes one call for each page. */
  static final long MAX_FULL_READ_MS = 10_000;

  private final String name;
  private final EventLoop loop;
  private final ChangeFeed<T> feed;
  private final Listener<T> listener;
  private final DecisionLog log;
  private final IntSupplier readerCount;
  private final ListHistory<T> history;
  private final OutdatedEntries<T> outdated;
  private final LeftOutEntries leftOut;
  private ScheduledFuture<?> nextRead;
  private ScheduledFuture<?> silenceTimer;
  private long lastSuccessMs;
  private long callCount;
  private long responseCount;
  private long changeCount;

  /** Time at which the store had the present position, as far as this node knows. */
  private long confirmedMs = Long.MIN_VALUE / 2;

  private boolean mustReadAll = true;
  private boolean isReading = true;
  private boolean isCallPending;
  private boolean isFailing;
  private boolean isStarted;
  private boolean isStopped;

  /** Receives the entries of the list and their changes. */
  interface Listener<T> {
    /** Receives all entries of the list. */
    void onAll(List<FeedResult.Change<T>> entries);

    /** Receives the entries that changed, possibly none. */
    void onChanges(List<FeedResult.Change<T>> changes);

    /** Called after each failed call to the store. */
    void onStoreUnavailable();

    /**
     * Called before the next full list is delivered if the store came back from a copy, so that the
     * list may lack entries and show older ones.
     */
    default void onHistoryReset() {}

    /**
     * Called after each response of the store and each update from another node.
     *
     * @param hasChanges whether entries have changed
     */
    default void onConfirmed(boolean hasChanges) {}
  }

  /** Creates a follower of a list whose entries have no versions. */
  FeedFollower(
      String name,
      EventLoop loop,
      ChangeFeed<T> feed,
      Listener<T> listener,
      IntSupplier readerCount,
      DecisionLog log) {
    this(name, loop, feed, listener, readerCount, EntryOrder.none(), () -> 0, log);
  }

  /**
   * Creates a follower.
   *
   * @param name name of the list
   * @param loop event loop of the node
   * @param feed access to the list
   * @param listener receives the entries
   * @param readerCount returns the number of nodes that read the list
   * @param order order of the states of an entry
   * @param heartbeatMs returns the usual time between two writes of an entry, in milliseconds
   * @param log receives what is read and lost
   */
  FeedFollower(
      String name,
      EventLoop loop,
      ChangeFeed<T> feed,
      Listener<T> listener,
      IntSupplier readerCount,
      EntryOrder<T> order,
      LongSupplier heartbeatMs,
      DecisionLog log) {
    this.readerCount = readerCount;
    this.history = new ListHistory<>(order.isSameState());
    this.outdated = new OutdatedEntries<>(name, order, heartbeatMs, log);
    this.name = name;
    this.loop = loop;
    this.feed = feed;
    this.listener = listener;
    this.log = log;
    this.leftOut = new LeftOutEntries(name, log);
  }

  /** Starts reading. May be called on any thread. */
  void start() {
    loop.execute(
        () -> {
          isStarted = true;
          scheduleRead(0);
        });
  }

  void stop() {
    isStopped = true;
  }

  String name() {
    return name;
  }

  ListHistory<T> history() {
    return history;
  }

  /** Returns the time since the store had the present position, in milliseconds. */
  long ageMs() {
    return nowMs() - confirmedMs;
  }

  /**
   * Sets whether this node polls the store. A call that is running ends by itself.
   *
   * @param reading false if another node relays the list
   */
  void setReading(boolean reading) {
    boolean isResumed = reading && !isReading;
    isReading = reading;
    if (isResumed && isStarted && nextRead == null && !isCallPending) {
      scheduleRead(0);
    }
  }

  boolean isReading() {
    return isReading || mustReadAll;
  }

  /** Returns the number of responses of the store, also of those without changes. */
  long responseCount() {
    return responseCount;
  }

  /** Returns the number of changed entries, read from the store or relayed. */
  long changeCount() {
    return changeCount;
  }

  /** Returns the number of entries that are left out because they are not valid. */
  int leftOutCount() {
    return leftOut.count();
  }

  /**
   * Shortens the delay before the next call to {@link #MIN_DELAY_MS}. Used when the list was found
   * to be stale. Has no effect while a call is running, after a failed call, or if this node does
   * not read.
   */
  void expediteRead() {
    boolean isWaiting = nextRead != null && !isFailing && isReading();
    if (isWaiting && nextRead.cancel(false)) {
      scheduleRead(Math.max(0, MIN_DELAY_MS - (nowMs() - lastSuccessMs)));
    }
  }

  /**
   * Returns the delay after a call that returned changes. It grows with the number of nodes that
   * read, to limit the calls of all nodes together.
   *
   * @param nodeCount number of nodes that read the list
   * @return the delay in milliseconds
   */
  static long delayMs(int nodeCount) {
    long fleetMs = nodeCount * MS_PER_SECOND / MAX_FLEET_CALLS_PER_SECOND;
    return Math.max(MIN_DELAY_MS, Math.min(MAX_DELAY_MS, fleetMs));
  }

  /**
   * Returns the delay before a failed call is repeated. While the store is away, all nodes of a
   * fleet try in turn, and the first that reaches it tells the others.
   *
   * @param nodeCount number of nodes that read the list
   * @return the delay in milliseconds
   */
  static long retryDelayMs(int nodeCount) {
    long fleetMs = nodeCount * MS_PER_SECOND / MAX_FLEET_CALLS_PER_SECOND;
    return Math.max(RETRY_DELAY_MS, Math.min(MAX_RETRY_DELAY_MS, fleetMs));
  }

  private void scheduleRead(long delayMs) {
    if (!isStopped && isReading()) {
      nextRead = loop.schedule(this::read, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void read() {
    nextRead = null;
    if (isStopped || !isReading()) {
      return;
    }
    isCallPending = true;
    boolean isFullRead = mustReadAll;
    long call = ++callCount;
    Consumer<FeedResult<T>> onResult =
        result -> {
          if (call == callCount) {
            guard(() -> onResult(result, isFullRead));
          }
        };
    startSilenceTimer(isFullRead ? MAX_FULL_READ_MS : MAX_SILENCE_MS);
    guard(
        () -> {
          if (isFullRead) {
            feed.readAll(onResult);
          } else {
            feed.readChanges(history.position(), LONG_POLL_MS, onResult);
          }
        });
  }

  /**
   * Runs a step on the list. After an unchecked exception or an error, part of what was read may
   * not have reached the listener; the whole list is therefore read again after a delay.
   */
  private void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      log.recordEvent("feed-error", "", "list", name, "error", e);
      abandonCall();
      scheduleRead(retryDelayMs(readerCount.getAsInt()));
    }
  }

  /** Ignores the present call or wait, and makes the next call one for the whole list. */
  private void abandonCall() {
    if (nextRead != null) {
      nextRead.cancel(false);
    }
    callCount++;
    isCallPending = false;
    mustReadAll = true;
  }

  private void startSilenceTimer(long maxSilenceMs) {
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
    silenceTimer = loop.schedule(() -> guard(this::onSilence), maxSilenceMs, TimeUnit.MILLISECONDS);
  }

  /** Reads all of the list again if the present call or the wait for the next one was lost. */
  private void onSilence() {
    if (isStopped || !(isCallPending || isReading())) {
      return;
    }
    log.recordEvent(
        "feed-silent",
        "",
        "list",
        name,
        "position",
        history.position(),
        "responses",
        responseCount,
        "isCallPending",
        isCallPending);
    abandonCall();
    scheduleRead(0);
  }

  private void onResult(FeedResult<T> result, boolean isFullRead) {
    isCallPending = false;
    if (isStopped) {
      return;
    }
    responseCount += result instanceof FeedResult.Failed<T> ? 0 : 1;
    startSilenceTimer(MAX_SILENCE_MS);
    if (result instanceof FeedResult.Entries<T> entries) {
      onSuccess();
      onEntries(entries, isFullRead);
      scheduleRead(entries.changes().isEmpty() ? 0 : delayMs(readerCount.getAsInt()));
    } else if (result instanceof FeedResult.HistoryGone<T>) {
      onSuccess();
      readAllAgain();
      scheduleRead(0);
    } else if (result instanceof FeedResult.Failed<T> failed) {
      onFailed(failed);
    }
  }

  private void onFailed(FeedResult.Failed<T> failed) {
    if (isReading()) {
      if (!isFailing) {
        log.recordEvent("feed-lost", "", "list", name, "reason", failed.reason());
      }
      isFailing = true;
      outdated.onStoreUnavailable(nowMs());
      listener.onStoreUnavailable();
      scheduleRead(retryDelayMs(readerCount.getAsInt()));
    }
  }

  private void readAllAgain() {
    log.recordEvent("feed-history-gone", "", "list", name, "revision", history.position());
    mustReadAll = true;
  }

  private void onEntries(FeedResult.Entries<T> entries, boolean isFullRead) {
    if (isFullRead) {
      mustReadAll = false;
      ListPosition before = history.position();
      if (before.isKnown() && before.era() != entries.position().era()) {
        log.recordEvent(
            "feed-reset", "", "list", name, "before", before, "now", entries.position());
        outdated.clear();
        listener.onHistoryReset();
      }
      leftOut.replaceAll(entries.changes());
      List<FeedResult.Change<T>> admitted = outdated.admitAll(entries.changes(), nowMs());
      int changed = history.replaceAll(toHistory(admitted), entries.position()).size();
      changeCount += changed;
      confirmedMs = nowMs();
      listener.onAll(admitted);
      listener.onConfirmed(changed > 0);
    } else if (entries.position().revision() >= history.position().revision()) {
      apply(entries.changes(), entries.position().revision(), 0);
    }
    // Otherwise another node has meanwhile relayed all of these changes and later ones.
  }

  private static <T> List<ListHistory.Entry<T>> toHistory(List<FeedResult.Change<T>> changes) {
    List<ListHistory.Entry<T>> entries = new ArrayList<>(changes.size());
    for (FeedResult.Change<T> change : changes) {
      entries.add(new ListHistory.Entry<>(change.key(), change.value(), change.content()));
    }
    return entries;
  }

  private void apply(List<FeedResult.Change<T>> read, long revision, long ageMs) {
    leftOut.update(read);
    List<FeedResult.Change<T>> changed = new ArrayList<>();
    List<FeedResult.Change<T>> admitted = outdated.admit(read, nowMs());
    for (ListHistory.Entry<T> entry : history.apply(toHistory(admitted), revision)) {
      changed.add(new FeedResult.Change<>(entry.key(), entry.value(), entry.content()));
    }
    changeCount += changed.size();
    confirmedMs = Math.max(confirmedMs, nowMs() - ageMs);
    listener.onChanges(changed);
    listener.onConfirmed(!changed.isEmpty());
  }

  /**
   * Applies an update that another node relayed.
   *
   * @param update the update
   */
  void onRelayed(ListUpdate update) {
    guard(() -> applyRelayed(update));
  }

  private void applyRelayed(ListUpdate update) {
    ListPosition own = history.position();
    if (isStopped || mustReadAll) {
      return;
    }
    if (update.position().isEmpty() || update.position().get().era() > own.era()) {
      readAllAgain();
      setReading(true);
      if (nextRead == null && !isCallPending) {
        scheduleRead(0);
      }
      return;
    }
    if (update.position().get().era() < own.era()) {
      return;
    }
    isFailing = false;
    List<FeedResult.Change<T>> read = new ArrayList<>();
    for (ListUpdate.ListChange change : update.changes()) {
      if (change.revision() > own.revision()) {
        read.add(FeedResult.Change.decode(change.key(), change.content(), feed));
      }
    }
    apply(read, update.position().get().revision(), update.ageMs());
  }

  private void onSuccess() {
    lastSuccessMs = nowMs();
    if (isFailing) {
      isFailing = false;
      log.recordEvent("feed-regained", "", "list", name);
    }
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
