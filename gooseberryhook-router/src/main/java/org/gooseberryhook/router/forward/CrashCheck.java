package org.gooseberryhook.router.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gooseberryhook.router.fleet.RefusalReview;

/**
 * Finds out whether one of the targets that ran a request has crashed: it refuses connections now
 * and is found to have ended. A target that does not answer at all was cut off.
 */
final class CrashCheck {

  /** Longest time for which a retry waits for the check of the target. */
  private static final long MAX_CHECK_MS = 100;

  private final ForwardContext context;
  private final List<String> addresses;
  private final CrashListener onCrash;
  private final Runnable onChecked;
  private boolean isChecked;

  /** Whether a target refused a connection and the other nodes may still object. */
  private boolean isReviewing;

  private boolean isRecorded;

  /** Receives a crash. */
  @FunctionalInterface
  interface CrashListener {
    /**
     * Called at most once, possibly after the check.
     *
     * @param address address of the target that has ended
     * @param crashMs monotonic time at which it refused a connection, in milliseconds
     */
    void onCrash(String address, long crashMs);
  }

  /**
   * Creates a check.
   *
   * @param context state of the node
   * @param addresses addresses of the targets that ran the request, first the one that it was sent
   *     to; not empty
   * @param onCrash receives one crash if any of the targets has ended, also if a fault took several
   * @param onChecked called once: when the targets were checked, when the review of a refusal has a
   *     result or no one may object any more, or after {@link #MAX_CHECK_MS} without a refusal
   */
  CrashCheck(
      ForwardContext context, List<String> addresses, CrashListener onCrash, Runnable onChecked) {
    this.context = context;
    this.addresses = addresses;
    this.onCrash = onCrash;
    this.onChecked = onChecked;
  }

  void start() {
    context.schedule(
        () -> {
          if (!isReviewing) {
            end();
          }
        },
        MAX_CHECK_MS);
    List<String> others = addresses.subList(1, addresses.size());
    check(addresses.subList(0, 1), () -> check(others, this::end));
  }

  private void end() {
    if (!isChecked) {
      isChecked = true;
      onChecked.run();
    }
  }

  private void check(List<String> checked, Runnable onAllListening) {
    context
        .channelPool()
        .listenerChecks()
        .findClosed(
            checked,
            closed -> {
              if (closed.isEmpty()) {
                onAllListening.run();
              } else {
                review(closed);
              }
            });
  }

  private void review(Set<String> closed) {
    isReviewing = true;
    long refusedMs = context.clock().nowMs();
    context.schedule(this::end, RefusalReview.OBJECTION_MS + MAX_CHECK_MS);
    Set<String> open = new HashSet<>(closed);
    for (String address : closed) {
      context
          .fleet()
          .reviewRefusal(
              address,
              hasEnded -> {
                open.remove(address);
                if (hasEnded && !isRecorded) {
                  isRecorded = true;
                  onCrash.onCrash(address, refusedMs);
                }
                if (hasEnded || open.isEmpty()) {
                  end();
                }
              });
    }
  }
}
