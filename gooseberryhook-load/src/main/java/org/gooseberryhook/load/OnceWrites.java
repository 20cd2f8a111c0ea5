package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.coordination.OnceRecordBatcher;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;

/**
 * Measures in simulated time how many table transactions and records a once-only call costs when a
 * node batches its writes, and how long a write takes in milliseconds.
 *
 * @since 0.1
 */
public final class OnceWrites {

  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int HISTOGRAM_DIGITS = 3;
  private static final String TAKEN_PREFIX = "taken/";

  @Parameter(names = "--help", help = true, description = "Show this help")
  private boolean isHelp;

  @Parameter(names = "--seed", description = "Seed of the random numbers")
  private long seed = 1;

  @Parameter(names = "--nodes", description = "Nodes that write, each with its own batches")
  private int nodeCount = 9;

  @Parameter(names = "--seconds", description = "Simulated time in seconds")
  private int seconds = 20;

  @Parameter(
      names = "--window-ms",
      description = "Longest time that a write waits for others, in ms")
  private long windowMs = TimeUnit.NANOSECONDS.toMillis(OnceRecordBatcher.MAX_WAIT_NANOS);

  @Parameter(names = "--store-ms", description = "Time of one table transaction, in ms")
  private long storeMs = 5;

  @Parameter(names = "--service-ms", description = "Mean time of one service call, in ms")
  private long serviceMs = 30;

  @Parameter(
      names = "--repeat-permille",
      description = "Calls per thousand whose key is taken, so that their claim conflicts")
  private int repeatPermille = 5;

  @Parameter(names = "--rates", description = "Calls per second of all nodes together")
  private List<Integer> rates = List.of(10, 50, 150, 500, 1_500, 5_000, 7_500, 15_000);

  private record Event(long atNanos, long order, Runnable action) {}

  /**
   * Runs the measurement and prints one line for each rate.
   *
   * @param arguments command line, see {@code --help}
   */
  public static void main(String[] arguments) {
    OnceWrites program = new OnceWrites();
    JCommander commander =
        JCommander.newBuilder().programName("OnceWrites").addObject(program).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(2);
    }
    if (program.isHelp) {
      commander.usage();
      return;
    }
    System.out.printf(
        "nodes=%d window=%d ms store=%d ms service=%d ms repeats=%d/1000 seed=%d%n",
        program.nodeCount,
        program.windowMs,
        program.storeMs,
        program.serviceMs,
        program.repeatPermille,
        program.seed);
    System.out.println("calls/s  tx/s    tx/call  records/call  records/tx  write ms p50  p99");
    program.rates.forEach(rate -> System.out.println(program.new Simulation(rate).run()));
  }

  /** One run at one rate. */
  private final class Simulation {
    private final int rate;
    private final SplittableRandom random = new SplittableRandom(seed);
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (a, b) ->
                a.atNanos == b.atNanos
                    ? Long.compare(a.order, b.order)
                    : Long.compare(a.atNanos, b.atNanos));
    private final List<OnceRecordBatcher> batchers = new ArrayList<>();
    private final Set<Long> claimTickets = new HashSet<>();
    private final Map<Long, Long> addedNanos = new HashMap<>();
    private final Histogram writeMicros = new Histogram(HISTOGRAM_DIGITS);
    private long nowNanos;
    private long order;
    private long lastTicket;
    private long callCount;
    private long transactionCount;
    private long recordCount;

    private Simulation(int rate) {
      this.rate = rate;
      for (int node = 0; node < nodeCount; node++) {
        batchers.add(new OnceRecordBatcher(TimeUnit.MILLISECONDS.toNanos(windowMs)));
      }
    }

    private String run() {
      schedule(drawExponential(NANOS_PER_SECOND / (double) rate), this::arrive);
      while (!events.isEmpty()) {
        Event event = events.poll();
        nowNanos = event.atNanos;
        event.action.run();
      }
      return String.format(
          "%7d  %6.0f  %7.3f  %12.3f  %10.1f  %12.1f  %.1f",
          rate,
          transactionCount / (double) seconds,
          transactionCount / (double) callCount,
          recordCount / (double) callCount,
          recordCount / (double) transactionCount,
          writeMicros.getValueAtPercentile(50) / 1_000.0,
          writeMicros.getValueAtPercentile(99) / 1_000.0);
    }

    private void arrive() {
      if (nowNanos >= seconds * NANOS_PER_SECOND) {
        return;
      }
      callCount++;
      write(random.nextInt(nodeCount), random.nextInt(1_000) < repeatPermille, 0);
      schedule(nowNanos + drawExponential(NANOS_PER_SECOND / (double) rate), this::arrive);
    }

    private void write(int node, boolean isRepeat, long expectedVersion) {
      long ticket = ++lastTicket;
      String key = (isRepeat ? TAKEN_PREFIX : "once/") + ticket;
      if (!batchers
          .get(node)
          .add(ticket, TableOperation.ofPut(key, expectedVersion, ""), nowNanos)) {
        throw new IllegalStateException("the write batcher is full; lower --rates or --store-ms");
      }
      if (expectedVersion == 0) {
        claimTickets.add(ticket);
      }
      addedNanos.put(ticket, nowNanos);
      poll(node);
    }

    private void poll(int node) {
      OnceRecordBatcher batcher = batchers.get(node);
      for (OnceRecordBatcher.Batch batch : batcher.poll(nowNanos)) {
        transactionCount++;
        recordCount += batch.operations().size();
        schedule(nowNanos + TimeUnit.MILLISECONDS.toNanos(storeMs), () -> onResult(node, batch));
      }
      Optional<Long> due = batcher.getDueNanos(nowNanos);
      due.ifPresent(dueNanos -> schedule(dueNanos, () -> poll(node)));
    }

    private void onResult(int node, OnceRecordBatcher.Batch batch) {
      // Records exist already for the keys of repeated calls and for claims that a result replaces.
      List<TableRecord> present =
          batch.operations().stream()
              .filter(write -> write.key().startsWith(TAKEN_PREFIX) || write.expectedVersion() == 1)
              .map(write -> new TableRecord(write.key(), 1, ""))
              .toList();
      boolean isConflict =
          present.stream().anyMatch(record -> record.key().startsWith(TAKEN_PREFIX));
      TableResult result =
          isConflict
              ? new TableResult.Conflict(present)
              : new TableResult.Committed(
                  batch.operations().stream().map(operation -> 1L).toList());
      for (OnceRecordBatcher.WriteResult writeResult :
          batchers.get(node).onResult(batch.batchId(), result)) {
        onWriteResult(node, writeResult);
      }
      poll(node);
    }

    private void onWriteResult(int node, OnceRecordBatcher.WriteResult writeResult) {
      long waitedNanos = nowNanos - addedNanos.remove(writeResult.ticket());
      writeMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(waitedNanos));
      boolean isClaim = claimTickets.remove(writeResult.ticket());
      if (isClaim && writeResult.result() instanceof TableResult.Committed) {
        long serviceNanos = TimeUnit.MILLISECONDS.toNanos(serviceMs);
        schedule(nowNanos + drawExponential(serviceNanos), () -> write(node, false, 1));
      }
    }

    private long drawExponential(double meanNanos) {
      return (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
    }

    private void schedule(long timeNanos, Runnable action) {
      events.add(new Event(timeNanos, order++, action));
    }
  }
}
