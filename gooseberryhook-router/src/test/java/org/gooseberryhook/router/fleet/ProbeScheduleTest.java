package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how many probes a fleet sends to a failed target. Guards against probes that grow with the
 * number of nodes: 95 nodes sent 27,791 of them on one day.
 */
class ProbeScheduleTest {

  private static List<String> names(int nodes) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      names.add("front-" + i);
    }
    return names;
  }

  private static double probesPerSecond(int nodes, String address) {
    double sum = 0;
    for (String self : names(nodes)) {
      List<String> others = new ArrayList<>(names(nodes));
      others.remove(self);
      sum += 1_000.0 / ProbeSchedule.intervalMs(self, others, address);
    }
    return sum;
  }

  @Test
  void aFailedTargetOfALargeFleetGetsFewProbesFromMostNodes() {
    assertThat(probesPerSecond(3, "10.0.0.1:80")).isEqualTo(6);
    assertThat(probesPerSecond(21, "10.0.0.1:80")).isLessThan(12);
    assertThat(probesPerSecond(95, "10.0.0.1:80")).isLessThan(31);
  }

  @Test
  void threeNodesProbeATargetOftenAndTheTargetsAreSpreadOverTheNodes() {
    List<String> names = names(40);
    Set<String> probers = new HashSet<>();
    for (int target = 0; target < 30; target++) {
      int frequent = 0;
      for (String self : names) {
        List<String> others = new ArrayList<>(names);
        others.remove(self);
        long intervalMs = ProbeSchedule.intervalMs(self, others, "10.0.0." + target + ":80");
        if (intervalMs == ProbeSchedule.INTERVAL_MS) {
          frequent++;
          probers.add(self);
        }
      }
      assertThat(frequent).isEqualTo(3);
    }
    assertThat(probers).hasSizeGreaterThan(25);
  }

  /** Guards against probes by each node for each long gap: 38,863 of them on a day of 79 nodes. */
  @Test
  void aLargeFleetLooksForSlowTargetsMoreSeldom() {
    assertThat(ProbeSchedule.paceIntervalMs(7)).isEqualTo(1_000);
    assertThat(ProbeSchedule.paceIntervalMs(79)).isEqualTo(7_900);
    assertThat(ProbeSchedule.paceIntervalMs(390)).isEqualTo(8_000);
  }

  /** Guards against probes that grow with the fleet, up to the size to design for. */
  @ParameterizedTest
  @ValueSource(ints = {14, 109, 390})
  void aLostTargetOfALargeFleetGetsOneProbeASecondAtMost(int nodes) {
    double sum = 0;
    for (int rank = 0; rank < nodes; rank++) {
      sum += 1_000.0 / ProbeSchedule.suspectIntervalMs(rank, nodes);
    }
    assertThat(sum).isBetween(0.8, 1.0);
  }

  /** Guards against each node without the store probing a whole data centre for each refusal. */
  @Test
  void nodesWithTheSameReasonShareTheProbesOfManyTargets() {
    assertThat(ProbeSchedule.sharedCount(33, 1)).isEqualTo(33);
    assertThat(ProbeSchedule.sharedCount(33, 3)).isEqualTo(33);
    assertThat(ProbeSchedule.sharedCount(33, 36)).isEqualTo(3);
    assertThat(ProbeSchedule.sharedCount(33, 390)).isEqualTo(1);
  }

  /** Guards against all nodes trying a target together that its probers report as lost. */
  @Test
  void nodesThatAreNoProbersOfALostTargetTryItOneAfterTheOther() {
    assertThat(ProbeSchedule.explorationDelayMs(2)).isZero();
    assertThat(ProbeSchedule.explorationDelayMs(3)).isEqualTo(20_000);
    assertThat(ProbeSchedule.explorationDelayMs(108)).isEqualTo(106 * 20_000);
  }
}
