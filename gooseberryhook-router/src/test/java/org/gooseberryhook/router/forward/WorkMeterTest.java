package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class WorkMeterTest {

  private long nowNanos;
  private final WorkMeter meter = new WorkMeter(() -> nowNanos);

  /** Guards against time that counts twice, so that the sum exceeds what the loop did. */
  @Test
  void workWithinOtherWorkCountsForItsOwnKindOnly() {
    meter.run(
        "outer",
        () -> {
          nowNanos += 3_000;
          meter.run("inner", () -> nowNanos += 5_000);
          nowNanos += 1_000;
        });
    assertThat(meter.takeInterval()).containsEntry("outer", "1/4").containsEntry("inner", "1/5");
    assertThat(meter.takeInterval()).isEmpty();
  }

  @Test
  void workThatThrowsIsMeasured() {
    Runnable failing =
        () -> {
          nowNanos += 2_000;
          throw new IllegalStateException();
        };
    assertThatThrownBy(() -> meter.run("failing", failing))
        .isInstanceOf(IllegalStateException.class);
    assertThat(meter.takeInterval()).containsEntry("failing", "1/2");
  }
}
