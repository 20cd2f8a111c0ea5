package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/**
 * Tracks what each target still has to do for this node's requests: tokens to generate and prompt
 * tokens to read for streams, work time for plain requests. Bounded by the requests in flight.
 */
public final class RemainingWork {

  /**
   * Share of its expected work time that a plain request has left at least. A request that has
   * outlasted its expectation may wait in the queue of the target.
   */
  static final double MIN_LEFT_SHARE = 0.25;

  private final Map<String, Tokens> tokens = new HashMap<>();
  private final Map<String, List<PlainWork>> plainWork = new HashMap<>();

  /**
   * Tokens that a target has left to process.
   *
   * @param prompt prompt tokens to read
   * @param output tokens to generate
   */
  public record Tokens(long prompt, long output) {

    /** No tokens. */
    public static final Tokens NONE = new Tokens(0, 0);

    private Tokens plus(Tokens other) {
      return new Tokens(prompt + other.prompt, output + other.output);
    }
  }

  /** A plain request in progress at a target. */
  public static final class PlainWork {
    private final String targetId;
    private final double expectedMs;
    private final long startedMs;

    private PlainWork(String targetId, double expectedMs, long startedMs) {
      this.targetId = targetId;
      this.expectedMs = expectedMs;
      this.startedMs = startedMs;
    }

    private double leftMs(long nowMs) {
      return Math.max(MIN_LEFT_SHARE * expectedMs, expectedMs - (nowMs - startedMs));
    }
  }

  /** A stream in progress at the targets of a pipeline. */
  public final class StreamWork {
    private final ModelPipeline pipeline;
    private Tokens left;

    private StreamWork(ModelPipeline pipeline, Tokens left) {
      this.pipeline = pipeline;
      this.left = left;
      change(left);
    }

    /**
     * Records tokens that were generated; the first ones show that the prompt has been read.
     *
     * @param generatedTokens number of further tokens
     */
    public void onGenerated(int generatedTokens) {
      Tokens next = new Tokens(0, Math.max(0, left.output() - generatedTokens));
      change(new Tokens(-left.prompt(), next.output() - left.output()));
      left = next;
    }

    /**
     * Returns what is left of the stream.
     *
     * @return tokens, none after its end
     */
    public Tokens left() {
      return left;
    }

    /** Removes what is left of the stream. Later calls change nothing. */
    public void end() {
      change(new Tokens(-left.prompt(), -left.output()));
      left = Tokens.NONE;
    }

    private void change(Tokens change) {
      if (change.prompt() == 0 && change.output() == 0) {
        return;
      }
      for (PipelineStage stage : pipeline.stages()) {
        Tokens sum = tokens.merge(stage.target().id(), change, Tokens::plus);
        if (sum.equals(Tokens.NONE)) {
          tokens.remove(stage.target().id());
        }
      }
    }
  }

  /**
   * Adds a stream.
   *
   * @param pipeline its pipeline
   * @param promptTokens number of prompt tokens to read
   * @param outputTokens number of output tokens that are expected
   * @return the stream's part, to be told of its progress and end
   */
  public StreamWork addStream(ModelPipeline pipeline, int promptTokens, int outputTokens) {
    return new StreamWork(pipeline, new Tokens(promptTokens, outputTokens));
  }

  /**
   * Adds a plain request.
   *
   * @param targetId id of its target
   * @param expectedMs expected work time in milliseconds, 0 if unknown
   * @param nowMs monotonic time in milliseconds
   * @return the request's part, to be passed to {@link #removePlain}
   */
  public PlainWork addPlain(String targetId, double expectedMs, long nowMs) {
    PlainWork work = new PlainWork(targetId, expectedMs, nowMs);
    plainWork.computeIfAbsent(targetId, id -> new ArrayList<>()).add(work);
    return work;
  }

  /**
   * Removes a plain request that has ended.
   *
   * @param work what {@link #addPlain} returned
   */
  public void removePlain(PlainWork work) {
    plainWork.computeIfPresent(
        work.targetId,
        (id, works) -> {
          works.remove(work);
          return works.isEmpty() ? null : works;
        });
  }

  /**
   * Returns the work time that a target has left for this node's plain requests.
   *
   * @param targetId id of the target
   * @param unknownMs work time of a request that was sent before anything was learned, in
   *     milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return milliseconds
   */
  public double plainLeftMs(String targetId, double unknownMs, long nowMs) {
    double sumMs = 0;
    for (PlainWork work : plainWork.getOrDefault(targetId, List.of())) {
      sumMs += work.expectedMs > 0 ? work.leftMs(nowMs) : unknownMs;
    }
    return sumMs;
  }

  /**
   * Returns what a target has left to process for this node's streams.
   *
   * @param targetId id of the target
   * @return tokens, {@link Tokens#NONE} if there are none
   */
  public Tokens tokensLeft(String targetId) {
    return tokens.getOrDefault(targetId, Tokens.NONE);
  }

  /**
   * Returns the tokens that are left to generate for this node's streams, for the gauges.
   *
   * @return number of tokens, counted once for each target of a pipeline
   */
  public long outputTokensLeft() {
    return tokens.values().stream().mapToLong(Tokens::output).sum();
  }
}
