package org.gooseberryhook.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.gooseberryhook.protocol.EngineErrors;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.StageReceipt;
import org.gooseberryhook.protocol.TokenEvent;

/**
 * Simulates the engines of one process and runs chains, that is attempts at a request that pass
 * through the stages of a pipeline. The hidden state passes from stage to stage in memory. A chain
 * waits while the batch of its head is full; interactive chains start before batch-priority chains.
 *
 * @since 0.1
 */
public final class EngineFleet {

  /** Text that, as part of a prompt, kills the last stage of each pipeline that runs the prompt. */
  public static final String CRASH_TEXT = "!crash!";

  private static final int MAX_WAITING = 512;
  private static final int SCHEDULER_THREADS = 4;
  private static final int CHARS_PER_TOKEN = 4;

  /** Interval at which a chain with a hung stage checks whether all stages respond again. */
  private static final long HANG_CHECK_MICROS = 50_000;

  private final Map<String, SimulatedEngine> engines = new ConcurrentHashMap<>();
  private final Map<String, ChainRun> runs = new ConcurrentHashMap<>();
  private final Map<String, Deque<ChainRun>> waitingByHead = new ConcurrentHashMap<>();
  private final ScheduledThreadPoolExecutor scheduler;
  private final long stepMicros;
  private final long prefillMicrosPerToken;
  private final long restartDelayMs;
  private final AtomicLong crashCount = new AtomicLong();

  /**
   * Creates a fleet without engines. Engines that a prompt kills stay dead.
   *
   * @param stepMicros time of one token step of a chain without slowed stages, in microseconds
   * @param prefillMicrosPerToken prefill time of one uncached prompt token, in microseconds
   */
  public EngineFleet(long stepMicros, long prefillMicrosPerToken) {
    this(stepMicros, prefillMicrosPerToken, 0);
  }

  /**
   * Creates a fleet without engines.
   *
   * @param stepMicros time of one token step of a chain without slowed stages, in microseconds
   * @param prefillMicrosPerToken prefill time of one uncached prompt token, in microseconds
   * @param restartDelayMs time after which an engine that a prompt killed is back without a model,
   *     in milliseconds; 0 if it stays dead
   */
  public EngineFleet(long stepMicros, long prefillMicrosPerToken, long restartDelayMs) {
    this.restartDelayMs = restartDelayMs;
    this.stepMicros = stepMicros;
    this.prefillMicrosPerToken = prefillMicrosPerToken;
    this.scheduler =
        new ScheduledThreadPoolExecutor(
            SCHEDULER_THREADS,
            task -> {
              Thread thread = new Thread(task, "standin-engine");
              thread.setDaemon(true);
              return thread;
            });
    scheduler.setRemoveOnCancelPolicy(true);
  }

  /**
   * Adds an engine; replaces an engine with the same target id.
   *
   * @param engine the engine
   */
  public void add(SimulatedEngine engine) {
    engines.put(engine.getState().targetId(), engine);
  }

  /**
   * Returns an engine.
   *
   * @param targetId the target
   * @return the engine, or empty if there is none
   */
  public Optional<SimulatedEngine> get(String targetId) {
    return Optional.ofNullable(engines.get(targetId));
  }

  /**
   * Returns all engines.
   *
   * @return the engines, never null
   */
  public Collection<SimulatedEngine> getAll() {
    return engines.values();
  }

  /**
   * Returns how many engines were killed by prompts with {@link #CRASH_TEXT}.
   *
   * @return the count
   */
  public long getCrashCount() {
    return crashCount.get();
  }

  /**
   * Starts an attempt, or queues it if the batch of its head is full.
   *
   * @param start the request, its attempt number and its stages
   * @param sink receives the events in order; returns false if the router has disconnected
   * @param onClose runs once when the attempt ends
   * @return false if the attempt is refused because too many attempts already wait for its head
   */
  public boolean start(EngineStart start, Predicate<TokenEvent> sink, Runnable onClose) {
    ChainRun run = new ChainRun(start, sink, onClose);
    Deque<ChainRun> waiting =
        waitingByHead.computeIfAbsent(headTargetIdOf(start), key -> new ArrayDeque<>());
    synchronized (waiting) {
      if (waiting.size() >= MAX_WAITING) {
        return false;
      }
      if (start.priority() == 0) {
        insertBeforeBatchPriority(waiting, run);
      } else {
        waiting.addLast(run);
      }
    }
    runs.put(run.key, run);
    run.stageEngines().forEach(engine -> engine.addChain(run.key));
    startWaitingRuns(headTargetIdOf(start));
    return true;
  }

