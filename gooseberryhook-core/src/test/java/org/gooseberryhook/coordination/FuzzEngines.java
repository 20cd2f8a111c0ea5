package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.StageReceipt;
import org.gooseberryhook.protocol.TokenEvent;
import org.gooseberryhook.state.Target;

/**
 * Simulated engines whose tokens are a function of the prompt, the earlier tokens and the layers
 * that ran, in order. Faults skip a stage or run it twice, and lose, duplicate or delay events or
 * send them to the stream of another request; receipts always report what ran.
 */
final class FuzzEngines {

  static final int LAYERS = 6;
  static final int MAX_TOKENS = 16;
  static final String NOT_SENT = "not sent";
  private static final long MS = FuzzWorld.MS;

  final List<Target> targets = new ArrayList<>();
  final Map<String, Long> deadUntil = new HashMap<>();
  private final List<Attempt> active = new ArrayList<>();
  private final FuzzWorld world;

  /** One attempt at the engines. */
  final class Attempt {
    private final FuzzModelCall call;
    private final EngineStart engineStart;
    private final List<Integer> tokens;
    private boolean isCancelled;

    private Attempt(FuzzModelCall call, EngineStart engineStart) {
      this.call = call;
      this.engineStart = engineStart;
      this.tokens = new ArrayList<>(engineStart.deliveredTokenIds());
    }

    /** Takes effect after up to 300 ms, so events of the attempt continue for a while. */
    void cancel() {
      world.schedule(world.random.nextLong(300 * MS), () -> isCancelled = true);
    }
  }

  FuzzEngines(FuzzWorld world) {
    this.world = world;
    for (int replica = 0; replica < 4; replica++) {
      String place = "p" + replica % 2;
      targets.add(RoutingFixtures.target("t" + replica + "a", place, 0, 2));
      targets.add(RoutingFixtures.target("t" + replica + "b", place, 2, LAYERS));
    }
  }

  static int expectedCount(String prompt) {
    return 3 + Math.floorMod(prompt.hashCode(), MAX_TOKENS - 3);
  }

  static List<Integer> expected(String prompt) {
    List<Integer> tokens = new ArrayList<>();
    while (tokens.size() < expectedCount(prompt)) {
      tokens.add(runLayers(hiddenState(prompt, tokens), 0, LAYERS));
    }
    return tokens;
  }

  private static int hiddenState(String prompt, List<Integer> before) {
    return prompt.hashCode() * 31 + before.hashCode();
  }

  private static int runLayers(int hidden, int firstLayer, int endLayer) {
    int state = hidden;
    for (int layer = firstLayer; layer < endLayer; layer++) {
      state = Integer.rotateLeft(state * 0x9E3779B1 + layer + 1, 7);
    }
    return state;
  }

  Attempt start(FuzzModelCall call, EngineStart engineStart) {
    Attempt attempt = new Attempt(call, engineStart);
    world.schedule((1 + world.random.nextInt(20)) * MS, () -> begin(attempt));
    return attempt;
  }

  void kill(String targetId, long nanos) {
    deadUntil.put(targetId, world.now + nanos);
  }

  private boolean isDead(String targetId) {
    return deadUntil.getOrDefault(targetId, 0L) > world.now;
  }

  private void begin(Attempt attempt) {
    String head = attempt.engineStart.stages().get(0).targetId();
    if (isDead(head)) {
      emitError(attempt, NOT_SENT, head);
    } else {
      active.add(attempt);
      world.oracle.onEngineRun(attempt.call);
      step(attempt);
    }
  }

  private void step(Attempt attempt) {
    if (attempt.isCancelled) {
      active.remove(attempt);
      return;
    }
    EngineStart engineStart = attempt.engineStart;
    int step = attempt.tokens.size();
    if (step >= expectedCount(engineStart.prompt())) {
      active.remove(attempt);
      TokenEvent end = TokenEvent.ofEnd(engineStart.requestId(), engineStart.attempt(), step, 1, 0);
      emit(attempt, end);
      return;
    }
    int hidden = hiddenState(engineStart.prompt(), attempt.tokens);
    List<StageReceipt> receipts = new ArrayList<>();
    for (EngineStart.Stage stage : engineStart.stages()) {
      boolean isCrash = engineStart.prompt().startsWith("crash") && world.random.nextInt(4) == 0;
      if (isCrash) {
        kill(stage.targetId(), 3_000 * MS);
      }
      if (isDead(stage.targetId())) {
        failStage(attempt, stage.targetId());
        return;
      }
      int runs = world.random.nextInt(100) >= world.engineFaultPercent ? 1 : chooseRuns();
      for (int run = 0; run < runs; run++) {
        hidden = runLayers(hidden, stage.firstLayer(), stage.endLayer());
        receipts.add(
            new StageReceipt(stage.firstLayer(), stage.endLayer(), step, engineStart.attempt()));
      }
    }
    attempt.tokens.add(hidden);
    emit(
        attempt,
        TokenEvent.ofToken(
            engineStart.requestId(), engineStart.attempt(), step, hidden, "x", receipts));
    int slowness = engineStart.prompt().startsWith("slow") ? 18 : 1;
    world.schedule((5 + world.random.nextInt(80)) * slowness * MS, () -> step(attempt));
  }

  private int chooseRuns() {
    return world.random.nextBoolean() ? 0 : 2;
  }

  private void failStage(Attempt attempt, String targetId) {
    active.remove(attempt);
    if (world.random.nextInt(4) > 0) {
      emitError(attempt, "stream broke", targetId);
    }
  }

  private void emitError(Attempt attempt, String error, String targetId) {
    EngineStart engineStart = attempt.engineStart;
    emit(
        attempt,
        TokenEvent.ofError(engineStart.requestId(), engineStart.attempt(), error, targetId));
  }

  private void emit(Attempt attempt, TokenEvent event) {
    boolean isFaulty = world.random.nextInt(100) < 2 * world.engineFaultPercent;
    int fault = isFaulty ? world.random.nextInt(4) : -1;
    if (fault != 0) {
      long delay = fault == 1 ? world.random.nextLong(600 * MS) : MS;
      attempt.call.node.post(delay, () -> attempt.call.onEvent(event));
    }
    if (fault == 2) {
      attempt.call.node.post(world.random.nextLong(600 * MS), () -> attempt.call.onEvent(event));
    }
    if (fault == 3 && !active.isEmpty()) {
      Attempt other = active.get(world.random.nextInt(active.size()));
      other.call.node.post(MS, () -> other.call.onEvent(event));
    }
  }
}
