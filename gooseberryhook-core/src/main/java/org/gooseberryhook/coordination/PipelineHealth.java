package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gooseberryhook.state.CircuitBreaker;
import org.gooseberryhook.state.LinkTime;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetActivity;

/**
 * Learns step, link and prompt times from observed tokens, and takes slow or failing pipelines and
 * stages out of use.
 *
 * <p>The token times of a request cover the whole chain. The difference between the observed and
 * the predicted time is therefore distributed over stages and links in proportion to their
 * estimates. Times of a link and of stages become distinguishable because many pipelines use the
 * same link.
 *
 * @since 0.1
 */
public final class PipelineHealth {

  /**
   * Step time per layer in nanoseconds that is assumed until a stage of the accelerator kind was
   * observed.
   */
  static final double DEFAULT_STEP_NANOS_PER_LAYER = 300_000;

  /** Prompt time per token in nanoseconds that is assumed until one was observed. */
  static final double DEFAULT_PROMPT_NANOS_PER_TOKEN = 100_000;

  /** Relative growth of the step time from an empty to a full batch. */
  static final double FULL_BATCH_SLOWDOWN = 0.5;

  /**
   * A pipeline is slow if its step time exceeds the median of its peers by more than this factor.
   */
  static final double SLOW_FACTOR = 3.0;

  /**
   * Approximate number of pipelines that medians are computed from, to keep reviews of a large
   * fleet cheap.
   */
  private static final int MAX_COMPARED_PIPELINES = 512;

  private static final double LEARNING_RATE = 0.2;

  /**
   * Reduces the learning rate of links, because every pipeline that uses a link contributes samples
   * to it.
   */
  private static final double LINK_RATE_FACTOR = 0.25;

  private static final int MIN_SAMPLES = 4;
  private static final int PIPELINE_FAILURE_THRESHOLD = 2;
  private static final int STAGE_FAILURE_THRESHOLD = 1;

  /**
   * Maximum share of pipelines out of use for slowness. Beyond it the cause is more likely this
   * node or common to all.
   */
  private static final double MAX_SHARE_OUT_OF_USE = 0.5;

  /**
   * Estimates the time of one step.
   *
   * @param entry the pipeline
   * @param occupied number of requests in its batch
   * @return nanoseconds over all stages and links
   */
  public double stepNanos(PipelineEntry entry, int occupied) {
    return stageNanos(entry) * batchFactor(occupied, entry.slots()) + linkNanos(entry);
  }

  /**
   * Estimates the prompt time per uncached token.
   *
   * @param entry the pipeline
   * @return nanoseconds
   */
  public double promptNanosPerToken(PipelineEntry entry) {
    double learned = entry.promptNanosPerToken();
    return learned > 0 ? learned : DEFAULT_PROMPT_NANOS_PER_TOKEN;
  }

  /**
   * Learns from the mean gap between tokens.
   *
   * @param entry the pipeline
   * @param gapNanos mean time between tokens in nanoseconds
   */
  public void onStepTime(PipelineEntry entry, double gapNanos) {
    learn(entry, gapNanos, LEARNING_RATE);
  }

  /**
   * Learns from the time to the first token of a request that did not queue.
   *
   * @param entry the pipeline
   * @param nanos time from dispatch to the first token, in nanoseconds
   * @param uncachedTokens prompt tokens that were not expected in the cache
   */
  public void onPromptTime(PipelineEntry entry, double nanos, double uncachedTokens) {
    double perToken =
        Math.max(0, nanos - stepNanos(entry, entry.occupied())) / Math.max(1, uncachedTokens);
    double old = promptNanosPerToken(entry);
    // If an expected cache hit was a miss, the time of the whole prompt counts for a few tokens;
    // the bound limits that error.
    double bounded = Math.min(perToken, old * 4);
    entry.setPromptNanosPerToken(old + LEARNING_RATE * (bounded - old));
  }

