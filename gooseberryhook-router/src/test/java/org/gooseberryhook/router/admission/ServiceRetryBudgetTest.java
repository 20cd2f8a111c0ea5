package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against retries of all nodes together that exceed the budget of a window. */
class ServiceRetryBudgetTest {

  private static final long WINDOW_MS = 10_000;
  private static final double RATIO = 0.2;
  private static final double SLACK = 198;
  private static final RetryBounds BOUNDS = new RetryBounds(RATIO, SLACK, WINDOW_MS);

  @Property(tries = 40)
  void allNodesTogetherStayWithinTheBudgetInEveryWindow(@ForAll long seed) {
    Random random = new Random(seed);
    int nodes = 1 + random.nextInt(10);
    List<ServiceRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      budgets.add(new ServiceRetryBudget(() -> BOUNDS, () -> nodes));
    }
    List<Long> firstSendTimesMs = new ArrayList<>();
    List<Long> repeatTimesMs = new ArrayList<>();
    for (long nowMs = 0; nowMs < 3 * WINDOW_MS; nowMs += 10) {
      ServiceRetryBudget node = budgets.get(random.nextInt(nodes));
      node.recordFirstSend("s", nowMs);
      firstSendTimesMs.add(nowMs);
      for (int i = 0; i < 3; i++) {
        if (node.trySpend("s", nowMs)) {
          repeatTimesMs.add(nowMs);
        }
      }
      long from = nowMs - WINDOW_MS;
      long firstSends = firstSendTimesMs.stream().filter(t -> t > from).count();
      long repeats = repeatTimesMs.stream().filter(t -> t > from).count();
      assertThat((double) repeats).isLessThanOrEqualTo(RATIO * firstSends + SLACK);
    }
  }

  @Test
  void eachServiceHasItsOwnBudget() {
    ServiceRetryBudget budget =
        new ServiceRetryBudget(() -> new RetryBounds(0, 2, WINDOW_MS), () -> 1);
    assertThat(budget.trySpend("a", 0)).isTrue();
    assertThat(budget.trySpend("a", 0)).isFalse();
    assertThat(budget.trySpend("b", 0)).isTrue();
  }

  @Test
  void theBudgetIsRestoredAfterTheWindow() {
    ServiceRetryBudget budget =
        new ServiceRetryBudget(() -> new RetryBounds(0, 2, WINDOW_MS), () -> 1);
    assertThat(budget.trySpend("a", 0)).isTrue();
    assertThat(budget.trySpend("a", WINDOW_MS + 1)).isTrue();
  }

  /** Guards against bounds that are read once at the start of the process. */
  @Test
  void changedBoundsApplyAtOnce() {
    AtomicReference<RetryBounds> bounds = new AtomicReference<>(new RetryBounds(0, 2, WINDOW_MS));
    ServiceRetryBudget budget = new ServiceRetryBudget(bounds::get, () -> 1);
    assertThat(budget.trySpend("s", 0)).isTrue();
    assertThat(budget.trySpend("s", 0)).isFalse();
    bounds.set(new RetryBounds(0, 4, WINDOW_MS));
    assertThat(budget.trySpend("s", 0)).isTrue();
    assertThat(budget.trySpend("s", 0)).isTrue();
    assertThat(budget.trySpend("s", 0)).isFalse();
  }
}
