package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

  /**
   * Guards against retry storms: retries beyond the initial ones and the percentage, or taken from
   * the budget of another workspace.
   */
  @Test
  void retriesStayWithinTheFirstFewAndThePercentageOfRequests() {
    RetryBudget budget = new RetryBudget();
    Random random = new Random(4);
    int first = (int) RetryBudget.INITIAL_RETRIES;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 100_000; i++) {
      if (random.nextInt(3) == 0) {
        budget.onRequest("w", 10);
        requests++;
      } else {
        retries += budget.trySpend("w") ? 1 : 0;
      }
      assertThat(retries).isLessThanOrEqualTo(requests == 0 ? 0 : first + requests / 10);
      assertThat(budget.trySpend("other")).isFalse();
    }
    assertThat(retries).isGreaterThan(first + requests / 10 - 2);
    for (int i = 0; i < 10_000; i++) {
      budget.onRequest("w", 10);
    }
    int burst = 0;
    while (budget.trySpend("w")) {
      burst++;
    }
    assertThat(burst).isEqualTo((int) RetryBudget.MAX_STORED_RETRIES);
  }

  /** Guards against memory that grows with the number of workspace names that callers send. */
  @Test
  void theNumberOfWorkspacesIsBounded() {
    RetryBudget budget = new RetryBudget(160);
    for (int i = 0; i < 10_000; i++) {
      budget.onRequest("w" + i, 100);
    }
    assertThat(budget.size()).isLessThanOrEqualTo(160);
    assertThat(budget.trySpend("w0")).isFalse();
  }
}
