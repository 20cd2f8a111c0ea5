package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.coordination.EngineReconciler.LoadedLayers;
import org.gooseberryhook.coordination.EngineReconciler.Step;
import org.gooseberryhook.state.LayerRange;

/** Runs two successive lease holders against engines that check fencing numbers or ignore them. */
class EngineReconcilerTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long DELIVERY_NANOS = 5 * SECOND;
  private static final LoadedLayers OLD = new LoadedLayers("m", "v1", LayerRange.of(0, 4));
  private static final LoadedLayers NEW = new LoadedLayers("m", "v2", LayerRange.of(0, 4));

  private record Delivery(long atNanos, long number, LoadedLayers held) {}

  /** An engine and the orders in transit to it. */
  private static final class Engine {
    private final boolean isFencingChecked;
    private final List<Delivery> ordersInTransit = new ArrayList<>();
    private long highestNumber;
    private LoadedLayers held = new LoadedLayers("m", "v0", LayerRange.of(0, 4));

    Engine(boolean isFencingChecked) {
      this.isFencingChecked = isFencingChecked;
    }

    void deliverUntil(long nowNanos) {
      ordersInTransit.sort(Comparator.comparingLong(Delivery::atNanos));
      while (!ordersInTransit.isEmpty() && ordersInTransit.get(0).atNanos() <= nowNanos) {
        Delivery delivery = ordersInTransit.remove(0);
        if (!isFencingChecked || delivery.number() >= highestNumber) {
          highestNumber = Math.max(highestNumber, delivery.number());
          held = delivery.held();
        }
      }
    }
  }

  /**
   * Guards against an engine that stays in the wrong state: the earlier holder is paused before it
   * sends, so its order arrives after the new holder's.
   */
  @Property(tries = 300, seed = "5")
  void aLateOrderOfAPausedHolderIsCorrectedWithinAnAuditAndADelivery(
      @ForAll long seed, @ForAll boolean isFencingChecked) {
    Random random = new Random(seed);
    Engine engine = new Engine(isFencingChecked);
    long changeNanos = 20 * SECOND;
    long pausedSendNanos = changeNanos + (long) (random.nextDouble() * 40 * SECOND);
    engine.ordersInTransit.add(new Delivery(pausedSendNanos, 1, OLD));
    EngineReconciler reconciler =
        new EngineReconciler(isFencingChecked, 2, DELIVERY_NANOS, changeNanos);
    reconciler.setDesired(NEW);
    long wrongSinceNanos = -1;
    for (long now = changeNanos; now < changeNanos + 90 * SECOND; now += SECOND / 10) {
      engine.deliverUntil(now);
      step(reconciler, engine, now, random);
      boolean isWrong = !engine.held.equals(NEW);
      wrongSinceNanos = isWrong ? (wrongSinceNanos < 0 ? now : wrongSinceNanos) : -1;
      long windowNanos = EngineReconciler.AUDIT_NANOS + DELIVERY_NANOS + 2 * SECOND;
      long startNanos = isFencingChecked ? 2 * SECOND : DELIVERY_NANOS;
      if (isWrong && now > changeNanos + startNanos + DELIVERY_NANOS) {
        assertThat(now - wrongSinceNanos).isLessThanOrEqualTo(windowNanos);
      }
    }
    assertThat(engine.held).isEqualTo(NEW);
    assertThat(reconciler.isSettled(changeNanos + 90 * SECOND)).isTrue();
  }

  /**
   * Guards against reporting an engine as settled while an order of an earlier holder may still
   * arrive.
   */
  @Property(tries = 1)
  void anEngineThatIgnoresFencingNumbersIsNotReadBeforeTheLongestDeliveryTime() {
    EngineReconciler reconciler = new EngineReconciler(false, 2, DELIVERY_NANOS, 0);
    reconciler.setDesired(NEW);
    assertThat(reconciler.next(DELIVERY_NANOS - 1)).isInstanceOf(Step.Idle.class);
    assertThat(reconciler.next(DELIVERY_NANOS)).isInstanceOf(Step.Read.class);
  }

  private static void step(EngineReconciler reconciler, Engine engine, long now, Random random) {
    if (!(reconciler.next(now) instanceof Step.Read)) {
      return;
    }
    boolean isReadLost = random.nextInt(10) == 0;
    Step step = reconciler.onRead(isReadLost ? Optional.empty() : Optional.of(engine.held), now);
    if (step instanceof Step.Order order) {
      boolean isLost = random.nextInt(10) == 0;
      if (!isLost) {
        long delayNanos = (long) (random.nextDouble() * DELIVERY_NANOS);
        engine.ordersInTransit.add(
            new Delivery(now + delayNanos, order.fencingNumber(), order.desired()));
      }
      reconciler.onOrderResult(false);
    }
  }
}
