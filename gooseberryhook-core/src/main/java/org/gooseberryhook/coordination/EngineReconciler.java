package org.gooseberryhook.coordination;

import java.util.Objects;
import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/**
 * Reconciles the layers that one engine holds with the plan, on behalf of the holder of the lease
 * on that engine's orders.
 *
 * <p>Orders are idempotent, so an order may be repeated. An engine that checks fencing numbers
 * refuses orders of an earlier holder. An engine that ignores them may still receive such an order
 * up to the maximum delivery time after the earlier holder stopped. A new holder therefore waits
 * that long, reads the state, corrects it, and reports the engine as settled only after it has read
 * the desired state at least the maximum delivery time after its last order. A holder that was
 * paused between its lease check and its send can deliver an order at any later time. The state is
 * therefore read again at every audit interval, so a wrong state lasts at most one audit interval
 * plus one order.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class EngineReconciler {

  /** Interval at which the state of a settled engine is read again, in nanoseconds. */
  static final long AUDIT_NANOS = 5_000_000_000L;

  private final boolean isFencingChecked;
  private final long maxDeliveryNanos;
  private final long fencingNumber;
  private final long firstReadNanos;
  private LoadedLayers desired;
  private long lastOrderNanos;
  private long lastReadNanos;
  private boolean isAwaitingResult;
  private boolean isConfirmed;

  /**
   * Creates a reconciler for a lease that was just acquired.
   *
   * @param isFencingChecked whether the engine refuses orders with an outdated fencing number
   * @param fencingNumber fencing number of the lease
   * @param maxDeliveryNanos maximum delivery time of an order; a sender aborts after it
   * @param nowNanos monotonic time
   */
  public EngineReconciler(
      boolean isFencingChecked, long fencingNumber, long maxDeliveryNanos, long nowNanos) {
    this.isFencingChecked = isFencingChecked;
    this.fencingNumber = fencingNumber;
    this.maxDeliveryNanos = maxDeliveryNanos;
    this.firstReadNanos = isFencingChecked ? nowNanos : nowNanos + maxDeliveryNanos;
    this.lastOrderNanos = nowNanos - maxDeliveryNanos;
  }

  /**
   * The layers of a model that an engine holds.
   *
   * @param modelId the model
   * @param modelVersion the version
   * @param layers the layer range
   * @since 0.1
   */
  public record LoadedLayers(String modelId, String modelVersion, LayerRange layers) {}

  /** The action to take next. */
  public sealed interface Step {

    /** Nothing to do now. */
    record Idle() implements Step {}

    /** Read the engine's state. */
    record Read() implements Step {}

    /**
     * Send a load order, with a timeout of at most the maximum delivery time.
     *
     * @param fencingNumber fencing number to send
     * @param desired what the engine must hold
     */
    record Order(long fencingNumber, LoadedLayers desired) implements Step {}
  }

  /**
   * Sets the layers that the engine must hold.
   *
   * @param held the desired state, not null
   */
  public void setDesired(LoadedLayers held) {
    Objects.requireNonNull(held, "held");
    if (!held.equals(desired)) {
      desired = held;
      isConfirmed = false;
    }
  }

  /**
   * Decides on the next step. The caller must check its lease against the monotonic clock
   * immediately before it carries the step out.
   *
   * @param nowNanos monotonic time
   * @return the step, never null
   */
  public Step next(long nowNanos) {
    boolean isTooEarly = nowNanos - firstReadNanos < 0;
    boolean isAuditDue = nowNanos - lastReadNanos >= AUDIT_NANOS;
    boolean isNothingDue = isSettled(nowNanos) && !isAuditDue;
    if (desired == null || isAwaitingResult || isTooEarly || isNothingDue) {
      return new Step.Idle();
    }
    isAwaitingResult = true;
    return new Step.Read();
  }

  /**
   * Handles the result of a read and decides whether to send an order.
   *
   * @param held what the engine holds; empty if it could not be read
   * @param nowNanos monotonic time
   * @return an order if the engine does not hold the desired state, else idle
   */
  public Step onRead(Optional<LoadedLayers> held, long nowNanos) {
    isAwaitingResult = false;
    lastReadNanos = nowNanos;
    if (held.isEmpty() || desired == null) {
      return new Step.Idle();
    }
    if (held.get().equals(desired)) {
      isConfirmed = isFencingChecked || nowNanos - lastOrderNanos >= maxDeliveryNanos;
      return new Step.Idle();
    }
    isConfirmed = false;
    isAwaitingResult = true;
    lastOrderNanos = nowNanos;
    return new Step.Order(fencingNumber, desired);
  }

  /**
   * Handles the end of an order. Apart from a refusal its result is not used, because the state is
   * read again.
   *
   * @param isRefused whether the engine refused the fencing number
   * @return false if a later holder exists, so that this reconciler must stop
   */
  public boolean onOrderResult(boolean isRefused) {
    isAwaitingResult = false;
    return !isRefused;
  }

  /**
   * Returns whether the engine was read with the desired state and no order of an earlier holder is
   * expected to change it.
   *
   * @param nowNanos monotonic time
   * @return true if settled
   */
  public boolean isSettled(long nowNanos) {
    return isConfirmed && nowNanos - firstReadNanos >= 0;
  }
}
