package org.gooseberryhook.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Command that runs an experiment file against entry nodes and writes a report.
 *
 * @since 0.1
 */
@Parameters(commandDescription = "Run an experiment against entry nodes and write a report")
public final class LoadCommand {

  private static final int EXIT_VIOLATIONS = 1;

  @Parameter(names = "--experiment", required = true, description = "Experiment file (TOML)")
  private Path experimentFile;

  @Parameter(
      names = "--target",
      description = "Entry nodes to fetch addresses from, ip:port[,ip:port]; replaces [[variants]]")
  private List<String> targets = new ArrayList<>();

  @Parameter(names = "--out", description = "Directory that the report is written to")
  private Path outDirectory = Path.of("load-report");

  @Parameter(names = "--seed", description = "Seed; replaces the seed of the file")
  private Long seed;

  @Parameter(names = "--without-faults", description = "Ignore the faults of the file")
  private boolean ignoresFaults;

  @Parameter(
      names = "--embedded",
      description = "Run nodes and stand-ins that fit the experiment in this process")
  private boolean isEmbedded;

  @Parameter(
      names = "--base-port",
      description =
          "First port of embedded nodes; ports determine the home nodes; 0 for free ports")
  private int basePort;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  private final Map<String, FaultAction> actions;
  private final PrintStream out;

  /**
   * Creates a command without named fault actions: faults are HTTP requests, or with {@code
   * --embedded} the actions of the embedded cluster.
   */
  public LoadCommand() {
    this(Map.of(), System.out);
  }

  /**
   * Creates a command.
   *
   * @param actions fault actions by name
   * @param out stream that progress, summary and errors are printed to
   */
  public LoadCommand(Map<String, FaultAction> actions, PrintStream out) {
    this.actions = Map.copyOf(actions);
    this.out = out;
  }

  /**
   * Returns whether the help was requested.
   *
   * @return true for {@code --help}
   */
  public boolean isHelp() {
    return isHelp;
  }

  /**
   * Runs the experiment.
   *
   * @return 0 if the run ended without violations; 1 if it had violations, could not start or was
   *     interrupted
   */
  public int run() {
    try {
      ExperimentParser.Result parsed = ExperimentParser.parse(Files.readString(experimentFile));
      if (parsed instanceof ExperimentParser.Invalid invalid) {
        out.println("load: " + experimentFile + " has " + invalid.errors().size() + " errors:");
        invalid.errors().forEach(error -> out.println("  " + error));
        return EXIT_VIOLATIONS;
      }
      Experiment experiment = withOptions(((ExperimentParser.Valid) parsed).experiment());
      LoadResult result =
          isEmbedded
              ? runEmbedded(experiment)
              : new LoadGenerator(experiment, actions, this::printProgress).run();
      ExperimentReport.write(result, outDirectory);
      out.print(LoadSummary.of(result));
      out.println("report: " + outDirectory.resolve(ExperimentReport.HTML_FILE));
      return result.getViolationCount() == 0 ? 0 : EXIT_VIOLATIONS;
    } catch (IOException e) {
      out.println("load: " + e);
      return EXIT_VIOLATIONS;
    } catch (IllegalArgumentException e) {
      out.println("load: " + e.getMessage());
      return EXIT_VIOLATIONS;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      out.println("load: the run was interrupted; no report was written");
      return EXIT_VIOLATIONS;
    }
  }

  private LoadResult runEmbedded(Experiment experiment) throws IOException, InterruptedException {
    EmbeddedCluster cluster = new EmbeddedCluster(experiment, basePort);
    try {
      cluster.start();
      Map<String, FaultAction> all = new HashMap<>(cluster.getActions());
      all.putAll(actions);
      return new LoadGenerator(cluster.withClusterAddresses(experiment), all, this::printProgress)
          .run();
    } finally {
      cluster.stop();
    }
  }

  private Experiment withOptions(Experiment experiment) {
    Experiment changed = seed == null ? experiment : experiment.withSeed(seed);
    if (ignoresFaults) {
      changed = changed.withFaults(List.of());
    }
    if (targets.isEmpty()) {
      return changed;
    }
    return changed.withVariants(List.of(new Variant("target", targets)));
  }

  private void printProgress(LoadGenerator.Progress progress) {
    out.printf(
        "%4d s  arrived %7d  completed %7d  failed %5d  in flight %5d  violations %d%n",
        Math.round(progress.elapsedMs() / 1_000.0),
        progress.arrived(),
        progress.completed(),
        progress.failed(),
        progress.inFlight(),
        progress.violations());
  }
}
