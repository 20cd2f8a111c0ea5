package org.gooseberryhook.router.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against spares that are used up between two targets of a release. */
class MembershipWatchTest {

  private static final TargetEntry OLD = TestFleet.engine(1, "a", "large", 0, 80);
  private static final TargetEntry NEW = TestFleet.engine(2, "a", "large");

  private final MembershipWatch watch = new MembershipWatch();

  private boolean isSteadyAfterAWhile(TargetEntry... entries) {
    watch.isSteady(List.of(entries), 0);
    return watch.isSteady(List.of(entries), MembershipWatch.STEADY_MS);
  }

  @Test
  void aServiceWhoseTargetsJoinOrAnnounceTheirLeavingIsNotSteady() {
    assertThat(isSteadyAfterAWhile(OLD)).isTrue();
    assertThat(watch.isSteady(List.of(OLD, NEW), MembershipWatch.STEADY_MS)).isFalse();
    assertThat(watch.isSteady(List.of(OLD.asLeaving(), NEW), 9_000)).isFalse();
    assertThat(watch.isSteady(List.of(NEW), 9_000 + MembershipWatch.STEADY_MS - 1)).isFalse();
    assertThat(watch.isSteady(List.of(NEW), 9_000 + MembershipWatch.STEADY_MS)).isTrue();
  }

  @Test
  void newLayersAndLostTargetsLeaveAServiceSteady() {
    assertThat(isSteadyAfterAWhile(OLD, NEW)).isTrue();
    TargetEntry loaded = NEW.withLayers(OLD.layers());
    assertThat(watch.isSteady(List.of(loaded), MembershipWatch.STEADY_MS)).isTrue();
  }

  @Test
  void aReleaseLastsForAWhileAfterTheLastAnnouncement() {
    watch.isSteady(List.of(OLD, NEW), 0);
    assertThat(watch.isReleasing(0)).isFalse();
    watch.isSteady(List.of(OLD.asLeaving(), NEW), 1_000);
    watch.isSteady(List.of(OLD.asLeaving(), NEW), 2_000);
    assertThat(watch.isReleasing(MembershipWatch.RELEASE_MS + 999)).isTrue();
    assertThat(watch.isReleasing(MembershipWatch.RELEASE_MS + 1_000)).isFalse();
  }
}
