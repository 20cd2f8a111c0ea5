package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.EnumMap;
import java.util.Map;
import org.gooseberryhook.load.RoutingSimulation.Policy;
import org.gooseberryhook.load.RoutingSimulation.Result;

/**
 * Measures routing: the time of a decision for growing fleets, in nanoseconds, and the completion
 * times of requests in simulated time, in milliseconds, compared with a full scan and with perfect
 * knowledge.
 *
 * @since 0.1
 */
public final class RoutingBench {

  private static final int[] FLEETS = {30, 300, 3_700};
  private static final int WARM_UP_ROUNDS = 3;
  private static final int ROUNDS = 10;

  @Parameter(names = "--help", help = true, description = "Shows this text")
  private boolean isHelp;

  @Parameter(names = "--seed", description = "Seed of the fleet and the requests")
  private long seed = 1;

  @Parameter(names = "--decisions", description = "Decisions in each round and fleet")
  private int decisions = 20_000;

  @Parameter(names = "--pipelines", description = "Pipelines in the simulation")
  private int pipelines = 150;

  @Parameter(names = "--seconds", description = "Simulated seconds, 30% of them warm-up")
  private int seconds = 100;

  @Parameter(
      names = "--load",
      description = "Offered load as a share of the capacity without any cached prompt")
  private double load = 0.9;

  @Parameter(names = "--skip-timing", description = "Leaves out the decision times")
  private boolean isTimingSkipped;

  private RoutingBench() {}

  /**
   * Runs the measurement and prints the report.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    RoutingBench bench = new RoutingBench();
    JCommander commander =
        JCommander.newBuilder().programName("RoutingBench").addObject(bench).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(2);
    }
    if (bench.isHelp) {
      commander.usage();
      return;
    }
    if (!bench.isTimingSkipped) {
      bench.timeDecisions();
    }
    bench.simulate();
  }

  private void timeDecisions() {
    DecisionTimer[] timers = new DecisionTimer[FLEETS.length];
    for (int i = 0; i < FLEETS.length; i++) {
      timers[i] = new DecisionTimer(FLEETS[i], seed);
    }
    // The fleets alternate, so that other load on the machine affects all of them alike.
    for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
      for (DecisionTimer timer : timers) {
        timer.runRound(decisions, round >= WARM_UP_ROUNDS);
      }
    }
    System.out.println("Decision time, one thread, pipelines of 8 stages");
    System.out.println(
        "pipel.    mean ns     p99 ns  full scan ns  refresh ms  compose ms  change ms");
    for (int i = 0; i < FLEETS.length; i++) {
      System.out.println(timers[i].describe(FLEETS[i]));
    }
    double growth = timers[FLEETS.length - 1].meanNanos() / timers[0].meanNanos();
    System.out.printf("growth of the mean from 30 to 3700: %.2f (goal: at most 3)%n%n", growth);
  }

  private void simulate() {
    System.out.printf(
        "Completion in simulated time, %d pipelines, load %.2f, %d s, seed %d%n",
        pipelines, load, seconds, seed);
    System.out.println("policy                    requests  mean ms   p95 ms  first token ms");
    Map<Policy, Result> results = new EnumMap<>(Policy.class);
    for (Policy policy : Policy.values()) {
      Result result = new RoutingSimulation(policy, pipelines, load, seconds, seed).run();
      results.put(policy, result);
      System.out.printf(
          "%-24s  %8d  %7.0f  %7.0f  %14.0f%n",
          policy,
          result.completed(),
          result.meanCompletionMs(),
          result.p95CompletionMs(),
          result.meanFirstTokenMs());
    }
    double router = results.get(Policy.ROUTER).meanCompletionMs();
    System.out.printf(
        "router / full scan: %.3f (goal: at most 1.05), router / perfect knowledge: %.3f%n",
        router / results.get(Policy.FULL_SCAN).meanCompletionMs(),
        router / results.get(Policy.PERFECT_KNOWLEDGE).meanCompletionMs());
  }
}
