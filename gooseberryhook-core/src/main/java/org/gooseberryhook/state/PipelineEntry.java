package org.gooseberryhook.state;

import java.util.List;

/**
 * A routed pipeline with references to what is known about its stages and links.
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
   * Returns the links that a token crosses, with the one from the last stage back to the head.
   *
   * @return the links in order, empty for a single stage
   */
  public List<LinkTime> links() {
    return links;
  }

  public CircuitBreaker breaker() {
    return breaker;
  }

  /**
   * Returns the learned prompt time per uncached token.
   *
   * @return nanoseconds; 0 before anything is learned
   */
  public double promptNanosPerToken() {
    return promptNanosPerToken;
  }

  public void setPromptNanosPerToken(double value) {
    promptNanosPerToken = value;
  }

  /**
   * Returns the requests on the fullest stage.
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
   * Returns the batching slots of the smallest stage that has reported its load. Reports of a large
   * fleet come in over many seconds, and an assumed small stage would hide free slots until then.
   *
   * @return a count of at least 1
   */
  public int slots() {
    int least = Integer.MAX_VALUE;
    for (TargetActivity stage : stages) {
      least = stage.isReported() ? Math.min(least, stage.slots()) : least;
    }
    return least == Integer.MAX_VALUE ? TargetActivity.DEFAULT_SLOTS : least;
  }

  /**
   * Tells whether neither the pipeline nor a stage is taken out of use.
   *
   * @return true if ordinary requests may pass
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
   * @param isolation how the request must be kept apart
   * @param nowNanos monotonic time
   * @return false if a stage refuses it
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
   * @param nowNanos monotonic time
   */
  public void end(Isolation isolation, long nowNanos) {
    stages.forEach(stage -> stage.end(isolation, nowNanos));
  }
}
