package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsView;
import org.gooseberryhook.router.configuration.EngineProfile;

/**
 * Learns what requests cost from those that ended: the output of streams by route, workspace and
 * the caller's estimate, and the work time of plain requests by route and target.
 *
 * <p>For streams, the ratio of the output to the estimate is learned in buckets of the estimate, so
 * that a caller which always states the same too small number is known by its streams after {@link
 * #MIN_SAMPLES} of them. Where there is no usable estimate, absolute lengths are learned in a
 * bucket of their own. The figures of a workspace are used first, then those of the route over all
 * nodes; where neither has enough samples, the estimate and the profile of the service decide.
 *
 * <p>Memory is bounded by {@link #MAX_ROUTES}, {@link #MAX_WORKSPACES} and {@link
 * #MAX_WORK_ENTRIES}: less than 6 MB in all. Beyond a bound, the entry used least recently is
 * dropped and learned anew.
 */
public final class CostModel {

  /**
   * Factor on callers' estimates while nothing is learned. The estimates are right at the median;
   * the margin covers most of the longer outputs.
   */
  public static final double ESTIMATE_MARGIN = 1.2;

  /** Routes whose streams are learned. */
  static final int MAX_ROUTES = 256;

  /** Pairs of route and workspace whose streams are learned; the rest is known by its route. */
  static final int MAX_WORKSPACES = 4_096;

  /** Pairs of route and target whose work times are learned; enough for 3,700 targets. */
  static final int MAX_WORK_ENTRIES = 8_192;

  /**
   * Routes whose lengths are published to other nodes. With {@link #BUCKETS} buckets of three
   * amounts each, they take at most a quarter of {@link FleetSums#MAX_AMOUNTS}.
   */
  static final int MAX_PUBLISHED_ROUTES = 32;

  /** Streams of a bucket that must have ended before its figures are used. */
  static final int MIN_SAMPLES = 8;

  /** Weight of the last streams of a bucket: an older one loses all but a third of its weight. */
  static final double SAMPLE_LIFE = 64;

  /**
   * Time in which a stream loses all but a third of its weight. The lengths of a route drift within
   * minutes; a fleet of 80 nodes ends more than 100 streams of a bucket within this time.
   */
  static final double MEAN_LIFE_MS = 120_000;

  /**
   * Time after which a work time is forgotten, so that a target that was slow is tried again. A
   * node of a large fleet sends a target a plain request every 20 to 30 s.
   */
  static final long WORK_LIFE_MS = 60_000;

  /** Time for which the maxima of a workspace are not believed after a stream exceeded one. */
  static final long IGNORE_MAX_MS = 600_000;

  /** Plain requests that must have ended at a target before its work time is used. */
  static final int MIN_WORK_SAMPLES = 3;

  /** Weight of a new work time once {@link #MIN_WORK_SAMPLES} are known. */
  static final double WORK_WEIGHT = 0.15;

  /**
   * Largest estimate that is believed; a larger one counts as none. No engine keeps more tokens of
   * one request.
   */
  static final int MAX_ESTIMATE = 65_536;

  /** Each bucket of estimates spans a factor of four, from 1 to {@link #MAX_ESTIMATE}. */
  private static final int BITS_PER_BUCKET = 2;

  /** Buckets of a route: one for streams without a usable estimate, and those of estimates. */
  static final int BUCKETS = 10;

  /** Standard normal deviate that 9 of 10 values do not exceed. */
  private static final double HIGH_DEVIATE = 1.2816;

  /** Largest learned output in tokens, which keeps the sums within their range. */
  private static final int MAX_OUTPUT_TOKENS = 1_000_000;

  private final FleetSumsView fleet;
  private final Map<String, Lengths> routes = bounded(MAX_ROUTES);
  private final Map<CostKey, Lengths> workspaces = bounded(MAX_WORKSPACES);
  private final Map<WorkKey, WorkTime> workTimes = bounded(MAX_WORK_ENTRIES);
  private final Map<String, WorkTime> routeWorkTimes = bounded(MAX_ROUTES);

  private record WorkKey(String route, String targetId) {}

