package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.junit.jupiter.api.Test;

/** Guards against loads that are counted twice or not at all when they are summed on the way. */
class LoadAggregationTest {

  private static Map<String, InFlightLoad> load(int requests) {
    return Map.of("t", new InFlightLoad(requests, 100L * requests));
  }

  private final LoadAggregation aggregation = new LoadAggregation();

  @Test
  void aNodeSendsTheLoadsOfItselfAndItsFollowers() {
    aggregation.replaceFollower("a", load(2));
    aggregation.replaceFollower("b", load(3));
    assertThat(aggregation.nextSent(load(1))).isEqualTo(load(6));
    aggregation.replaceFollower("a", Map.of());
    assertThat(aggregation.nextSent(load(1))).isEqualTo(load(4));
  }

  @Test
  void theLoadsOfOthersContainNeitherOwnOnesNorThoseOfFollowersTwice() {
    aggregation.replaceFollower("a", load(2));
    aggregation.nextSent(load(1));
    aggregation.onTotal(load(10));
    assertThat(aggregation.others()).isEqualTo(load(9));
  }

  @Test
  void aFollowersNewLoadCountsBeforeTheSourceHasIt() {
    aggregation.replaceFollower("a", load(2));
    aggregation.nextSent(load(1));
    aggregation.onTotal(load(10));
    aggregation.replaceFollower("a", load(5));
    assertThat(aggregation.others()).isEqualTo(load(12));
  }

  @Test
  void withoutASourceOnlyTheFollowersCount() {
    aggregation.replaceFollower("a", load(2));
    aggregation.onTotal(load(10));
    aggregation.onSourceGone();
    assertThat(aggregation.others()).isEqualTo(load(2));
  }
}
