package org.gooseberryhook.state;

import java.util.List;

/**
 * Pipeline to which requests are routed, with this node's data about its stages and links.
 *
 * @since 0.1
 */
public final class PipelineEntry {

  private final Pipeline pipeline;
  private final List<TargetActivity> stages;
  private final List<LinkTime> links;
  private final CircuitBreaker breaker = new CircuitBreaker();
  private volatile double promptNanosPerToken;

  PipelineEntry(Pipeline pipeline, List<TargetActivity> stages, List<LinkTime> links) {
    this.pipeline = pipeline;
    this.stages = List.copyOf(stages);
    this.links = List.copyOf(links);
  }

  public Pipeline pipeline() {
    return pipeline;
  }

  public List<TargetActivity> stages() {
    return stages;
  }

  /**
   * Returns the network links that the computation of a token crosses: those between consecutive
   * stages, then the one from the last stage back to the head.
   *
   * @return the links in this order, empty for a single stage
   */
  public List<LinkTime> links() {
    return links;
  }

  public CircuitBreaker breaker() {
    return breaker;
  }

  /**
   * Returns the learned time to process one prompt token that is not in the prefix cache.
   *
   * @return nanoseconds; 0 before the first observation
   */
  public double promptNanosPerToken() {
    return promptNanosPerToken;
  }

  public void setPromptNanosPerToken(double value) {
    promptNanosPerToken = value;
  }

  /**
   * Returns the number of requests that run or wait on the stage that has the most.
   *
   * @return a count of at least 0
   */
  public int occupied() {
    int most = 0;
    for (TargetActivity stage : stages) {
      most = Math.max(most, stage.occupied());
    }
    return most;
  }

  /**
   * Returns the batching slots of the smallest stage that has reported its load. In a large fleet
   * the reports arrive over many seconds. If the default of a stage without a report counted, it
   * could hide free slots until then.
   *
   * @return a count of at least 1; {@link TargetActivity#DEFAULT_SLOTS} if no stage has reported
   */
  public int slots() {
    int least = Integer.MAX_VALUE;
    for (TargetActivity stage : stages) {
      least = stage.isReported() ? Math.min(least, stage.slots()) : least;
    }
    return least == Integer.MAX_VALUE ? TargetActivity.DEFAULT_SLOTS : least;
  }

  /**
   * Returns whether the circuit breakers of the pipeline and of all its stages are closed.
   *
   * @return true if ordinary requests may be sent to the pipeline
   */
  public boolean isInUse() {
    if (!breaker.isClosed()) {
      return false;
    }
    for (TargetActivity stage : stages) {
      if (!stage.breaker().isClosed()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Registers a request on every stage, or on none.
   *
   * @param isolation isolation that the request requires
   * @param nowNanos current monotonic time in nanoseconds
   * @return false if a stage rejects it, see {@link TargetActivity#tryBegin}
   */
  public boolean tryBegin(Isolation isolation, long nowNanos) {
    for (int begun = 0; begun < stages.size(); begun++) {
      if (!stages.get(begun).tryBegin(isolation, nowNanos)) {
        for (TargetActivity stage : stages.subList(0, begun)) {
          stage.end(isolation, nowNanos);
        }
        return false;
      }
    }
    return true;
  }

  /**
   * Ends a request registered by {@link #tryBegin}.
   *
   * @param isolation the isolation it was registered with
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void end(Isolation isolation, long nowNanos) {
    stages.forEach(stage -> stage.end(isolation, nowNanos));
  }
}
