package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.junit.jupiter.api.Test;

/** Tests which limits hold for connections that were opened before a change. */
class CallerLimitsTest {

  private static final long GRACE_MS = CallerLimits.GRACE_MS;

  private RequestLimits configured = idle(5_000);
  private final CallerLimits limits = new CallerLimits(() -> Optional.of(configured));

  private static RequestLimits idle(long idleTimeoutMs) {
    return new RequestLimits(1, 1, 1, idleTimeoutMs);
  }

  private void change(long idleTimeoutMs, long nowMs) {
    configured = idle(idleTimeoutMs);
    limits.current(nowMs);
  }

  private void assertClosedAfter(long idleMs, long idleSinceMs) {
    assertThat(limits.isIdleTimeOver(idleSinceMs, idleSinceMs + idleMs)).isFalse();
    assertThat(limits.isIdleTimeOver(idleSinceMs, idleSinceMs + idleMs + 1)).isTrue();
  }

  /** Guards against a close on which requests of callers that know the new limit cross. */
  @Test
  void aRaisedLimitHoldsForConnectionsThatAreIdleAlready() {
    change(9_000, 101_000);
    assertClosedAfter(9_000 + GRACE_MS, 100_000);
  }

  /** Guards against a close of all connections at once while callers know the old limit. */
  @Test
  void aLoweredLimitHoldsOnlyForConnectionsThatBecomeIdleAfterTheGraceTime() {
    change(1_000, 101_000);
    assertClosedAfter(5_000 + GRACE_MS, 100_000);
    assertClosedAfter(5_000 + GRACE_MS, 101_000 + GRACE_MS);
    assertClosedAfter(1_000 + GRACE_MS, 101_000 + GRACE_MS + 1);
  }

  @Test
  void theLargestLimitHoldsAfterMoreChangesThanAreRemembered() {
    change(60_000, 100_500);
    for (int i = 1; i <= 2 * CallerLimits.MAX_PERIODS; i++) {
      change(1_000 + i, 100_500 + i);
    }
    assertClosedAfter(60_000 + GRACE_MS, 100_000);
  }

  /** Guards against 413 and 431 for requests within a limit that callers need not know yet. */
  @Test
  void aLoweredSizeAppliesAfterTheGraceTime() {
    configured = new RequestLimits(200, 100, 1, 1);
    limits.current(100_000);
    configured = new RequestLimits(20, 10, 1, 1);
    limits.current(101_000);
    long lastMs = 101_000 + GRACE_MS;
    assertThat(limits.largestSince(lastMs, lastMs)).isEqualTo(new RequestLimits(200, 100, 1, 1));
    assertThat(limits.largestSince(lastMs + 1, lastMs + 1)).isEqualTo(configured);
  }
}
