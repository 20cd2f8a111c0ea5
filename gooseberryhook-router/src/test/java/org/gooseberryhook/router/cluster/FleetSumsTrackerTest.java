package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FleetSumsTrackerTest {

  private static final String KEY = FleetSums.arrivalKey("model", 1);

  private static FleetSumsTracker tracker(int others, long amount) {
    FleetSumsTracker tracker = new FleetSumsTracker(() -> others);
    tracker.setSource(nowMs -> new FleetSums(Map.of(KEY, amount)));
    tracker.refresh(0);
    return tracker;
  }

  /** Guards against demand that counts twice, at the node that has it and in the source's sum. */
  @Test
  void nodesThatFollowOneSourceAllKnowTheSameSum() {
    FleetSumsTracker source = tracker(2, 5);
    FleetSumsTracker first = tracker(2, 7);
    FleetSumsTracker second = tracker(2, 11);
    for (int round = 0; round < 3; round++) {
      source.replaceFollower("first", first.nextSent());
      source.replaceFollower("second", second.nextSent());
      first.onTotal(source.total());
      second.onTotal(source.total());
    }
    for (FleetSumsTracker node : new FleetSumsTracker[] {source, first, second}) {
      assertThat(node.total().amount(KEY)).isEqualTo(23);
      assertThat(node.nodeCount()).isEqualTo(3);
      assertThat(node.isComplete()).isTrue();
    }
  }

  /** Guards against decisions on old demand by a node that lost its source or was suspended. */
  @Test
  void aNodeWithoutAmountsOfOthersFallsBackToItsOwn() {
    FleetSumsTracker node = tracker(3, 7);
    node.onTotal(new FleetSums(Map.of(KEY, 40L, FleetSums.NODES_KEY, 4L)));
    node.onSourceGone();
    assertThat(node.total().amount(KEY)).isEqualTo(7);
    assertThat(node.isComplete()).isFalse();
    node.replacePeer("a", new FleetSums(Map.of(KEY, 3L, FleetSums.NODES_KEY, 1L)));
    assertThat(node.isComplete()).isTrue();
    node.forgetOthers();
    assertThat(node.total().amount(KEY)).isEqualTo(7);
  }

  /** Guards against demand of a node that is gone, and of one whose report was lost. */
  @Test
  void aReportReplacesTheOneBeforeAndALostNodeLeavesTheSum() {
    FleetSumsTracker node = tracker(1, 7);
    node.replacePeer("a", new FleetSums(Map.of(KEY, 3L)));
    node.replacePeer("a", new FleetSums(Map.of(KEY, 4L)));
    assertThat(node.total().amount(KEY)).isEqualTo(11);
    node.replacePeer("a", FleetSums.NONE);
    assertThat(node.total().amount(KEY)).isEqualTo(7);
  }

  /** Guards against messages that grow with the number of workspaces. */
  @Test
  void amountsOfSmallWorkspacesAreLeftOutBeyondTheBound() {
    Map<String, Long> amounts = new HashMap<>(Map.of(KEY, 1L));
    for (int i = 1; i <= FleetSums.MAX_AMOUNTS; i++) {
      amounts.put(FleetSums.workspaceKey("model", 1, "w" + i), (long) i);
    }
    FleetSums bounded = new FleetSums(amounts).bounded();
    assertThat(bounded.amounts()).hasSize(FleetSums.MAX_AMOUNTS).containsKey(KEY);
    assertThat(bounded.amount(FleetSums.workspaceKey("model", 1, "w1"))).isZero();
  }
}
