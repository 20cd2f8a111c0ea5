package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.coordination.EngineOrderKeeper.Held;
import org.gooseberryhook.coordination.EngineOrderKeeper.Step;
import org.gooseberryhook.state.LayerRange;

/** Drives two lease holders in turn against engines that check fencing numbers or ignore them. */
class EngineOrderKeeperTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long DELIVERY_NANOS = 5 * SECOND;
  private static final Held OLD = new Held("m", "v1", LayerRange.of(0, 4));
  private static final Held NEW = new Held("m", "v2", LayerRange.of(0, 4));

  private record Delivery(long atNanos, long number, Held held) {}

  /** An engine with orders under way to it. */
  private static final class Engine {
    private final boolean isChecking;
    private final List<Delivery> underWay = new ArrayList<>();
    private long highest;
    private Held held = new Held("m", "v0", LayerRange.of(0, 4));

    Engine(boolean isChecking) {
      this.isChecking = isChecking;
    }

    void deliverUntil(long nowNanos) {
      underWay.sort(Comparator.comparingLong(Delivery::atNanos));
      while (!underWay.isEmpty() && underWay.get(0).atNanos() <= nowNanos) {
        Delivery delivery = underWay.remove(0);
        if (!isChecking || delivery.number() >= highest) {
          highest = Math.max(highest, delivery.number());
          held = delivery.held();
        }
      }
    }
  }

  /** Guards against an earlier holder's late order leaving the engine in the wrong state. */
  @Property(tries = 300, seed = "5")
  void aLateOrderOfAPausedHolderIsCorrectedWithinTheStatedWindow(
      @ForAll long seed, @ForAll boolean isChecking) {
    Random random = new Random(seed);
    Engine engine = new Engine(isChecking);
    long changeNanos = 20 * SECOND;
    long pausedSendNanos = changeNanos + (long) (random.nextDouble() * 40 * SECOND);
    engine.underWay.add(new Delivery(pausedSendNanos, 1, OLD));
    EngineOrderKeeper keeper = new EngineOrderKeeper(isChecking, 2, DELIVERY_NANOS, changeNanos);
    keeper.setWanted(NEW);
    long wrongSinceNanos = -1;
    for (long now = changeNanos; now < changeNanos + 90 * SECOND; now += SECOND / 10) {
      engine.deliverUntil(now);
      step(keeper, engine, now, random);
      boolean isWrong = !engine.held.equals(NEW);
      wrongSinceNanos = isWrong ? (wrongSinceNanos < 0 ? now : wrongSinceNanos) : -1;
      long windowNanos = EngineOrderKeeper.AUDIT_NANOS + DELIVERY_NANOS + 2 * SECOND;
      long startNanos = isChecking ? 2 * SECOND : DELIVERY_NANOS;
      if (isWrong && now > changeNanos + startNanos + DELIVERY_NANOS) {
        assertThat(now - wrongSinceNanos).isLessThanOrEqualTo(windowNanos);
      }
    }
    assertThat(engine.held).isEqualTo(NEW);
    assertThat(keeper.isSettled(changeNanos + 90 * SECOND)).isTrue();
  }

  /** Guards against calling an engine settled while an earlier order may still arrive. */
  @Property(tries = 1)
  void anEngineThatIgnoresNumbersIsNotReadBeforeTheLongestDeliveryTime() {
    EngineOrderKeeper keeper = new EngineOrderKeeper(false, 2, DELIVERY_NANOS, 0);
    keeper.setWanted(NEW);
    assertThat(keeper.next(DELIVERY_NANOS - 1)).isInstanceOf(Step.Idle.class);
    assertThat(keeper.next(DELIVERY_NANOS)).isInstanceOf(Step.Read.class);
  }

  private static void step(EngineOrderKeeper keeper, Engine engine, long now, Random random) {
    if (!(keeper.next(now) instanceof Step.Read)) {
      return;
    }
    boolean isReadLost = random.nextInt(10) == 0;
    Step step = keeper.onRead(isReadLost ? Optional.empty() : Optional.of(engine.held), now);
    if (step instanceof Step.Order order) {
      boolean isLost = random.nextInt(10) == 0;
      if (!isLost) {
        long delayNanos = (long) (random.nextDouble() * DELIVERY_NANOS);
        engine.underWay.add(new Delivery(now + delayNanos, order.fencingNumber(), order.wanted()));
      }
      keeper.onOrdered(false);
    }
  }
}