  /** Work time of the last requests, as of the end of the newest one. */
  private record WorkTime(double meanMs, int samples, long atMs) {
    private WorkTime plus(double workMs, long nowMs) {
      if (nowMs - atMs > WORK_LIFE_MS) {
        return new WorkTime(workMs, 1, nowMs);
      }
      double weight = Math.max(WORK_WEIGHT, 1.0 / (samples + 1));
      int newSamples = Math.min(MIN_WORK_SAMPLES, samples + 1);
      return new WorkTime(meanMs + weight * (workMs - meanMs), newSamples, nowMs);
    }

    private boolean isUsable(long nowMs) {
      return samples >= MIN_WORK_SAMPLES && nowMs - atMs <= WORK_LIFE_MS;
    }
  }

  /**
   * Sums of the outputs of a bucket, in units of the estimate, or in tokens for the bucket without
   * estimates.
   */
  private record Sums(double count, double sum, double squares, long atMs) {
    static final Sums NONE = new Sums(0, 0, 0, 0);

    private Sums at(long nowMs) {
      double decay = Math.exp(-Math.max(0, nowMs - atMs) / MEAN_LIFE_MS);
      return new Sums(count * decay, sum * decay, squares * decay, nowMs);
    }

    private Sums plus(double output) {
      double kept = 1 - 1 / SAMPLE_LIFE;
      return new Sums(
          count * kept + 1, sum * kept + output, squares * kept + output * output, atMs);
    }

    private double mean() {
      return sum / count;
    }
  }

  /** Sums by bucket. */
  private static final class Lengths {
    private final Sums[] buckets = new Sums[BUCKETS];

    /** Time until which maxima of callers are not believed, because one was exceeded. */
    private long ignoreMaxUntilMs = Long.MIN_VALUE;

    private Sums at(int bucket, long nowMs) {
      return buckets[bucket] == null ? Sums.NONE : buckets[bucket].at(nowMs);
    }
  }

  /**
   * Creates a model without anything learned.
   *
   * @param fleet amounts of all nodes, from which the lengths of a route at other nodes are known
   */
  public CostModel(FleetSumsView fleet) {
    this.fleet = fleet;
  }

