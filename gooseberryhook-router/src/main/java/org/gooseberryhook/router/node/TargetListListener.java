package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/** Applies what is read of the list of targets to the registry. */
final class TargetListListener implements FeedFollower.Listener<TargetEntry> {

  private final TargetRegistry registry;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Runnable onListReadAll;
  private final Runnable onListConfirmed;
  private final Runnable onFleetChanged;

  /**
   * Creates a listener.
   *
   * @param registry the targets that the node knows
   * @param clock monotonic clock of the node
   * @param log receives a line for each reading of the whole list
   * @param onListReadAll called when the whole list was read
   * @param onListConfirmed called when the list was read without a fault
   * @param onFleetChanged called when targets may have changed
   */
  TargetListListener(
      TargetRegistry registry,
      MonotonicClock clock,
      DecisionLog log,
      Runnable onListReadAll,
      Runnable onListConfirmed,
      Runnable onFleetChanged) {
    this.registry = registry;
    this.clock = clock;
    this.log = log;
    this.onListReadAll = onListReadAll;
    this.onListConfirmed = onListConfirmed;
    this.onFleetChanged = onFleetChanged;
  }

  @Override
  public void onAll(List<FeedResult.Change<TargetEntry>> entries) {
    List<TargetEntry> usable = new ArrayList<>();
    entries.forEach(entry -> entry.value().ifPresent(usable::add));
    registry.replaceAll(usable, clock.nowMs());
    log.recordEvent("targets-read", "", "count", usable.size());
    onListReadAll.run();
    onFleetChanged.run();
  }

  @Override
  public void onHistoryReset() {
    registry.onHistoryReset(clock.nowMs());
  }

  @Override
  public void onConfirmed(boolean hasChanges) {
    onListConfirmed.run();
  }

  @Override
  public void onChanges(List<FeedResult.Change<TargetEntry>> changes) {
    long nowMs = clock.nowMs();
    registry.onStoreAvailable(nowMs);
    for (FeedResult.Change<TargetEntry> change : changes) {
      if (change.value().isPresent()) {
        registry.put(change.value().get());
      } else {
        registry.remove(change.key(), nowMs);
      }
    }
    if (!changes.isEmpty()) {
      onFleetChanged.run();
    }
  }

  @Override
  public void onStoreUnavailable() {
    registry.onStoreUnavailable();
  }
}
