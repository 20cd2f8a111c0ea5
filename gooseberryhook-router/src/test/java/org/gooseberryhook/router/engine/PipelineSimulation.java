package org.gooseberryhook.router.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.gooseberryhook.router.configuration.EngineProfile;

/**
 * Deterministic simulation of a pipeline of engines under a trace of arrivals.
 *
 * <p>Each stage works in passes. A pass takes all requests that wait at the stage: each gets the
 * token steps of one event. Prompts are read in the same pass, at most one chunk per step. The
 * requests and prompt chunks then move on to the next stage. Memory and transfers between data
 * centres are not simulated.
 */
public final class PipelineSimulation {

  /** Transfer time between two stages of one data centre. */
  private static final double LINK_MS = 0.2;

  private static final double MS_PER_SECOND = 1_000;
  private static final double MILLION = 1_000_000;

  private final EngineProfile profile;
  private final List<Stage> stages = new ArrayList<>();
  private final PriorityQueue<ScheduledAction> schedule = new PriorityQueue<>();
  private long sequence;

  /**
   * Stream to run.
   *
   * @param startMs time at which the pipeline receives the stream, in milliseconds
   * @param promptTokens number of prompt tokens to read
   * @param events number of events to produce
   */
  public record Stream(double startMs, int promptTokens, int events) {}

  /** State and measured times of a stream. */
  public static final class Run {
    private final Stream stream;
    private double contextTokens;
    private int prefilledTokens;
    private int eventCount;
    private double firstMs;
    private double lastMs;
    private double longestGapMs;

    Run(Stream stream) {
      this.stream = stream;
      this.contextTokens = stream.promptTokens();
    }

    /** Returns the time from the start to the first event. */
    public double timeToFirstEventMs() {
      return firstMs - stream.startMs();
    }

    /** Returns the mean time between events; 0 if there are fewer than two. */
    public double meanGapMs() {
      return eventCount < 2 ? 0 : (lastMs - firstMs) / (eventCount - 1);
    }

    /** Returns the longest time between two events. */
    public double longestGapMs() {
      return longestGapMs;
    }

    /** Returns the stream. */
    public Stream stream() {
      return stream;
    }

    /** Returns whether all events were produced. */
    public boolean isComplete() {
      return eventCount >= stream.events();
    }

    private void onEvent(double nowMs) {
      if (eventCount == 0) {
        firstMs = nowMs;
      } else {
        longestGapMs = Math.max(longestGapMs, nowMs - lastMs);
      }
      lastMs = nowMs;
      eventCount++;
    }
  }

  private record ScheduledAction(double atMs, long sequence, Runnable action)
      implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
      int byTime = Double.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private static final class PromptChunk {
    private final Run run;
    private int remainingTokens;
    private int processedTokens;

    PromptChunk(Run run, int tokens) {
      this.run = run;
      this.remainingTokens = tokens;
    }
  }

  private final class Stage {
    private final int index;
    private final double share;
    private final double decodeTimeFactor;
    private final double prefillTimeFactor;
    private final Deque<PromptChunk> prompts = new ArrayDeque<>();
    private List<Run> waiting = new ArrayList<>();
    private boolean isBusy;

    Stage(int index, EngineStage engineStage) {
      this.index = index;
      this.share =
          (double) engineStage.layerCount() / profile.layerCount() * engineStage.slowdownFactor();
      this.decodeTimeFactor = engineStage.kind().decodeTimeFactor();
      this.prefillTimeFactor = engineStage.kind().prefillTimeFactor();
    }

    void startPass(double nowMs) {
      if (isBusy || (waiting.isEmpty() && prompts.isEmpty())) {
        return;
      }
      isBusy = true;
      List<Run> batch = waiting;
      waiting = new ArrayList<>();
      int steps = batch.isEmpty() ? 1 : profile.decodeStepsPerPass();
      List<PromptChunk> chunks = new ArrayList<>();
      double passMs = prefillMs(profile.prefillChunkTokens() * steps, chunks);
      double contextTokens = batch.stream().mapToDouble(run -> run.contextTokens).sum();
      passMs +=
          steps
              * share
              * decodeTimeFactor
              * (profile.stepMs()
                  + profile.perSequenceMs() * batch.size()
                  + profile.contextMsPer1000Tokens() * contextTokens / MS_PER_SECOND);
      double endMs = nowMs + passMs;
      at(endMs, () -> endPass(endMs, batch, chunks));
    }

