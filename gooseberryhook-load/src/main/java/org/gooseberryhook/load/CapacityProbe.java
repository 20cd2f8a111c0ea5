package org.gooseberryhook.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.PrefixIndex;
import org.gooseberryhook.coordination.PromptBlocks;
import org.gooseberryhook.coordination.QuotaDecision;
import org.gooseberryhook.coordination.QuotaGrantor;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.QuotaShard;
import org.gooseberryhook.coordination.RunningRequests;
import org.gooseberryhook.coordination.ShardNodeRanking;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.KeyIndex;
import org.gooseberryhook.transport.NodeMetrics;

/**
 * Measures the heap that a node's state takes, in MB, and the time of operations on it, in
 * microseconds or milliseconds, at growing numbers of workspaces and nodes. The capacity page uses
 * the figures.
 */
public final class CapacityProbe {

  private static final int[] WORKSPACE_COUNTS = {1_000, 10_000, 37_000};
  private static final int[] NODE_COUNTS = {9, 100, 390};
  private static final int CALL_COUNT = 20_000;
  private static final int PREFIX_PROMPTS = 30_000;
  private static final int PROMPT_BYTES = 2_048;
  private static final int CRASH_EVENTS = 12_000;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double BYTES_PER_MB = 1024.0 * 1024.0;

  private CapacityProbe() {}

