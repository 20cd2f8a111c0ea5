package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.ServiceResult;
import org.junit.jupiter.api.Test;

class OnceCallTest {

  private static final int DISTORTED_RUNS = 1_000;

  /**
   * Guards against calls that take effect twice, false results and claims that stay open after
   * message loss, late writes, node pauses and node crashes.
   */
  @Property(tries = 8_000, seed = "21")
  void aKeyTakesEffectAtMostOnceAndResultsAreTrue(
      @ForAll @Size(max = 90) List<@IntRange(min = 0, max = 63) Integer> choices,
      @ForAll boolean hasLookup) {
    assertThat(new OnceCallSimulation(choices, hasLookup, UnaryOperator.identity()).run())
        .isEmpty();
  }

  /**
   * Guards against a simulation that never reaches some outcomes, so that the properties above
   * would not cover them.
   */
  @Test
  void everyOutcomeIsReached() {
    Set<Outcome> reached = EnumSet.noneOf(Outcome.class);
    for (long seed = 0; seed < 200; seed++) {
      OnceCallSimulation simulation =
          new OnceCallSimulation(choicesOf(seed), true, UnaryOperator.identity());
      assertThat(simulation.run()).isEmpty();
      simulation.getResults().forEach(result -> reached.add(result.outcome()));
    }
    assertThat(reached).containsExactlyInAnyOrder(Outcome.values());
  }

  /** Checks that the oracle reports a dispatch without a confirmed claim. */
  @Test
  void theOracleCatchesADispatchAfterAnUnknownClaim() {
    assertThat(
            runDistorted(
                event ->
                    event instanceof OnceEvent.WriteUnknown ? new OnceEvent.Written(99) : event))
        .anyMatch(fault -> fault.contains("effects of"));
  }

  /** Checks that the oracle reports a not-run result that is not certain. */
  @Test
  void theOracleCatchesNotRunAfterALostDispatchResponse() {
    assertThat(
            runDistorted(
                event ->
                    event instanceof OnceEvent.Dispatched dispatched
                            && dispatched.result() instanceof ServiceResult.AnswerLost
                        ? new OnceEvent.Dispatched(new ServiceResult.NotSent("treated as not sent"))
                        : event))
        .anyMatch(fault -> fault.contains("effects of"))
        .anyMatch(fault -> fault.contains("false not-run"));
  }

  /** Checks that the oracle reports claims that take effect late and stay open. */
  @Test
  void theOracleCatchesAnUnknownClaimTreatedAsRefused() {
    assertThat(
            runDistorted(
                event ->
                    event instanceof OnceEvent.WriteUnknown ? new OnceEvent.NotApplied("") : event))
        .anyMatch(fault -> fault.contains("claim left open"));
  }

  /** Checks that the oracle reports lost responses whose outcome is never settled. */
  @Test
  void theOracleCatchesACallThatIsNeverLookedUp() {
    LookupResult none = new LookupResult.Unavailable("lookup disabled");
    assertThat(
            runDistorted(
                event ->
                    event instanceof OnceEvent.LookedUp ? new OnceEvent.LookedUp(none) : event))
        .anyMatch(fault -> fault.contains("left unsettled"));
  }

  private static List<String> runDistorted(UnaryOperator<OnceEvent> distortion) {
    List<String> faults = new ArrayList<>();
    for (long seed = 0; seed < DISTORTED_RUNS; seed++) {
      faults.addAll(new OnceCallSimulation(choicesOf(seed), true, distortion).run());
    }
    return faults;
  }

  private static List<Integer> choicesOf(long seed) {
    return new Random(seed).ints(90, 0, 64).boxed().toList();
  }
}
