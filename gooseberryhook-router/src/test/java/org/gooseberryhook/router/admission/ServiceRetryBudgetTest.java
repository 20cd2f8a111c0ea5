package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards that the repeats of all nodes together stay within the budget of each window. */
class ServiceRetryBudgetTest {

  private static final long WINDOW_MS = 10_000;
  private static final double RATIO = 0.2;
  private static final double SLACK = 198;
  private static final RetryBounds BOUNDS = new RetryBounds(RATIO, SLACK, WINDOW_MS);

  @Property(tries = 40)
  void allNodesTogetherStayWithinTheBudgetInEveryWindow(@ForAll long seed) {
    Random random = new Random(seed);
    int nodes = 1 + random.nextInt(10);
    List<ServiceRetryBudget> allowances = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      allowances.add(new ServiceRetryBudget(() -> BOUNDS, () -> nodes));
    }
    List<Long> firstMs = new ArrayList<>();
    List<Long> repeatMs = new ArrayList<>();
    for (long nowMs = 0; nowMs < 3 * WINDOW_MS; nowMs += 10) {
      ServiceRetryBudget node = allowances.get(random.nextInt(nodes));
      node.recordFirstSend("s", nowMs);
      firstMs.add(nowMs);
      for (int i = 0; i < 3; i++) {
        if (node.trySpend("s", nowMs)) {
          repeatMs.add(nowMs);
        }
      }
      long from = nowMs - WINDOW_MS;
      long firsts = firstMs.stream().filter(t -> t > from).count();
      long repeats = repeatMs.stream().filter(t -> t > from).count();
      assertThat((double) repeats).isLessThanOrEqualTo(RATIO * firsts + SLACK);
    }
  }

  @Test
  void servicesHaveBudgetsOfTheirOwn() {
    ServiceRetryBudget allowance =
        new ServiceRetryBudget(() -> new RetryBounds(0, 2, WINDOW_MS), () -> 1);
    assertThat(allowance.trySpend("a", 0)).isTrue();
    assertThat(allowance.trySpend("a", 0)).isFalse();
    assertThat(allowance.trySpend("b", 0)).isTrue();
  }

  @Test
  void theBudgetComesBackWithTime() {
    ServiceRetryBudget allowance =
        new ServiceRetryBudget(() -> new RetryBounds(0, 2, WINDOW_MS), () -> 1);
    assertThat(allowance.trySpend("a", 0)).isTrue();
    assertThat(allowance.trySpend("a", WINDOW_MS + 1)).isTrue();
  }

  /** Guards against bounds that stay as they were at the start of the process. */
  @Test
  void changedBoundsAreInForceAtOnce() {
    AtomicReference<RetryBounds> bounds = new AtomicReference<>(new RetryBounds(0, 2, WINDOW_MS));
    ServiceRetryBudget allowance = new ServiceRetryBudget(bounds::get, () -> 1);
    assertThat(allowance.trySpend("s", 0)).isTrue();
    assertThat(allowance.trySpend("s", 0)).isFalse();
    bounds.set(new RetryBounds(0, 4, WINDOW_MS));
    assertThat(allowance.trySpend("s", 0)).isTrue();
    assertThat(allowance.trySpend("s", 0)).isTrue();
    assertThat(allowance.trySpend("s", 0)).isFalse();
  }
}
