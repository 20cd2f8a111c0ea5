package org.gooseberryhook.coordination;

import java.util.Objects;
import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/**
 * Brings one engine to the state that the plan wants, as the holder of the lease on its orders.
 *
 * <p>Orders are idempotent, so repeating one is safe. An engine that checks fencing numbers refuses
 * an earlier holder. For an engine that ignores them, an earlier holder's order can still arrive up
 * to the longest delivery time after that holder stopped; therefore a new holder first waits that
 * long, then reads the state, corrects it, and does not call it settled before it has read the
 * wanted state again one longest delivery time after its last order. A holder that was paused
 * between its lease check and its send can still deliver an order at any later time; the state is
 * therefore read again at every audit interval, and a wrong state lasts one audit interval plus one
 * order at most.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class EngineReconciler {

  /** Interval at which a settled engine is read again, in nanoseconds. */
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
   * Creates a keeper for a lease that was just acquired.
   *
   * @param isFencingChecked whether the engine refuses old fencing numbers
   * @param fencingNumber number of the lease
   * @param maxDeliveryNanos longest delivery time of an order: senders give up after it
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
   * What an engine holds.
   *
   * @param modelId the model
   * @param modelVersion the version
   * @param layers the layers
   * @since 0.1
   */
  public record LoadedLayers(String modelId, String modelVersion, LayerRange layers) {}

  /** What to do next. */
  public sealed interface Step {

    /** Nothing to do now. */
    record Idle() implements Step {}

    /** Read the engine's state. */
    record Read() implements Step {}

    /**
     * Send a load order, with a timeout of the longest delivery time at most.
     *
     * @param fencingNumber number to send
     * @param desired what the engine must hold
     */
    record Order(long fencingNumber, LoadedLayers desired) implements Step {}
  }

  /**
   * Sets what the engine must hold.
   *
   * @param held the wanted state, not null
   */
  public void setDesired(LoadedLayers held) {
    Objects.requireNonNull(held, "held");
    if (!held.equals(desired)) {
      desired = held;
      isConfirmed = false;
    }
  }

  /**
   * Decides what to do. The caller must check its lease on the monotonic clock right before it
   * carries the step out.
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
   * Takes the state that was read and decides on an order.
   *
   * @param held what the engine holds; empty if it could not be read
   * @param nowNanos monotonic time
   * @return an order if the state is wrong, else idle
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
   * Takes the end of an order, whatever its result; the state is read again to learn it.
   *
   * @param isRefused whether the engine refused the fencing number
   * @return false if a later holder exists, so that this keeper must stop
   */
  public boolean onOrderResult(boolean isRefused) {
    isAwaitingResult = false;
    return !isRefused;
  }

  /**
   * Tells whether the engine is known to hold the wanted state and no earlier order can change it.
   *
   * @param nowNanos monotonic time
   * @return true if settled
   */
  public boolean isSettled(long nowNanos) {
    return isConfirmed && nowNanos - firstReadNanos >= 0;
  }
}
