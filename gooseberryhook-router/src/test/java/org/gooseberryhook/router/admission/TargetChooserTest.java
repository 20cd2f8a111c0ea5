package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against requests that go to failing, already tried or full targets. */
class TargetChooserTest {

  private final LoadTracker loads = new LoadTracker();
  private final TargetChooser chooser = new TargetChooser(loads);
  private final TargetEntry first = TestFleet.engine(1, "a", "large");
  private final TargetEntry second = TestFleet.engine(2, "a", "large");

  @Test
  void theTargetWithFewerRequestsIsChosen() {
    loads.add(first.id(), 0);
    assertThat(chooser.choose(List.of(first, second), Set.of(), t -> 0, t -> 0)).contains(second);
  }

  @Test
  void aTargetIsNotTriedTwice() {
    assertThat(chooser.choose(List.of(first), Set.of(first.id()), t -> 0, t -> 0)).isEmpty();
  }

  @Test
  void aFailingTargetIsChosenLast() {
    loads.add(second.id(), 0);
    assertThat(chooser.choose(List.of(first, second), Set.of(), t -> t == first ? 3 : 0, t -> 0))
        .contains(second);
  }

  @Test
  void aFullTargetIsNotChosen() {
    for (int i = 0; i < first.slots() * TargetChooser.MAX_REQUESTS_PER_SLOT; i++) {
      loads.add(first.id(), 0);
    }
    assertThat(chooser.choose(List.of(first), Set.of(), t -> 0, t -> 0)).isEmpty();
  }
}
