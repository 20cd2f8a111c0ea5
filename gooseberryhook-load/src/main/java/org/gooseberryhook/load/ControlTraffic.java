package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Versioned;

/**
 * Measures the control traffic of membership and configuration in simulated time: bytes per node
 * and second, time until a change is in force, time to detect failed nodes, live nodes that were
 * marked dead (false alarms), processor time and heap.
 *
 * @since 0.1
 */
public final class ControlTraffic {

  private static final int WORKSPACE_COUNT = 37_000;
  private static final double CHANGES_PER_DAY = 3_400;
  private static final double SECONDS_PER_DAY = TimeUnit.DAYS.toSeconds(1);
  private static final long SECOND_NANOS = SimulatedCluster.SECOND_NANOS;
  private static final long LIMIT_NANOS = 300 * SECOND_NANOS;
  private static final int MAX_DEATHS = 10;
  private static final double MS_PER_NANO = 1e-6;

  @Parameter(names = "--nodes", description = "Numbers of nodes, separated by commas")
  private List<Integer> nodeCounts = List.of(9, 50, 100, 200, 390);

  @Parameter(names = "--seconds", description = "Simulated seconds of each measured phase")
  private int seconds = 600;

  @Parameter(names = "--seed", description = "Seed of all random choices")
  private long seed = 1;

  @Parameter(names = "--loss", description = "Share of the messages that are lost, 0 to 1")
  private double lossRate = 0.001;

  @Parameter(
      names = "--pause-seconds",
      description = "Mean seconds between pauses of a node of up to 1.5 s each")
  private double pauseSeconds = 3_600;

  @Parameter(names = "--partition-seconds", description = "Simulated seconds of the partition")
  private int partitionSeconds = 120;

  @Parameter(
      names = {"--help", "-h"},
      description = "Show this help",
      help = true)
  private boolean isHelp;

  private ControlTraffic() {}

