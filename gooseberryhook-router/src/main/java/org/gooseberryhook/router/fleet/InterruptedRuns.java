package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which crashes a stream may have caused after it had begun.
 *
 * <p>When a target ends, all of its streams end with it. A stream that crashes targets does so
 * after about the same number of events each time; one that ran on for longer at another target is
 * not the cause. A first crash is kept back: most streams are merely interrupted, and go on
 * elsewhere. It is reported with a second one, or if the request ends without having shown that it
 * is sound. Performs no I/O and reads no clock.
 */
public final class InterruptedRuns {

  /** Number of events by which runs that end for the same reason may differ. */
  private static final int MAX_DIFFERENCE = 3;

  /** Share of the longest run that a run must reach to have ended for the same reason. */
  private static final double MIN_SHARE = 0.75;

  private final List<Crash> keptBack = new ArrayList<>();
  private int longestEvents;
  private boolean hasEnded;
  private boolean isSound;

  /**
   * A crash of a target that interrupted a run.
   *
   * @param address address of the target
   * @param crashMs monotonic time in milliseconds
   * @param events number of events that the run had before
   */
  public record Crash(String address, long crashMs, int events) {}

  /**
   * Records how far a run got.
   *
   * @param events number of its events
   */
  public void onRun(int events) {
    longestEvents = Math.max(longestEvents, events);
    keptBack.removeIf(crash -> !mayBeCause(crash.events()));
  }

  /**
   * Returns whether the request may be the cause of a crash.
   *
   * @param events number of events of the run that the crash interrupted
   * @return false if another run of the request went on for much longer
   */
  public boolean mayBeCause(int events) {
    return !isSound
        && (longestEvents - events <= MAX_DIFFERENCE || events >= longestEvents * MIN_SHARE);
  }

  /**
   * Records a crash that interrupted a run.
   *
   * @param crash the crash
   * @param isSuspected whether the request is suspected of other crashes
   * @return the crashes to report now, possibly none
   */
  public List<Crash> onCrash(Crash crash, boolean isSuspected) {
    if (mayBeCause(crash.events())) {
      keptBack.add(crash);
    }
    return isSuspected || hasEnded || keptBack.size() > 1 ? takeKeptBack() : List.of();
  }

  /** Records that the response has ended as a whole, so that the request is sound. */
  public void onWhole() {
    isSound = true;
    keptBack.clear();
  }

  /**
   * Records that the request has ended at this node.
   *
   * @return the crashes to report now, possibly none
   */
  public List<Crash> onEnd() {
    hasEnded = true;
    return takeKeptBack();
  }

  private List<Crash> takeKeptBack() {
    List<Crash> taken = List.copyOf(keptBack);
    keptBack.clear();
    return taken;
  }
}
