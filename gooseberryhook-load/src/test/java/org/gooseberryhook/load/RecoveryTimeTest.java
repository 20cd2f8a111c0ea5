package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RecoveryTimeTest {

  private static final long BUCKET_MS = 100;
  private static final long FAULT_MS = 10_000;

  /**
   * Guards against a recovery time that is off by more than one window. Throughput stops for a
   * known time and then returns to its level.
   */
  @Property(tries = 100, seed = "7")
  void outageOfKnownLengthIsMeasuredUpToOneWindow(
      @ForAll @IntRange(min = 0, max = 40) int delayBuckets,
      @ForAll @IntRange(min = 5, max = 40) int outageBuckets,
      @ForAll @IntRange(min = 10, max = 1_000) int level) {
    long[] useful = new long[250];
    Arrays.fill(useful, level);
    int from = 100 + delayBuckets;
    Arrays.fill(useful, from, from + outageBuckets, 0);
    RecoveryTime recovery = RecoveryTime.of(useful, BUCKET_MS, FAULT_MS, 0).orElseThrow();
    long backMs = (delayBuckets + outageBuckets) * BUCKET_MS;
    assertThat(recovery.recoveryMs()).isBetween(backMs, backMs + RecoveryTime.WINDOW_MS);
    assertThat(recovery.lowestPercent()).isZero();
    assertThat(recovery.levelPerSecond()).isCloseTo(level * 10.0, within(1e-6));
  }

  /** Guards against reporting random dips as the effect of a fault that they also preceded. */
  @Test
  void aDipNoDeeperThanTheNoiseBeforeTheFaultIsNotCounted() {
    long[] useful = new long[200];
    for (int i = 0; i < useful.length; i++) {
      useful[i] = i / 5 % 4 == 0 ? 60 : 100;
    }
    assertThat(RecoveryTime.of(useful, BUCKET_MS, FAULT_MS, 0).orElseThrow().recoveryMs()).isZero();
  }

  /** Guards against reporting an outage that lasts to the end of the run as recovered. */
  @Test
  void throughputThatStaysLowIsNotRecovered() {
    long[] useful = new long[200];
    Arrays.fill(useful, 0, 100, 100);
    Arrays.fill(useful, 100, 200, 89);
    assertThat(RecoveryTime.of(useful, BUCKET_MS, FAULT_MS, 0).orElseThrow().recoveryMs())
        .isEqualTo(RecoveryTime.NOT_RECOVERED);
  }

  /**
   * Guards against a recovery time computed from too little work before the fault, from the
   * warm-up, or without a whole window after the fault.
   */
  @Test
  void tooLittleWorkBeforeOrAfterTheFaultGivesNoResult() {
    long[] useful = new long[200];
    Arrays.fill(useful, 3);
    assertThat(RecoveryTime.of(useful, BUCKET_MS, FAULT_MS, 0)).isEqualTo(Optional.empty());
    Arrays.fill(useful, 100);
    assertThat(RecoveryTime.of(useful, BUCKET_MS, FAULT_MS, 9_800)).isEqualTo(Optional.empty());
    assertThat(RecoveryTime.of(useful, BUCKET_MS, 19_800, 0)).isEqualTo(Optional.empty());
  }
}
