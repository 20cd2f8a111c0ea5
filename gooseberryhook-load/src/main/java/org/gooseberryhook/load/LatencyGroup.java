package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts and latency histograms of a group of requests, such as a workspace. Thread-safe. */
final class LatencyGroup {

  /** Percentiles of the points of a distribution's curve, denser towards the tail. */
  private static final List<Double> CURVE_PERCENTILES =
      List.of(
          0.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 75.0, 80.0, 85.0, 90.0, 92.5, 95.0, 96.5,
          98.0, 99.0, 99.3, 99.6, 99.8, 99.9, 99.95, 99.99);

  private static final long MAX_MICROS = TimeUnit.HOURS.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1_000;

  final LongAdder arrivals = new LongAdder();
  final LongAdder completions = new LongAdder();
  final LongAdder tokens = new LongAdder();
  private final Histogram firstToken = newHistogram();
  private final Histogram tokenGap = newHistogram();
  private final Histogram whole = newHistogram();

  void recordFirstToken(long nanos) {
    record(firstToken, nanos);
  }

  void recordGap(long nanos) {
    record(tokenGap, nanos);
  }

  void recordWhole(long nanos) {
    record(whole, nanos);
  }

  LoadResult.GroupResult toResult(
      String name, double seconds, double boundRequests, double boundTokens) {
    return new LoadResult.GroupResult(
        name,
        arrivals.sum() / seconds,
        completions.sum() / seconds,
        tokens.sum() / seconds,
        boundRequests,
        boundTokens,
        toLatency(firstToken),
        toLatency(tokenGap),
        toLatency(whole));
  }

  static Histogram newHistogram() {
    return new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  }

  static void record(Histogram histogram, long nanos) {
    long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
    histogram.recordValue(Math.max(0, Math.min(micros, MAX_MICROS)));
  }

  static double millisAt(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  }

  private static LoadResult.Latency toLatency(Histogram histogram) {
    List<LoadResult.Point> curve = new ArrayList<>();
    if (histogram.getTotalCount() > 0) {
      for (double percentile : CURVE_PERCENTILES) {
        curve.add(new LoadResult.Point(percentile, millisAt(histogram, percentile)));
      }
    }
    return new LoadResult.Latency(
        histogram.getTotalCount(),
        millisAt(histogram, 50),
        millisAt(histogram, 90),
        millisAt(histogram, 95),
        millisAt(histogram, 99),
        millisAt(histogram, 99.9),
        histogram.getMaxValue() / MICROS_PER_MS,
        curve);
  }
}
