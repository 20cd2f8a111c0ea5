package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.gooseberryhook.router.admission.RetryBounds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RouterSettingsTest {

  /** Guards against a short grace period most of which a stopping node does not use. */
  @ParameterizedTest
  @ValueSource(longs = {600, 1_500, 3_000, 4_000, 8_000, 30_000})
  void requestsInProgressHaveFiveSixthsOfTheGracePeriod(long graceMs) {
    NodeAddresses addresses = new NodeAddresses("", "", Optional.empty(), "", "");
    RetryBounds retries = new RetryBounds(0.2, 100, 10_000);
    RouterSettings settings = new RouterSettings("n", "a", addresses, 1, retries, graceMs, 2);
    assertThat(settings.abortAfterMs()).isBetween(graceMs * 5 / 6, graceMs - 1);
  }
}