  /**
   * Cancels an attempt; does nothing if it is unknown or has ended.
   *
   * @param requestId the request
   * @param attempt the attempt
   */
  public void cancel(String requestId, int attempt) {
    ChainRun run = runs.get(requestId + "#" + attempt);
    if (run != null) {
      run.finish();
    }
  }

  /**
   * Returns the targets that run a request.
   *
   * @param requestId the request
   * @return the stages of one waiting or running attempt in order; empty if there is none
   */
  public List<String> getTargetsOf(String requestId) {
    return runs.values().stream()
        .filter(run -> run.start.requestId().equals(requestId))
        .findFirst()
        .map(run -> run.start.stages().stream().map(EngineStart.Stage::targetId).toList())
        .orElse(List.of());
  }

  /**
   * Kills a target and ends the attempts that run on it.
   *
   * @param engine the engine
   */
  public void kill(SimulatedEngine engine) {
    engine.setDead(true);
    String targetId = engine.getState().targetId();
    for (ChainRun run : runs.values()) {
      if (run.isUsing(targetId)) {
        scheduler.execute(() -> run.endAfterTargetLoss(targetId));
      }
    }
  }

  /**
   * Makes a target hang for a time; then its chains go on.
   *
   * @param engine the engine
   * @param hangMs the time in milliseconds
   */
  public void hang(SimulatedEngine engine, long hangMs) {
    engine.setHung(true);
    scheduler.schedule(() -> engine.setHung(false), hangMs, TimeUnit.MILLISECONDS);
  }

  /** Stops the fleet. Running attempts end without an end event. */
  public void stop() {
    scheduler.shutdownNow();
    runs.values().forEach(ChainRun::finish);
  }

  private static String headTargetIdOf(EngineStart start) {
    return start.stages().get(0).targetId();
  }

