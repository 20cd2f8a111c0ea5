package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryhook.coordination.QuotaSimulation.Variant;
import org.junit.jupiter.api.Test;

/**
 * Checks on a simulated cluster that faults neither exceed contract bounds nor give a lease two
 * holders.
 */
class ContractLimitsTest {

  private static final int SECONDS = 90;

  /**
   * Guards against units admitted twice and leases held twice after lost messages, paused or killed
   * nodes and outages of the table service.
   */
  @Property(tries = 60, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void contractBoundsAndSingleLeaseHoldersHoldUnderFaults(
      @ForAll long seed, @ForAll @IntRange(min = 3, max = 5) int nodeCount) {
    QuotaSimulation cluster = new QuotaSimulation(seed, nodeCount, Variant.CORRECT);
    cluster.run(SECONDS);
    assertThat(cluster.violations).isEmpty();
    assertThat(cluster.admitted).as("admitted requests").isGreaterThan(200);
  }

  /** Guards against an oracle that misses holders which use expired grants. */
  @Test
  void theOracleCatchesAHolderThatIgnoresGrantExpiry() {
    assertThat(countViolatingRuns(Variant.IGNORES_GRANT_EXPIRY)).isPositive();
  }

  /** Guards against an oracle that misses two holders of one lease. */
  @Test
  void theOracleCatchesALeaseAcquirerThatDoesNotWait() {
    assertThat(countViolatingRuns(Variant.ACQUIRES_WITHOUT_WAITING)).isPositive();
  }

  private static int countViolatingRuns(Variant variant) {
    int count = 0;
    for (int seed = 1; seed <= 20; seed++) {
      QuotaSimulation cluster = new QuotaSimulation(seed, 4, variant);
      cluster.run(SECONDS);
      count += cluster.violations.isEmpty() ? 0 : 1;
    }
    return count;
  }
}