  /**
   * Records a completed request. A completed trial decides whether the pipeline is used again.
   *
   * @param entry the pipeline
   * @param isTrial whether the request was a trial
   * @param meanGapNanos its mean time between tokens in nanoseconds, or 0 if not known
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void onSuccess(
      PipelineEntry entry,
      boolean isTrial,
      double meanGapNanos,
      long nowNanos,
      RandomGenerator random) {
    if (!isTrial) {
      breakers(entry).forEach(CircuitBreaker::recordSuccess);
      return;
    }
    if (meanGapNanos > 0) {
      learn(entry, meanGapNanos, 1.0);
    }
    boolean isStillSlow = meanGapNanos > 0 && isSlow(entry);
    for (CircuitBreaker breaker : breakers(entry)) {
      if (breaker.isClosed()) {
        continue;
      }
      if (isStillSlow) {
        breaker.open(nowNanos, jitter(random));
      } else {
        breaker.close();
      }
    }
  }

  /**
   * Records a failed request.
   *
   * @param entry the pipeline
   * @param isTrial whether the request was a trial
   * @param lostTargetId the stage that failed, or null if it is not known
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void onFailure(
      PipelineEntry entry,
      boolean isTrial,
      String lostTargetId,
      long nowNanos,
      RandomGenerator random) {
    List<Target> stages = entry.pipeline().stages();
    CircuitBreaker failedBreaker = entry.breaker();
    int threshold = PIPELINE_FAILURE_THRESHOLD;
    for (int i = 0; i < stages.size(); i++) {
      if (stages.get(i).targetId().equals(lostTargetId)) {
        failedBreaker = entry.stages().get(i).breaker();
        threshold = STAGE_FAILURE_THRESHOLD;
      }
    }
    if (isTrial) {
      for (CircuitBreaker breaker : breakers(entry)) {
        if (!breaker.isClosed()) {
          breaker.open(nowNanos, jitter(random));
        }
      }
    }
    if (failedBreaker.isClosed()) {
      failedBreaker.recordFailure(threshold, nowNanos, jitter(random));
    }
  }

  /**
   * Claims the single trial of a pipeline that is out of use.
   *
   * @param entry the pipeline
   * @param nowNanos monotonic time
   * @return true if every open breaker of the pipeline and its stages allowed the trial
   */
  public boolean tryClaimTrial(PipelineEntry entry, long nowNanos) {
    List<CircuitBreaker> claimed = new ArrayList<>();
    for (CircuitBreaker breaker : breakers(entry)) {
      if (breaker.isClosed()) {
        continue;
      }
      if (!breaker.tryClaimTrial(nowNanos)) {
        claimed.forEach(CircuitBreaker::abandonTrial);
        return false;
      }
      claimed.add(breaker);
    }
    return !claimed.isEmpty();
  }

  /**
   * Releases a trial that has no outcome, for example because the caller cancelled.
   *
   * @param entry the pipeline
   */
  public void abandonTrial(PipelineEntry entry) {
    breakers(entry).forEach(CircuitBreaker::abandonTrial);
  }

