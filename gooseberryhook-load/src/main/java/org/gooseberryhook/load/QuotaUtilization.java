package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Locale;
import org.gooseberryhook.load.QuotaScenario.Pattern;

/**
 * Measures in simulated time which share of the contracts' bounds workspaces can use, how long
 * requests wait, and the bytes and messages per second that quota control costs each node. Node
 * counts and demand patterns vary.
 *
 * @since 0.1
 */
public final class QuotaUtilization {

  @Parameter(names = "--nodes", description = "Node counts")
  private List<Integer> nodeCounts = List.of(3, 9, 50, 100, 200, 390);

  @Parameter(names = "--patterns", description = "Demand patterns")
  private List<Pattern> patterns = List.of(Pattern.values());

  @Parameter(names = "--spread", description = "Nodes that callers of one workspace use")
  private int spread = Integer.MAX_VALUE;

  @Parameter(names = "--workspaces", description = "Number of workspaces")
  private int workspaces = 24;

  @Parameter(
      names = "--rps-per-node",
      description = "Sum of the request bounds per node and second")
  private double requestsPerSecondPerNode = 123;

  @Parameter(names = "--overload", description = "Offered load as a multiple of the bound")
  private double overload = 1.3;

  @Parameter(names = "--seconds", description = "Measured simulated seconds after the warm-up")
  private int seconds = 20;

  @Parameter(names = "--seed", description = "Seed of the random numbers")
  private long seed = 1;

  @Parameter(names = "--help", help = true, description = "Show this text")
  private boolean isHelp;

  private QuotaUtilization() {}

  /**
   * Runs the measurement and prints a table.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    QuotaUtilization program = new QuotaUtilization();
    JCommander commander =
        JCommander.newBuilder().programName("QuotaUtilization").addObject(program).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(2);
    }
    if (program.isHelp) {
      commander.usage();
      return;
    }
    program.run();
  }

  private void run() {
    System.out.printf(
        "seed %d, %d workspaces, %.0f requests/s per node, load %.2f of the bound, %d s%n",
        seed, workspaces, requestsPerSecondPerNode, overload, seconds);
    System.out.println(
        "nodes pattern    used%  least%  waitP99ms  B/s/node(mean)  B/s/node(max)  messages/s");
    for (Pattern pattern : patterns) {
      for (int nodes : nodeCounts) {
        QuotaScenario scenario =
            new QuotaScenario(
                nodes,
                Math.min(spread, nodes),
                workspaces,
                requestsPerSecondPerNode,
                overload,
                pattern,
                seed);
        QuotaScenario.Report report = scenario.run(seconds);
        System.out.printf(
            Locale.ROOT,
            "%5d %-10s %5.1f  %6.1f  %9d  %14.0f  %13.0f  %15.1f%n",
            nodes,
            pattern,
            report.usedShare() * 100,
            report.lowestShare() * 100,
            report.waitP99Ms(),
            report.meanBytesPerSecond(),
            report.maxBytesPerSecond(),
            report.messagesPerSecond());
      }
    }
  }
}
