package org.gooseberryhook.router.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.gooseberryhook.router.configuration.EngineProfile;

/**
 * A pipeline of engines under a trace of arrivals. Deterministic.
 *
 * <p>Each stage works in passes. A pass takes all requests that wait at the stage: each gets the
 * token steps of one event; beside them prompts are read, at most a chunk for each step. Then the
 * requests and the parts of prompts move on to the next stage. Memory and transfers between data
 * centres are left out.
 */
public final class PipelineSimulation {

  /** Time between two stages of one data centre. */
  private static final double LINK_MS = 0.2;

  private static final double MS_PER_SECOND = 1_000;
  private static final double MILLION = 1_000_000;

  private final EngineProfile profile;
  private final List<Stage> stages = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long sequence;

  /**
   * A stream to run.
   *
   * @param startMs time at which the pipeline gets it
   * @param promptTokens tokens to read
   * @param events events to make
   */
  public record Stream(double startMs, int promptTokens, int events) {}

  /** What became of a stream. */
  public static final class Run {
    private final Stream stream;
    private double contextTokens;
    private int readTokens;
    private int made;
    private double firstMs;
    private double lastMs;
    private double longestMs;

    Run(Stream stream) {
      this.stream = stream;
      this.contextTokens = stream.promptTokens();
    }

    /** Returns the time from the start to the first event. */
    public double firstAfterMs() {
      return firstMs - stream.startMs();
    }

    /** Returns the mean time between events; 0 if there are fewer than two. */
    public double meanMs() {
      return made < 2 ? 0 : (lastMs - firstMs) / (made - 1);
    }

    /** Returns the longest time between two events. */
    public double longestMs() {
      return longestMs;
    }

    /** Returns the stream. */
    public Stream stream() {
      return stream;
    }

    /** Tells whether all events were made. */
    public boolean isComplete() {
      return made >= stream.events();
    }

    private void onEvent(double nowMs) {
      if (made == 0) {
        firstMs = nowMs;
      } else {
        longestMs = Math.max(longestMs, nowMs - lastMs);
      }
      lastMs = nowMs;
      made++;
    }
  }

  private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private static final class Reading {
    private final Run run;
    private int leftTokens;
    private int doneTokens;

    Reading(Run run, int tokens) {
      this.run = run;
      this.leftTokens = tokens;
    }
  }

  private final class Stage {
    private final int index;
    private final double share;
    private final double paceFactor;
    private final double readFactor;
    private final Deque<Reading> readings = new ArrayDeque<>();
    private List<Run> waiting = new ArrayList<>();
    private boolean isBusy;

    Stage(int index, EnginePart part) {
      this.index = index;
      this.share = (double) part.layers() / profile.layerCount() * part.pace();
      this.paceFactor = part.kind().decodeTimeFactor();
      this.readFactor = part.kind().prefillTimeFactor();
    }

    void startPass(double nowMs) {
      if (isBusy || (waiting.isEmpty() && readings.isEmpty())) {
        return;
      }
      isBusy = true;
      List<Run> batch = waiting;
      waiting = new ArrayList<>();
      int steps = batch.isEmpty() ? 1 : profile.decodeStepsPerPass();
      List<Reading> read = new ArrayList<>();
      double passMs = readMs(profile.prefillChunkTokens() * steps, read);
      double contextTokens = batch.stream().mapToDouble(run -> run.contextTokens).sum();
      passMs +=
          steps
              * share
              * paceFactor
              * (profile.stepMs()
                  + profile.perSequenceMs() * batch.size()
                  + profile.contextMsPer1000Tokens() * contextTokens / MS_PER_SECOND);
      double endMs = nowMs + passMs;
      at(endMs, () -> endPass(endMs, batch, read));
    }

    private double readMs(int budgetTokens, List<Reading> read) {
      double sumMs = 0;
      int left = budgetTokens;
      while (left > 0 && !readings.isEmpty()) {
        Reading reading = readings.peekFirst();
        int tokens = Math.min(left, reading.leftTokens);
        double pairs = tokens * (reading.doneTokens + tokens / 2.0);
        sumMs +=
            share
                * readFactor
                * (tokens * MS_PER_SECOND / profile.prefillTokensPerSecond()
                    + profile.attentionMsPerMillionPairs() * pairs / MILLION);
        reading.leftTokens -= tokens;
        reading.doneTokens += tokens;
        left -= tokens;
        read.add(new Reading(reading.run, tokens));
        if (reading.leftTokens == 0) {
          readings.removeFirst();
        }
      }
      return sumMs;
    }

    private void endPass(double nowMs, List<Run> batch, List<Reading> read) {
      isBusy = false;
      double thereMs = nowMs + LINK_MS;
      for (Run run : batch) {
        at(thereMs, () -> arrive(run, (index + 1) % stages.size(), thereMs));
      }
      for (Reading reading : read) {
        at(thereMs, () -> arriveRead(reading, index + 1, thereMs));
      }
      startPass(nowMs);
    }
  }

  private PipelineSimulation(EngineProfile profile, List<EnginePart> parts) {
    this.profile = profile;
    for (EnginePart part : parts) {
      stages.add(new Stage(stages.size(), part));
    }
  }

  /**
   * Runs streams to their ends.
   *
   * @param profile figures of the engines
   * @param parts the stages
   * @param streams the streams
   * @return their runs, in the order of the streams
   */
  public static List<Run> run(EngineProfile profile, List<EnginePart> parts, List<Stream> streams) {
    PipelineSimulation simulation = new PipelineSimulation(profile, parts);
    List<Run> runs = new ArrayList<>();
    for (Stream stream : streams) {
      Run run = new Run(stream);
      runs.add(run);
      Reading prompt = new Reading(run, stream.promptTokens());
      simulation.at(
          stream.startMs(),
          () -> {
            simulation.stages.get(0).readings.addLast(prompt);
            simulation.stages.get(0).startPass(stream.startMs());
          });
    }
    while (!simulation.events.isEmpty()) {
      simulation.events.poll().action().run();
    }
    return runs;
  }

  private void at(double atMs, Runnable action) {
    events.add(new Event(atMs, sequence++, action));
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

  private void arriveRead(Reading reading, int stageIndex, double nowMs) {
    if (stageIndex < stages.size()) {
      stages.get(stageIndex).readings.addLast(reading);
      stages.get(stageIndex).startPass(nowMs);
      return;
    }
    Run run = reading.run;
    run.readTokens += reading.leftTokens;
    if (run.readTokens >= run.stream().promptTokens()) {
      run.onEvent(nowMs);
      if (!run.isComplete()) {
        stages.get(0).waiting.add(run);
        stages.get(0).startPass(nowMs);
      }
    }
  }
}
