package org.gooseberryhook.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Measures how long the event loop works on what, by kind of work. Work within other work counts
 * for its own kind only. Used on the event loop only.
 */
public final class WorkMeter {

  /** Maximum number of kinds; further ones are not measured. */
  static final int MAX_KINDS = 64;

  private static final long NANOS_PER_MICRO = 1_000;

  private final LongSupplier nanoTime;
  private final Map<String, Amount> byKind = new HashMap<>();

  /** Time of finished work within the work that is in progress. */
  private long innerNanos;

  /**
   * An amount of work.
   *
   * @param count number of times that the work was done
   * @param nanos time that it took, in nanoseconds
   */
  public record Amount(long count, long nanos) {

    private Amount plus(Amount other) {
      return new Amount(count + other.count, nanos + other.nanos);
    }
  }

  /** Creates a meter that reads the time of the Java virtual machine. */
  public WorkMeter() {
    this(System::nanoTime);
  }

  /**
   * Creates a meter.
   *
   * @param nanoTime monotonic time in nanoseconds
   */
  WorkMeter(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
  }

  /**
   * Does work and measures it, also if it throws.
   *
   * @param kind kind of the work
   * @param work the work
   */
  public void run(String kind, Runnable work) {
    long startNanos = nanoTime.getAsLong();
    long outerNanos = innerNanos;
    innerNanos = 0;
    try {
      work.run();
    } finally {
      long tookNanos = nanoTime.getAsLong() - startNanos;
      add(kind, 1, tookNanos - innerNanos);
      innerNanos = outerNanos + tookNanos;
    }
  }

  /**
   * Adds work that was measured elsewhere or is only counted.
   *
   * @param kind kind of the work
   * @param count number of times that it was done
   * @param nanos time that it took, in nanoseconds
   */
  public void add(String kind, long count, long nanos) {
    if (byKind.size() < MAX_KINDS || byKind.containsKey(kind)) {
      byKind.merge(kind, new Amount(count, nanos), Amount::plus);
    }
  }

  /**
   * Returns the work since the last call and begins anew.
   *
   * @return by kind, the number of times and the time in microseconds, as {@code COUNT/MICROS}
   */
  public Map<String, String> takeInterval() {
    Map<String, String> taken = new TreeMap<>();
    byKind.forEach(
        (kind, amount) -> taken.put(kind, amount.count() + "/" + amount.nanos() / NANOS_PER_MICRO));
    byKind.clear();
    return taken;
  }
}
