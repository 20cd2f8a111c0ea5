package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.gooseberryhook.coordination.AdmissionController;

/**
 * Measures useful throughput, in requests per second that complete within their deadline, during a
 * load of 1, 2 and 5 times the capacity and after it, with callers that retry. Each load runs in
 * simulated time with an admission controller and without one.
 *
 * @since 0.1
 */
public final class OverloadBench {

  private static final double[] LOADS = {1, 2, 5};
  private static final int MIN_LIMIT = 4;
  private static final int MAX_LIMIT = 1_000;
  private static final int MAX_QUEUED = 500;

  @Parameter(names = "--help", help = true, description = "Shows this text")
  private boolean isHelp;

  @Parameter(names = "--seed", description = "Seed of arrivals and retries")
  private long seed = 1;

  @Parameter(
      names = "--initial-limit",
      description = "Concurrency limit at first; the engines batch 100 requests")
  private int initialLimit = 50;

  private OverloadBench() {}

  /**
   * Runs the measurement and prints the report.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    OverloadBench bench = new OverloadBench();
    JCommander commander =
        JCommander.newBuilder().programName("OverloadBench").addObject(bench).build();
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
    bench.run();
  }

  private void run() {
    System.out.printf(
        "Capacity %.0f/s, phases of %d s at 0.8, the load below, and 0.8 times it; seed %d%n",
        OverloadSimulation.CAPACITY_PER_SECOND, OverloadSimulation.PHASE_SECONDS, seed);
    System.out.println(
        "gate  load  useful/s  of 1x  batch/s  refused/s  after/s  recovery s  queue  limit");
    for (boolean hasController : new boolean[] {true, false}) {
      double usefulAtCapacity = 0;
      for (double load : LOADS) {
        AdmissionController controller =
            hasController
                ? new AdmissionController(initialLimit, MIN_LIMIT, MAX_LIMIT, MAX_QUEUED)
                : null;
        OverloadSimulation.Result result = new OverloadSimulation(controller, load, seed).run();
        usefulAtCapacity = load == 1 ? result.raisedUseful() : usefulAtCapacity;
        System.out.printf(
            "%-4s  %3.0fx  %8.1f  %5.3f  %7.1f  %9.1f  %7.1f  %10d  %5d  %5.0f%n",
            hasController ? "yes" : "no",
            load,
            result.raisedUseful(),
            result.raisedUseful() / usefulAtCapacity,
            result.raisedUsefulBatch(),
            result.raisedRejected(),
            result.afterUseful(),
            result.recoverySeconds(),
            result.maxQueued(),
            result.raisedLimit());
      }
    }
  }
}