    private double prefillMs(int budgetTokens, List<PromptChunk> chunks) {
      double sumMs = 0;
      int remaining = budgetTokens;
      while (remaining > 0 && !prompts.isEmpty()) {
        PromptChunk chunk = prompts.peekFirst();
        int tokens = Math.min(remaining, chunk.remainingTokens);
        double pairs = tokens * (chunk.processedTokens + tokens / 2.0);
        sumMs +=
            share
                * prefillTimeFactor
                * (tokens * MS_PER_SECOND / profile.prefillTokensPerSecond()
                    + profile.attentionMsPerMillionPairs() * pairs / MILLION);
        chunk.remainingTokens -= tokens;
        chunk.processedTokens += tokens;
        remaining -= tokens;
        chunks.add(new PromptChunk(chunk.run, tokens));
        if (chunk.remainingTokens == 0) {
          prompts.removeFirst();
        }
      }
      return sumMs;
    }

    private void endPass(double nowMs, List<Run> batch, List<PromptChunk> chunks) {
      isBusy = false;
      double arrivalMs = nowMs + LINK_MS;
      for (Run run : batch) {
        at(arrivalMs, () -> arrive(run, (index + 1) % stages.size(), arrivalMs));
      }
      for (PromptChunk chunk : chunks) {
        at(arrivalMs, () -> arriveChunk(chunk, index + 1, arrivalMs));
      }
      startPass(nowMs);
    }
  }

  private PipelineSimulation(EngineProfile profile, List<EngineStage> engineStages) {
    this.profile = profile;
    for (EngineStage engineStage : engineStages) {
      stages.add(new Stage(stages.size(), engineStage));
    }
  }

  /**
   * Runs streams until all their events are produced.
   *
   * @param profile profile of the engines
   * @param engineStages stages of the pipeline
   * @param streams the streams
   * @return their runs, in the order of the streams
   */
  public static List<Run> run(
      EngineProfile profile, List<EngineStage> engineStages, List<Stream> streams) {
    PipelineSimulation simulation = new PipelineSimulation(profile, engineStages);
    List<Run> runs = new ArrayList<>();
    for (Stream stream : streams) {
      Run run = new Run(stream);
      runs.add(run);
      PromptChunk prompt = new PromptChunk(run, stream.promptTokens());
      simulation.at(
          stream.startMs(),
          () -> {
            simulation.stages.get(0).prompts.addLast(prompt);
            simulation.stages.get(0).startPass(stream.startMs());
          });
    }
    while (!simulation.schedule.isEmpty()) {
      simulation.schedule.poll().action().run();
    }
    return runs;
  }

  private void at(double atMs, Runnable action) {
    schedule.add(new ScheduledAction(atMs, sequence++, action));
  }

  private void arrive(Run run, int stageIndex, double nowMs) {
    if (stageIndex == 0) {
      run.contextTokens += profile.decodeStepsPerPass();
      run.onEvent(nowMs);
    }
    if (!run.isComplete()) {
      stages.get(stageIndex).waiting.add(run);
      stages.get(stageIndex).startPass(nowMs);
    }
  }

  private void arriveChunk(PromptChunk chunk, int stageIndex, double nowMs) {
    if (stageIndex < stages.size()) {
      stages.get(stageIndex).prompts.addLast(chunk);
      stages.get(stageIndex).startPass(nowMs);
      return;
    }
    Run run = chunk.run;
    run.prefilledTokens += chunk.remainingTokens;
    if (run.prefilledTokens >= run.stream().promptTokens()) {
      run.onEvent(nowMs);
      if (!run.isComplete()) {
        stages.get(0).waiting.add(run);
        stages.get(0).startPass(nowMs);
      }
    }
  }
}