  /**
   * Prints the measurements.
   *
   * @param args {@code [seed]}, or {@code --help}
   */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("--help")) {
      System.out.println("usage: CapacityProbe [seed]");
      return;
    }
    Random random = new Random(args.length > 0 ? Long.parseLong(args[0]) : 1);
    for (int count : WORKSPACE_COUNTS) {
      measureContracts(count);
      measureQuota(count);
      measureMetrics(count);
    }
    for (int count : NODE_COUNTS) {
      measureAddresses(count);
    }
    measurePrefixes(random);
    measureCrashMarks(random);
  }

  private static Contract contractOf(int number) {
    return new Contract(
        "workspace-" + number,
        PriorityClass.INTERACTIVE,
        1_000_000,
        1_000_000,
        1e9,
        1e9,
        1_000_000,
        Set.of("model-1", "model-2"),
        Set.of("booking"),
        370,
        53,
        10,
        60_000,
        List.of(CallerKeys.digestOf("key-a-" + number), CallerKeys.digestOf("key-b-" + number)));
  }

  private static Configuration configurationOf(int count) {
    Configuration configuration = Configuration.EMPTY;
    for (int i = 0; i < count; i++) {
      configuration = configuration.with(i + 1, new ConfigurationChange.PutContract(contractOf(i)));
    }
    return configuration;
  }

  private static void measureContracts(int count) {
    Measured<Configuration> built = measureHeap(() -> configurationOf(count));
    KeyIndex index = new KeyIndex();
    Measured<KeyIndex> indexed =
        measureHeap(
            () -> {
              index.update(built.value);
              return index;
            });
    Configuration next =
        built.value.with(count + 1, new ConfigurationChange.PutContract(contractOf(0)));
    double updateMicros = measureMicros(20, i -> index.update(i % 2 == 0 ? next : built.value));
    double findMicros =
        measureMicros(CALL_COUNT, i -> index.find("key-a-" + i % count, built.value));
    System.out.printf(
        "contracts=%d configuration %.1f MB, key index %.1f MB, index update after one change"
            + " %.0f us, key lookup %.2f us%n",
        count, built.megabytes, indexed.megabytes, updateMicros, findMicros);
  }

  private static void measureQuota(int count) {
    NodeId self = NodeId.of("10.0.0.1:7080", 1);
    RunningRequests running = new RunningRequests();
    QuotaGrantor grantor = new QuotaGrantor(self, running);
    QuotaHolder holder = new QuotaHolder(self, grantor, running, shard -> self);
    long startNanos = System.nanoTime();
    for (int shard = 0; shard < QuotaShard.SHARD_COUNT; shard++) {
      grantor.beginTerm(shard, 1, Long.MAX_VALUE / 2, List.of(), List.of(), startNanos);
    }
    Measured<QuotaHolder> filled =
        measureHeap(
            () -> {
              for (int i = 0; i < count; i++) {
                grantor.setContract(contractOf(i), startNanos);
                holder.setContract(contractOf(i));
                admitOnce(holder, "workspace-" + i, startNanos);
              }
              return holder;
            });
    double admitMicros =
        measureMicros(
            CALL_COUNT,
            i -> admitOnce(holder, "workspace-" + i % count, startNanos + 1_000_000L * i));
    double tickMicros =
        measureMicros(20, i -> grantor.tick(startNanos + 1_000_000_000L * (i + 30)));
    System.out.printf(
        "workspaces=%d all admitted by their grantor: %.1f MB, admission and settlement %.2f us,"
            + " grantor tick %.0f us%n",
        count, filled.megabytes, admitMicros, tickMicros);
  }

  private static void admitOnce(QuotaHolder holder, String workspaceId, long nowNanos) {
    QuotaDecision decision = holder.tryAdmit(workspaceId, 1, 100, nowNanos);
    if (decision instanceof QuotaDecision.Admitted admitted) {
      holder.settle(admitted.admission(), true, 90, nowNanos);
    }
  }

  private static void measureMetrics(int count) {
    NodeMetrics metrics = new NodeMetrics();
    Measured<NodeMetrics> filled =
        measureHeap(
            () -> {
              for (int i = 0; i < count; i++) {
                NodeMetrics.WorkspaceMeters meters =
                    metrics.of("workspace-" + i, PriorityClass.INTERACTIVE);
                meters.recordFirstToken(1_000_000);
                meters.recordTokenGap(1_000_000);
                meters.count("admitted");
              }
              return metrics;
            });
    double scrapeMs = measureMicros(3, i -> metrics.scrape()) / 1_000;
    System.out.printf(
        "workspaces=%d metrics %.1f MB, scrape %.0f ms and %.0f KB%n",
        count, filled.megabytes, scrapeMs, metrics.scrape().length() / 1024.0);
    metrics.stop();
  }

  private static void measureAddresses(int count) {
    List<ShardNodeRanking.PlacedNode> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(
          new ShardNodeRanking.PlacedNode(
              NodeId.of("10.0." + i / 250 + "." + i % 250 + ":7080", i), "p" + i % 8));
    }
    double micros =
        measureMicros(CALL_COUNT / 10, i -> ShardNodeRanking.rank("workspace-" + i, nodes, 9));
    System.out.printf("nodes=%d address answer %.1f us%n", count, micros);
  }

  private static void measurePrefixes(Random random) {
    PrefixIndex index = new PrefixIndex();
    byte[] prompt = new byte[PROMPT_BYTES];
    Measured<PrefixIndex> filled =
        measureHeap(
            () -> {
              for (int i = 0; i < PREFIX_PROMPTS; i++) {
                random.nextBytes(prompt);
                index.store("pipeline-" + i % 474, PromptBlocks.of("m", "v1", prompt).hashes(), i);
              }
              return index;
            });
    double micros =
        measureMicros(
            CALL_COUNT,
            i -> {
              random.nextBytes(prompt);
              index.find(PromptBlocks.of("m", "v1", prompt).hashes(), PREFIX_PROMPTS);
            });
    System.out.printf(
        "prefix blocks=%d %.1f MB, hashing and lookup of %d bytes %.1f us%n",
        index.size(), filled.megabytes, PROMPT_BYTES, micros);
  }

  private static void measureCrashMarks(Random random) {
    CrashMarkRegistry registry = new CrashMarkRegistry();
    Measured<CrashMarkRegistry> filled =
        measureHeap(
            () -> {
              for (int i = 0; i < CRASH_EVENTS; i++) {
                registry.recordCrash("t" + i + "/1", List.of(random.nextLong()), i);
              }
              return registry;
            });
    long fingerprint = CrashMarkRegistry.fingerprintOf("w", "m", "x".repeat(PROMPT_BYTES));
    double micros =
        measureMicros(
            CALL_COUNT,
            i -> {
              CrashMarkRegistry.fingerprintOf(
                  "w", "m", new String(new byte[PROMPT_BYTES], StandardCharsets.US_ASCII));
              registry.getRule(fingerprint, CRASH_EVENTS);
            });
    System.out.printf(
        "crash marks=%d %.1f MB, fingerprint and lookup %.1f us%n",
        registry.size(), filled.megabytes, micros);
  }

  /** A value and the heap in use that building it added, in MB. */
  private record Measured<T>(T value, double megabytes) {}

  private static <T> Measured<T> measureHeap(Supplier<T> builder) {
    long before = usedBytes();
    T value = builder.get();
    long after = usedBytes();
    return new Measured<>(value, (after - before) / BYTES_PER_MB);
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double measureMicros(int calls, IntConsumer call) {
    for (int i = 0; i < calls; i++) {
      call.accept(i);
    }
    long startNanos = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      call.accept(i);
    }
    return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / calls;
  }
}