  /**
   * Compares pipelines with their peers: sets the step time of stages that were never observed to
   * the median of their accelerator kind, and takes slow pipelines out of use. Must be called about
   * once a second for each model version.
   *
   * @param entries the pipelines of one model version
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void review(List<PipelineEntry> entries, long nowNanos, RandomGenerator random) {
    Map<String, Double> medians = medians(entries);
    long outOfUse = entries.stream().filter(entry -> !entry.isInUse()).count();
    for (PipelineEntry entry : entries) {
      double expectedNanos = 0;
      for (int i = 0; i < entry.stages().size(); i++) {
        Target target = entry.pipeline().stages().get(i);
        TargetActivity stage = entry.stages().get(i);
        double peerNanos =
            medians.getOrDefault(target.accelerator(), DEFAULT_STEP_NANOS_PER_LAYER)
                * target.layers().layerCount();
        stage.setPeerStepNanos(peerNanos);
        if (stage.stepSamples() == 0 && stage.stepNanos() != peerNanos) {
          stage.setStepNanos(peerNanos, false);
        }
        expectedNanos += peerNanos;
      }
      boolean mayOpen = entry.isInUse() && outOfUse + 1 <= entries.size() * MAX_SHARE_OUT_OF_USE;
      if (mayOpen && expectedNanos > 0 && isSlow(entry)) {
        entry.breaker().open(nowNanos, jitter(random));
        outOfUse++;
      }
    }
  }

  private static boolean isSlow(PipelineEntry entry) {
    double nanos = 0;
    double peerNanos = 0;
    for (TargetActivity stage : entry.stages()) {
      if (stage.stepSamples() < MIN_SAMPLES || stage.peerStepNanos() == 0) {
        return false;
      }
      nanos += stage.stepNanos();
      peerNanos += stage.peerStepNanos();
    }
    return nanos > SLOW_FACTOR * peerNanos;
  }

  private static Map<String, Double> medians(List<PipelineEntry> entries) {
    Map<String, List<Double>> perLayer = new HashMap<>();
    int stride = 1 + entries.size() / MAX_COMPARED_PIPELINES;
    for (int index = 0; index < entries.size(); index += stride) {
      PipelineEntry entry = entries.get(index);
      for (int i = 0; i < entry.stages().size(); i++) {
        Target target = entry.pipeline().stages().get(i);
        TargetActivity stage = entry.stages().get(i);
        if (stage.stepSamples() >= MIN_SAMPLES) {
          perLayer
              .computeIfAbsent(target.accelerator(), key -> new ArrayList<>())
              .add(stage.stepNanos() / target.layers().layerCount());
        }
      }
    }
    Map<String, Double> medians = new HashMap<>();
    perLayer.forEach((accelerator, values) -> medians.put(accelerator, median(values)));
    return medians;
  }

  private static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    return sorted[(sorted.length - 1) / 2];
  }

  private void learn(PipelineEntry entry, double gapNanos, double rate) {
    double factor = batchFactor(entry.occupied(), entry.slots());
    double stagesNanos = stageNanos(entry) * factor;
    double predictedNanos = stagesNanos + linkNanos(entry);
    double excess = gapNanos / predictedNanos - 1;
    double scale = 1 + rate * excess;
    for (int i = 0; i < entry.stages().size(); i++) {
      TargetActivity stage = entry.stages().get(i);
      stage.setStepNanos(stageNanos(entry, i) * scale, true);
    }
    for (LinkTime link : entry.links()) {
      link.setNanos(link.nanos() * (1 + LEARNING_RATE * LINK_RATE_FACTOR * excess));
    }
  }

  private static double stageNanos(PipelineEntry entry) {
    double sum = 0;
    for (int i = 0; i < entry.stages().size(); i++) {
      sum += stageNanos(entry, i);
    }
    return sum;
  }

  private static double stageNanos(PipelineEntry entry, int index) {
    double learned = entry.stages().get(index).stepNanos();
    return learned > 0
        ? learned
        : entry.pipeline().stages().get(index).layers().layerCount() * DEFAULT_STEP_NANOS_PER_LAYER;
  }

  private static double linkNanos(PipelineEntry entry) {
    double sum = 0;
    for (LinkTime link : entry.links()) {
      sum += link.nanos();
    }
    return sum;
  }

  private static double batchFactor(int occupied, int slots) {
    return 1 + FULL_BATCH_SLOWDOWN * Math.min(occupied, slots) / slots;
  }

  private static List<CircuitBreaker> breakers(PipelineEntry entry) {
    List<CircuitBreaker> all = new ArrayList<>();
    all.add(entry.breaker());
    entry.stages().forEach(stage -> all.add(stage.breaker()));
    return all;
  }

  private static double jitter(RandomGenerator random) {
    return 0.75 + 0.5 * random.nextDouble();
  }
}
