package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.junit.jupiter.api.Test;

/** Tests the demand of workspaces and its division. */
class WorkspaceSharesTest {

  private static WorkspaceShares shares(Map<String, Long> demand, long unnamed) {
    Map<String, Long> amounts = new HashMap<>();
    demand.forEach((name, amount) -> amounts.put(FleetSums.workspaceKey("m", 1, name), amount));
    long named = demand.values().stream().mapToLong(Long::longValue).sum();
    amounts.put(FleetSums.workspaceTotalKey("m", 1), named + unnamed);
    WorkspaceShares shares = new WorkspaceShares();
    shares.refresh(new FleetSums(amounts), 0);
    return shares;
  }

  /** Guards against shares that starve a workspace, or that change what the rank gets. */
  @Property(tries = 500, seed = "23")
  void theDivisionIsBoundedKeepsTheRankFractionAndIsMonotoneInDemand(
      @ForAll @Size(min = 1, max = 40) List<@LongRange(min = 1, max = 1_000_000_000) Long> demands,
      @ForAll @LongRange(max = 1_000_000_000) long unnamed,
      @ForAll @DoubleRange(min = 0, max = 1) double rankFraction) {
    Map<String, Long> byName = new HashMap<>();
    demands.forEach(demand -> byName.put("w" + byName.size(), demand));
    WorkspaceShares shares = shares(byName, unnamed);
    double ofUnnamed = shares.admittedFraction("m", 1, "further", rankFraction);
    double admitted = unnamed * ofUnnamed;
    double worst = ofUnnamed;
    for (Map.Entry<String, Long> one : byName.entrySet()) {
      double fraction = shares.admittedFraction("m", 1, one.getKey(), rankFraction);
      assertThat(fraction).isBetween(WorkspaceShares.MIN_SHARE * rankFraction, 1.0);
      admitted += fraction * one.getValue();
      worst = Math.min(worst, fraction);
      byName.forEach(
          (name, demand) -> {
            double other = shares.admittedFraction("m", 1, name, rankFraction);
            if (demand > one.getValue()) {
              assertThat(other).isLessThanOrEqualTo(fraction);
              assertThat(other * demand).isGreaterThanOrEqualTo(fraction * one.getValue() - 1e-6);
            }
          });
    }
    double total = demands.stream().mapToLong(Long::longValue).sum() + unnamed;
    assertThat(admitted / total).isCloseTo(rankFraction, within(1e-9));
    assertThat(worst).isLessThanOrEqualTo(rankFraction + 1e-9);
  }

  @Test
  void workspacesBelowTheLevelAreAdmittedWholeAndOthersByTheLevel() {
    WorkspaceShares shares = shares(Map.of("small", 10L, "middle", 40L, "large", 100L), 0);
    assertThat(shares.admittedFraction("m", 1, "small", 0.6)).isEqualTo(1);
    assertThat(shares.admittedFraction("m", 1, "middle", 0.6)).isCloseTo(1, within(1e-9));
    assertThat(shares.admittedFraction("m", 1, "large", 0.6)).isCloseTo(0.4, within(1e-9));
    assertThat(shares.admittedFraction("m", 1, "large", 1)).isEqualTo(1);
    assertThat(shares.heldBackCount("m", 1, 0.6)).isEqualTo(1);
    assertThat(shares.heldBackCount("m", 1, 1)).isZero();
    assertThat(shares.admittedFraction("m", 0, "large", 0.6)).isEqualTo(0.6);
  }

  /** Guards against old shares at a node that hears no others; it then uses its own demand. */
  @Test
  void aNodeThatHearsNoOthersDividesByItsOwnDemand() {
    WorkspaceDemand demand = new WorkspaceDemand();
    for (int i = 0; i < 30; i++) {
      demand.recordArrival("m", 1, i % 3 == 0 ? "few" : "many", 1_000, 100 * i);
    }
    FleetSumsTracker sums = new FleetSumsTracker(() -> 1);
    sums.setSource(nowMs -> demand.own(nowMs, service -> true));
    sums.refresh(3_000);
    sums.replacePeer("other", shared("few", 90_000_000));
    WorkspaceShares shares = new WorkspaceShares();
    shares.refresh(sums.total(), 3_000);
    assertThat(shares.admittedFraction("m", 1, "few", 0.5)).isLessThan(0.5);
    sums.forgetOthers();
    shares.refresh(sums.total(), 3_100);
    assertThat(shares.admittedFraction("m", 1, "few", 0.5)).isGreaterThan(0.6);
    assertThat(shares.admittedFraction("m", 1, "many", 0.5)).isBetween(0.125, 0.5);
  }

  private static FleetSums shared(String workspace, long amount) {
    return new FleetSums(
        Map.of(
            FleetSums.workspaceKey("m", 1, workspace), amount,
            FleetSums.workspaceTotalKey("m", 1), amount));
  }

  /** Guards against state that grows with the workspaces, and against one that hides in a crowd. */
  @Test
  void aLargeWorkspaceIsKeptByNameAmongThousandsOfSmallOnes() {
    WorkspaceDemand demand = new WorkspaceDemand();
    for (int i = 0; i < 20_000; i++) {
      demand.recordArrival("m", 1, i % 50 == 0 ? "large" : "w" + i, 1_000, i / 2);
    }
    FleetSums own = demand.own(10_000, service -> true);
    assertThat(own.workspaces("m", 1)).hasSizeLessThanOrEqualTo(WorkspaceDemand.MAX_WORKSPACES);
    double total = own.amount(FleetSums.workspaceTotalKey("m", 1));
    assertThat(own.workspaces("m", 1).get("large") / total).isBetween(0.018, 0.022);
    assertThat(demand.own(10_000, service -> false)).isEqualTo(FleetSums.NONE);
  }
}