  /**
   * Runs the measurement and prints it.
   *
   * @param args the command line; {@code --help} lists the options
   */
  public static void main(String[] args) {
    ControlTraffic program = new ControlTraffic();
    JCommander commander =
        JCommander.newBuilder().programName("ControlTraffic").addObject(program).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; use --help for the options");
      System.exit(2);
    }
    if (program.isHelp) {
      commander.usage();
      return;
    }
    program.run();
  }

  private void run() {
    print(
        "seed %d, loss %.4f, a pause every %.0f s, phases of %d s",
        seed, lossRate, pauseSeconds, seconds);
    long beforeBytes = usedHeapBytes();
    Configuration configuration = newConfiguration();
    long heapBytes = usedHeapBytes() - beforeBytes;
    print(
        "heap for %d contracts: %.1f MB, %d bytes each",
        configuration.contracts().size(), heapBytes / 1e6, heapBytes / WORKSPACE_COUNT);
    for (int nodeCount : nodeCounts) {
      measure(nodeCount, configuration);
    }
  }

  private void measure(int nodeCount, Configuration configuration) {
    SimulatedCluster cluster =
        new SimulatedCluster(nodeCount, lossRate, pauseSeconds, configuration, seed);
    long bootNanos = cluster.runUntilAgreed(LIMIT_NANOS);
    cluster.runFor(60 * SECOND_NANOS);
    print("");
    print("nodes %d: all agree after %.1f s from start", nodeCount, bootNanos / 1e9);
    measureIdle(nodeCount, cluster);
    printAlarms(cluster);
    measureChanges(cluster, configuration.version());
    printAlarms(cluster);
    measureDeaths(nodeCount, cluster);
    printAlarms(cluster);
    measureRestart(nodeCount, cluster);
    printAlarms(cluster);
    measurePartition(cluster);
    printAlarms(cluster);
  }

  private void measureIdle(int nodeCount, SimulatedCluster cluster) {
    long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    cluster.resetTraffic();
    cluster.runFor(seconds * SECOND_NANOS);
    cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNanos;
    printTraffic("idle", cluster.getTraffic(seconds));
    print(
        "  idle processor time: %.4f%% of a core per node, with the simulation itself",
        100.0 * cpuNanos / ((double) nodeCount * seconds * SECOND_NANOS));
  }

  private void measureChanges(SimulatedCluster cluster, long firstVersion) {
    long gapNanos = (long) (SECONDS_PER_DAY / CHANGES_PER_DAY * SECOND_NANOS);
    int count = (int) (seconds * SECOND_NANOS / gapNanos);
    SplittableRandom random = new SplittableRandom(seed);
    cluster.resetTraffic();
    for (int i = 1; i <= count; i++) {
      Contract contract = newContract(random.nextInt(WORKSPACE_COUNT), random);
      cluster.distribute(
          new ConfigurationLogEntry(
              firstVersion + i,
              "3f2a9c1e-0000-4000-8000-" + String.format(Locale.ROOT, "%012d", i),
              "operator@example.org",
              1_780_000_000_000L + i,
              new ConfigurationChange.PutContract(contract)));
      cluster.runFor(gapNanos);
    }
    printTraffic("3,400 changes/day", cluster.getTraffic(count * (double) gapNanos / SECOND_NANOS));
    printTimes("in force at a node", cluster.getInForceNanos());
    printTimes("in force everywhere", cluster.getEverywhereNanos());
    print("  same version at all nodes: %s", cluster.isSameVersion());
  }

  private void measureDeaths(int nodeCount, SimulatedCluster cluster) {
    int deaths = Math.min(MAX_DEATHS, nodeCount / 4);
    for (int i = 0; i < deaths; i++) {
      cluster.stopRandomNode();
      cluster.runFor(20 * SECOND_NANOS);
    }
    printTimes("detection of " + deaths + " deaths by each survivor", cluster.getDetectionNanos());
  }

  private void measureRestart(int nodeCount, SimulatedCluster cluster) {
    cluster.resetTraffic();
    long readyNanos = cluster.restartRandomNode(LIMIT_NANOS);
    double elapsed = Math.max(1, readyNanos) / 1e9;
    double bytes = cluster.getTraffic(1).meanBytesOutPerSecond() * nodeCount;
    print(
        "  restart: ready after %.2f s; %.2f MB sent by all nodes meanwhile", elapsed, bytes / 1e6);
    // On an ordinary day each node is restarted once, and 22 of 390 nodes fail.
    print(
        "  restarts of an ordinary day: %.0f B/s per node",
        bytes * (390 + 22) / 390 / SECONDS_PER_DAY);
    print("  all agree again after %.1f s", cluster.runUntilAgreed(LIMIT_NANOS) / 1e9);
  }

  private void measurePartition(SimulatedCluster cluster) {
    cluster.setPartitioned(true);
    cluster.resetTraffic();
    cluster.runFor(partitionSeconds * SECOND_NANOS);
    printTraffic("partition", cluster.getTraffic(partitionSeconds));
    cluster.setPartitioned(false);
    cluster.resetTraffic();
    long healedNanos = cluster.runUntilAgreed(LIMIT_NANOS);
    print("  regions agree %.1f s after the partition", healedNanos / 1e9);
    printTraffic("rejoin", cluster.getTraffic(Math.max(1, healedNanos / 1e9)));
  }

  private static void printTraffic(String phase, SimulatedCluster.Traffic traffic) {
    print(
        "  %s: %.0f B/s out per node (mean), %.1f messages/s; worst node out+in %.0f B/s",
        phase,
        traffic.meanBytesOutPerSecond(),
        traffic.messagesPerSecond(),
        traffic.maxBytesPerSecond());
  }

  private static void printAlarms(SimulatedCluster cluster) {
    print("  false alarms so far: %d", cluster.getFalseAlarms());
  }

  private static void printTimes(String name, List<Long> timesNanos) {
    if (timesNanos.isEmpty()) {
      print("  %s: no samples", name);
      return;
    }
    List<Long> sorted = new ArrayList<>(timesNanos);
    Collections.sort(sorted);
    print(
        "  %s: p50 %.0f ms, p99 %.0f ms, max %.0f ms (%d samples)",
        name,
        sorted.get(sorted.size() / 2) * MS_PER_NANO,
        sorted.get((int) (sorted.size() * 0.99)) * MS_PER_NANO,
        sorted.get(sorted.size() - 1) * MS_PER_NANO,
        sorted.size());
  }

  private Configuration newConfiguration() {
    SplittableRandom random = new SplittableRandom(seed);
    List<Versioned<ConfigurationChange>> records = new ArrayList<>();
    for (int i = 0; i < WORKSPACE_COUNT; i++) {
      records.add(
          new Versioned<>(i + 1, new ConfigurationChange.PutContract(newContract(i, random))));
    }
    return Configuration.ofRecords(WORKSPACE_COUNT, records);
  }

  private static Contract newContract(int number, SplittableRandom random) {
    List<String> keyDigests = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      StringBuilder digest = new StringBuilder();
      for (int word = 0; word < 4; word++) {
        digest.append(String.format(Locale.ROOT, "%016x", random.nextLong()));
      }
      keyDigests.add(digest.toString());
    }
    return new Contract(
        "workspace-" + number,
        PriorityClass.INTERACTIVE,
        1 + random.nextInt(100),
        200,
        1_000 + random.nextInt(100_000),
        200_000,
        100,
        Set.of("model-" + number % 11, "model-" + (number + 1) % 11),
        Set.of("booking", "stock"),
        370,
        53,
        10,
        60_000,
        keyDigests);
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void print(String format, Object... arguments) {
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }
}
