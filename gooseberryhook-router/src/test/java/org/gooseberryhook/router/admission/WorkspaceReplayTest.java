package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.junit.jupiter.api.Test;

/**
 * Replays 80 nodes with 24 workspaces, the first of which asks for ten times as much as each other,
 * beyond the capacity. Guards against a workspace that takes the room of all others by sending
 * more. The demand of other nodes is known late, and reports get lost.
 */
class WorkspaceReplayTest {

  private static final int NODES = 80;
  private static final int WORKSPACES = 24;
  private static final int LARGE_FACTOR = 10;
  private static final double CAPACITY_PER_SECOND = 110;
  private static final long COST = 1_000;
  private static final long RUN_MS = 40_000;
  private static final long WARM_UP_MS = 10_000;
  private static final long REPORT_MS = 350;
  private static final long WAIT_MS = 200;

  /** Share of the demand that has rank 0; the rest has rank 1. */
  private static final double URGENT_SHARE = 0.3;

  private record Waiting(int node, int rank, int workspace, double draw, long expiryMs) {}

  /** Knowledge and decisions of a node. */
  private static final class Node {
    final DemandTracker demand = new DemandTracker();
    final WorkspaceDemand workspaces = new WorkspaceDemand();
    final WorkspaceShares shares = new WorkspaceShares();
    final FleetSumsTracker sums = new FleetSumsTracker(() -> NODES - 1);
    final PriorityAdmission priority;

    Node(int number, boolean isFair) {
      sums.setSource(nowMs -> demand.own(nowMs).plus(workspaces.own(nowMs, service -> true)));
      priority =
          new PriorityAdmission(
              sums,
              service -> Set.of(0, 1),
              service -> new ServiceRoom(0, CAPACITY_PER_SECOND * COST),
              isFair ? shares : (service, rank, workspace, fraction) -> fraction,
              () -> NODES,
              new SplittableRandom(number),
              (service, threshold, room) -> {});
    }

    boolean isAdmitted(Waiting request, long nowMs) {
      shares.refresh(sums.total(), nowMs);
      return priority.check("m", request.rank(), "w" + request.workspace(), request.draw(), nowMs)
          instanceof AdmissionVerdict.Admit;
    }
  }

  /** Served share of each workspace after the warm-up; the first one is large. */
  private record Outcome(double[] shares, double average) {
    double smallest() {
      return Arrays.stream(shares).skip(1).min().orElseThrow();
    }

    double meanOfSmall() {
      return Arrays.stream(shares).skip(1).average().orElseThrow();
    }

    double worstTenth() {
      return Arrays.stream(shares).sorted().limit(WORKSPACES / 10).average().orElseThrow();
    }

    void print(String name) {
      StringBuilder line = new StringBuilder(String.format("%s average %.3f:", name, average));
      Arrays.stream(shares).forEach(share -> line.append(String.format(" %.3f", share)));
      System.out.println(line);
    }
  }

  /** Replays a demand; from a time on, the reports of some nodes reach no other node. */
  private static Outcome replay(double factor, boolean isFair, int silentNodes, long silentFromMs) {
    Random random = new Random(7);
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(i, isFair));
    }
    List<Waiting> waiting = new ArrayList<>();
    double[] offered = new double[WORKSPACES];
    double[] served = new double[WORKSPACES];
    double room = 0;
    for (long nowMs = 0; nowMs < RUN_MS; nowMs++) {
      report(nodes, random, nowMs, nowMs < silentFromMs ? 0 : silentNodes);
      room = Math.min(CAPACITY_PER_SECOND / 10, room + CAPACITY_PER_SECOND / 1_000);
      if (random.nextDouble() < factor * CAPACITY_PER_SECOND / 1_000) {
        int pick = random.nextInt(WORKSPACES + LARGE_FACTOR - 1);
        int workspace = Math.max(0, pick - LARGE_FACTOR + 1);
        int rank = random.nextDouble() < URGENT_SHARE ? 0 : 1;
        Node node = nodes.get(random.nextInt(NODES));
        node.demand.recordArrival("m", rank, COST, nowMs);
        node.workspaces.recordArrival("m", rank, "w" + workspace, COST, nowMs);
        offered[workspace] += nowMs < WARM_UP_MS ? 0 : 1;
        waiting.add(
            new Waiting(
                nodes.indexOf(node), rank, workspace, random.nextDouble(), nowMs + WAIT_MS));
      }
      for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
        Waiting request = all.next();
        boolean isRejected = !nodes.get(request.node()).isAdmitted(request, nowMs);
        boolean isServed = !isRejected && room >= 1;
        if (isServed) {
          room--;
          served[request.workspace()] += nowMs < WARM_UP_MS ? 0 : 1;
        }
        if (isRejected || isServed || nowMs >= request.expiryMs()) {
          all.remove();
        }
      }
    }
    double average = Arrays.stream(served).sum() / Arrays.stream(offered).sum();
    Arrays.setAll(served, i -> served[i] / offered[i]);
    return new Outcome(served, average);
  }

  /**
   * Passes sums along a relay whose source is the last node; one message in 20 is lost. A silent
   * node sends none and leaves the sums, but still hears the others.
   */
  private static void report(List<Node> nodes, Random random, long nowMs, int silentNodes) {
    FleetSumsTracker source = nodes.get(NODES - 1).sums;
    for (int i = 0; i < NODES; i++) {
      FleetSumsTracker sums = nodes.get(i).sums;
      if ((nowMs + i * 37L) % REPORT_MS != 0) {
        continue;
      }
      sums.refresh(nowMs);
      if (sums != source && i < silentNodes) {
        source.replaceFollower("node-" + i, FleetSums.NONE);
        sums.onSourceGone();
        sums.onTotal(source.total());
      } else if (sums != source && random.nextInt(20) != 0) {
        source.replaceFollower("node-" + i, sums.nextSent());
        sums.onTotal(source.total());
      }
    }
  }

  private static void assertFair(Outcome outcome) {
    assertThat(outcome.meanOfSmall()).isGreaterThan(1.1 * outcome.average());
    assertThat(outcome.smallest()).isGreaterThan(0.9 * outcome.average());
    assertThat(outcome.shares()[0]).isGreaterThan(0.25 * outcome.average());
    assertThat(outcome.worstTenth()).isGreaterThan(0.5 * outcome.average());
  }

  @Test
  void aWorkspaceThatAsksForTenTimesItsShareDoesNotTakeTheRoomOfOthers() {
    for (double factor : new double[] {1.5, 3}) {
      Outcome before = replay(factor, false, 0, 0);
      Outcome after = replay(factor, true, 0, 0);
      before.print(factor + " times, without shares,");
      after.print(factor + " times, with shares,");
      assertThat(before.meanOfSmall()).isLessThan(1.1 * before.average());
      assertFair(after);
    }
  }

  /** Guards against shares that fail when most nodes are not heard any more. */
  @Test
  void sharesStayFairWhenTheReportsOfMostNodesAreLost() {
    Outcome outcome = replay(1.5, true, 50, 15_000);
    outcome.print("1.5 times, reports of 50 nodes lost,");
    assertFair(outcome);
  }
}