  private static void insertBeforeBatchPriority(Deque<ChainRun> waiting, ChainRun run) {
    List<ChainRun> batchRuns = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.peekLast().start.priority() > 0) {
      batchRuns.add(waiting.pollLast());
    }
    waiting.addLast(run);
    for (int i = batchRuns.size() - 1; i >= 0; i--) {
      waiting.addLast(batchRuns.get(i));
    }
  }

  /**
   * Starts waiting attempts until the batch of the head is full. If the head is dead or unknown,
   * all are started, and each ends at once.
   */
  private void startWaitingRuns(String headId) {
    Deque<ChainRun> waiting = waitingByHead.get(headId);
    SimulatedEngine head = engines.get(headId);
    if (waiting == null) {
      return;
    }
    synchronized (waiting) {
      while (!waiting.isEmpty()) {
        ChainRun next = waiting.peekFirst();
        if (head != null && !head.isDead() && !next.isOver && !head.tryEnterBatch(next.key)) {
          return;
        }
        waiting.pollFirst();
        if (!next.isOver) {
          scheduler.execute(next::begin);
        }
      }
    }
  }

  /** One attempt at a request, from its queueing to its end. */
  private final class ChainRun {

    private final String key;
    private final EngineStart start;
    private final Predicate<TokenEvent> sink;
    private final Runnable onClose;
    private final int stageCount;
    private long context;
    private int step;
    private int promptTokens;
    private int cachedTokens;
    private volatile boolean isOver;

    ChainRun(EngineStart start, Predicate<TokenEvent> sink, Runnable onClose) {
      this.key = start.requestId() + "#" + start.attempt();
      this.start = start;
      this.sink = sink;
      this.onClose = onClose;
      this.stageCount = start.stages().size();
    }

    boolean isUsing(String targetId) {
      return start.stages().stream().anyMatch(stage -> stage.targetId().equals(targetId));
    }

    List<SimulatedEngine> stageEngines() {
      return start.stages().stream()
          .map(stage -> engines.get(stage.targetId()))
          .filter(Objects::nonNull)
          .toList();
    }

    void begin() {
      for (EngineStart.Stage stage : start.stages()) {
        SimulatedEngine engine = engines.get(stage.targetId());
        if (engine == null || engine.isDead()) {
          endAfterTargetLoss(stage.targetId());
          return;
        }
        if (!engine.isHolding(start.modelVersion(), stage.firstLayer(), stage.endLayer())) {
          endWithError(EngineErrors.REFUSED, stage.targetId());
          return;
        }
      }
      SimulatedEngine head = engines.get(headTargetIdOf(start));
      cachedTokens = head.cachePrefix(start.prompt());
      promptTokens = Math.max(1, start.prompt().length() / CHARS_PER_TOKEN);
      context = TokenFunction.contextOf(start.modelVersion(), start.prompt());
      for (int tokenId : start.deliveredTokenIds()) {
        context = TokenFunction.appendToken(context, tokenId);
      }
      step = start.deliveredTokenIds().size();
      long uncachedTokens = promptTokens - cachedTokens + step;
      schedule(uncachedTokens * prefillMicrosPerToken + stepDelayMicros());
    }

    private long stepDelayMicros() {
      double factorSum = 0;
      for (EngineStart.Stage stage : start.stages()) {
        SimulatedEngine engine = engines.get(stage.targetId());
        factorSum += engine == null ? 1 : engine.getSlowFactor();
      }
      return Math.round(stepMicros * factorSum / stageCount);
    }

    private void schedule(long delayMicros) {
      if (!scheduler.isShutdown()) {
        scheduler.schedule(this::runStep, delayMicros, TimeUnit.MICROSECONDS);
      }
    }

    private synchronized void runStep() {
      if (isOver) {
        return;
      }
      if (isHung()) {
        schedule(HANG_CHECK_MICROS);
        return;
      }
      if (step >= start.maxTokens()) {
        sink.test(
            TokenEvent.ofEnd(start.requestId(), start.attempt(), step, promptTokens, cachedTokens));
        finish();
        return;
      }
      if (start.prompt().contains(CRASH_TEXT)) {
        crashLastStage();
        return;
      }
      TokenEvent event = runStages();
      if (event == null || !sink.test(event)) {
        finish();
        return;
      }
      step++;
      schedule(step >= start.maxTokens() ? 0 : stepDelayMicros());
    }

    private boolean isHung() {
      return start.stages().stream()
          .map(stage -> engines.get(stage.targetId()))
          .anyMatch(engine -> engine != null && engine.isHung());
    }

    private TokenEvent runStages() {
      long hidden = context;
      List<StageReceipt> receipts = new ArrayList<>(stageCount);
      for (EngineStart.Stage stage : start.stages()) {
        SimulatedEngine engine = engines.get(stage.targetId());
        if (engine == null
            || !engine.isHolding(start.modelVersion(), stage.firstLayer(), stage.endLayer())) {
          boolean isLost = engine == null || engine.isDead();
          String reason = isLost ? EngineErrors.STAGE_LOST : EngineErrors.STAGE_CHANGED;
          sink.test(
              TokenEvent.ofError(start.requestId(), start.attempt(), reason, stage.targetId()));
          return null;
        }
        hidden = TokenFunction.runLayers(hidden, stage.firstLayer(), stage.endLayer());
        receipts.add(new StageReceipt(stage.firstLayer(), stage.endLayer(), step, start.attempt()));
      }
      int tokenId = TokenFunction.tokenOf(hidden);
      context = TokenFunction.appendToken(context, tokenId);
      return TokenEvent.ofToken(
          start.requestId(),
          start.attempt(),
          step,
          tokenId,
          TokenFunction.textOf(tokenId),
          receipts);
    }

    private void crashLastStage() {
      EngineStart.Stage last = start.stages().get(stageCount - 1);
      SimulatedEngine engine = engines.get(last.targetId());
      if (engine != null && !engine.isDead()) {
        crashCount.incrementAndGet();
        kill(engine);
        if (restartDelayMs > 0 && !scheduler.isShutdown()) {
          scheduler.schedule(engine::restartEmpty, restartDelayMs, TimeUnit.MILLISECONDS);
        }
      }
    }

    synchronized void endAfterTargetLoss(String targetId) {
      if (isOver) {
        return;
      }
      // A head that died cannot report an error; only its connection closes.
      if (!targetId.equals(headTargetIdOf(start))) {
        sink.test(
            TokenEvent.ofError(
                start.requestId(), start.attempt(), EngineErrors.STAGE_LOST, targetId));
      }
      finish();
    }

    private void endWithError(String reason, String targetId) {
      sink.test(TokenEvent.ofError(start.requestId(), start.attempt(), reason, targetId));
      finish();
    }

    void finish() {
      synchronized (this) {
        if (isOver) {
          return;
        }
        isOver = true;
      }
      runs.remove(key, this);
      stageEngines().forEach(engine -> engine.removeChain(key));
      SimulatedEngine head = engines.get(headTargetIdOf(start));
      if (head != null) {
        head.leaveBatch(key);
      }
      onClose.run();
      startWaitingRuns(headTargetIdOf(start));
    }
  }
}