  private static <K, V> Map<K, V> bounded(int maxEntries) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
      }
    };
  }

  /**
   * Returns the output that is expected of a stream.
   *
   * @param key route and workspace of the stream
   * @param estimate the caller's estimate of the output in tokens; senseless ones are ignored where
   *     lengths are learned
   * @param max the caller's maximum of output tokens; below 1 it counts as none where lengths are
   *     learned
   * @param profile profile of the engines
   * @param nowMs monotonic time in milliseconds
   * @return the expectation; without lessons the larger of the mean of the service and the estimate
   *     with its margin
   */
  public ExpectedOutput expectedOutput(
      CostKey key, OptionalInt estimate, OptionalInt max, EngineProfile profile, long nowMs) {
    int bucket = bucket(estimate);
    double unit = unit(estimate);
    Sums sums = ofWorkspace(key, bucket, nowMs);
    ExpectedOutput.Source source = ExpectedOutput.Source.WORKSPACE;
    if (sums.count() < MIN_SAMPLES) {
      sums = ofRoute(key.route(), bucket, nowMs);
      source = ExpectedOutput.Source.ROUTE;
    }
    if (sums.count() < MIN_SAMPLES) {
      return ofProfile(estimate, max, profile);
    }
    boolean isMaxUsable = max.orElse(0) >= 1 && !isMaxIgnored(key, nowMs);
    double limit = isMaxUsable ? max.getAsInt() : MAX_OUTPUT_TOKENS;
    double mean = sums.mean();
    double variance = Math.max(0, sums.squares() / sums.count() - mean * mean);
    // Lengths are about log-normal, so that two moments give the quantile.
    double logVariance = Math.log1p(variance / (mean * mean));
    double high = mean * Math.exp(HIGH_DEVIATE * Math.sqrt(logVariance) - logVariance / 2);
    // Longer streams run for longer: of those that run, the mean length is E[x^2] / E[x].
    double held = Math.max(ExpectedOutput.HELD_SHARE * mean, (mean + variance / mean) / 2);
    int meanTokens = (int) Math.max(1, Math.min(limit, Math.rint(mean * unit)));
    return new ExpectedOutput(
        meanTokens,
        (int) Math.round(Math.min(ExpectedOutput.HELD_SHARE * limit, held * unit)),
        (int) Math.max(meanTokens, Math.min(limit, Math.rint(high * unit))),
        source);
  }

  private boolean isMaxIgnored(CostKey key, long nowMs) {
    Lengths lengths = workspaces.get(key);
    return lengths != null && nowMs < lengths.ignoreMaxUntilMs;
  }

  /**
   * Records that a stream generated more tokens than its caller stated as the maximum: the target
   * does not keep to it, and it must not lower the cost of the caller's streams. Holds for {@link
   * #IGNORE_MAX_MS}.
   *
   * @param key route and workspace of the stream
   * @param nowMs monotonic time in milliseconds
   */
  public void onMaxExceeded(CostKey key, long nowMs) {
    workspaces.computeIfAbsent(key, k -> new Lengths()).ignoreMaxUntilMs = nowMs + IGNORE_MAX_MS;
  }

  private static ExpectedOutput ofProfile(
      OptionalInt estimate, OptionalInt max, EngineProfile profile) {
    int mean = profile.meanOutputTokens();
    int likely = (int) Math.max(estimate.orElse(mean) * ESTIMATE_MARGIN, mean);
    return ExpectedOutput.ofProfile(Math.max(1, Math.min(max.orElse(mean), likely)));
  }

  private Sums ofWorkspace(CostKey key, int bucket, long nowMs) {
    Lengths lengths = key.workspace().isEmpty() ? null : workspaces.get(key);
    return lengths == null ? Sums.NONE : lengths.at(bucket, nowMs);
  }

  /** Returns the sums of a route over all nodes, those of this node if they are better known. */
  private Sums ofRoute(String route, int bucket, long nowMs) {
    Lengths lengths = routes.get(route);
    Sums own = lengths == null ? Sums.NONE : lengths.at(bucket, nowMs);
    FleetSums total = fleet.total();
    long count = total.amount(FleetSums.lengthKey(route, bucket, 0));
    if (count <= own.count() * FleetSums.RATE_SCALE) {
      return own;
    }
    long sum = total.amount(FleetSums.lengthKey(route, bucket, 1));
    long squares = total.amount(FleetSums.lengthKey(route, bucket, 2));
    double scale = FleetSums.RATE_SCALE;
    return sum <= 0 ? own : new Sums(count / scale, sum / scale, squares / scale, nowMs);
  }

  /**
   * Learns from a stream that ended by itself.
   *
   * @param key route and workspace of the stream
   * @param estimate the caller's estimate of the output in tokens
   * @param outputTokens number of tokens that were generated
   * @param nowMs monotonic time in milliseconds
   */
  public void onEnded(CostKey key, OptionalInt estimate, int outputTokens, long nowMs) {
    learn(key, estimate, outputTokens, false, nowMs);
  }

  /**
   * Learns from a stream that was cut off, at its maximum of tokens or because it was broken off.
   * Its length is only known to be larger. It is learned if it is above the mean of its bucket,
   * which it then raises; one below the mean says nothing, and would lower it.
   *
   * @param key route and workspace of the stream
   * @param estimate the caller's estimate of the output in tokens
   * @param outputTokens number of tokens that were generated until then
   * @param nowMs monotonic time in milliseconds
   */
  public void onCutOff(CostKey key, OptionalInt estimate, int outputTokens, long nowMs) {
    learn(key, estimate, outputTokens, true, nowMs);
  }

  private void learn(
      CostKey key, OptionalInt estimate, int outputTokens, boolean isCutOff, long nowMs) {
    if (outputTokens < 1) {
      return;
    }
    int bucket = bucket(estimate);
    double output = Math.min(MAX_OUTPUT_TOKENS, outputTokens) / unit(estimate);
    add(
        routes.computeIfAbsent(key.route(), route -> new Lengths()),
        bucket,
        output,
        isCutOff,
        nowMs);
    if (!key.workspace().isEmpty()) {
      add(workspaces.computeIfAbsent(key, k -> new Lengths()), bucket, output, isCutOff, nowMs);
    }
  }

  private static void add(
      Lengths lengths, int bucket, double output, boolean isCutOff, long nowMs) {
    Sums before = lengths.at(bucket, nowMs);
    boolean saysNothing = isCutOff && (before.count() < 1 || output <= before.mean());
    if (!saysNothing) {
      lengths.buckets[bucket] = before.at(nowMs).plus(output);
    }
  }

  private static boolean isUsable(OptionalInt estimate) {
    return estimate.isPresent() && estimate.getAsInt() >= 1 && estimate.getAsInt() <= MAX_ESTIMATE;
  }

  private static int bucket(OptionalInt estimate) {
    if (!isUsable(estimate)) {
      return 0;
    }
    int bits = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(estimate.getAsInt());
    return 1 + bits / BITS_PER_BUCKET;
  }

  /** Returns the number of tokens that a bucket counts in. */
  private static double unit(OptionalInt estimate) {
    return isUsable(estimate) ? estimate.getAsInt() : 1;
  }

  /**
   * Learns from a plain request that was answered.
   *
   * @param route name of its route
   * @param targetId id of the target
   * @param workMs time that the target took for it without waiting, in milliseconds
   * @param nowMs monotonic time in milliseconds
   */
  public void onPlainEnded(String route, String targetId, double workMs, long nowMs) {
    if (workMs >= 0 && workMs < Double.POSITIVE_INFINITY) {
      WorkTime none = new WorkTime(0, 0, nowMs);
      workTimes.merge(
          new WorkKey(route, targetId),
          none.plus(workMs, nowMs),
          (before, added) -> before.plus(workMs, nowMs));
      routeWorkTimes.merge(
          route, none.plus(workMs, nowMs), (before, added) -> before.plus(workMs, nowMs));
    }
  }

  /**
   * Returns the work time that is expected of a plain request.
   *
   * @param route name of its route
   * @param targetId id of the target
   * @param nowMs monotonic time in milliseconds
   * @return milliseconds, that of the route at all targets if the target is not known; 0 if nothing
   *     was learned
   */
  public double expectedWorkMs(String route, String targetId, long nowMs) {
    WorkTime atTarget = workTimes.get(new WorkKey(route, targetId));
    return atTarget != null && atTarget.isUsable(nowMs)
        ? Math.max(1, atTarget.meanMs())
        : expectedWorkMs(route, nowMs);
  }

  /**
   * Returns the work time that is expected of a plain request at a target that is not known.
   *
   * @param route name of its route
   * @param nowMs monotonic time in milliseconds
   * @return milliseconds; 0 if nothing was learned
   */
  public double expectedWorkMs(String route, long nowMs) {
    WorkTime anywhere = routeWorkTimes.get(route);
    return anywhere != null && anywhere.isUsable(nowMs) ? Math.max(1, anywhere.meanMs()) : 0;
  }

  /**
   * Returns the lengths that this node learned by route, for the sums of the fleet.
   *
   * @param nowMs monotonic time in milliseconds
   * @return counts, sums and sums of squares of the buckets in use
   */
  public FleetSums own(long nowMs) {
    Map<String, Long> amounts = new HashMap<>();
    int skipped = routes.size() - MAX_PUBLISHED_ROUTES;
    for (Map.Entry<String, Lengths> entry : routes.entrySet()) {
      // The routes used least recently come first.
      if (skipped-- > 0) {
        continue;
      }
      for (int bucket = 0; bucket < BUCKETS; bucket++) {
        Sums sums = entry.getValue().at(bucket, nowMs);
        if (sums.count() * FleetSums.RATE_SCALE >= 1) {
          put(amounts, FleetSums.lengthKey(entry.getKey(), bucket, 0), sums.count());
          put(amounts, FleetSums.lengthKey(entry.getKey(), bucket, 1), sums.sum());
          put(amounts, FleetSums.lengthKey(entry.getKey(), bucket, 2), sums.squares());
        }
      }
    }
    return new FleetSums(amounts);
  }

  private static void put(Map<String, Long> amounts, String key, double amount) {
    amounts.put(key, Math.max(1, Math.round(amount * FleetSums.RATE_SCALE)));
  }

  /**
   * Returns how much was learned.
   *
   * @return number of pairs of route and workspace whose lengths are known
   */
  public int workspaceCount() {
    return workspaces.size();
  }

  /**
   * Returns how much was learned.
   *
   * @return number of pairs of route and target whose work times are known
   */
  public int workTimeCount() {
    return workTimes.size();
  }
}
