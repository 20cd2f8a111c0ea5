package org.gooseberryhook.load.script;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Generates scripts; a seed always gives the same script. */
public final class ScriptGenerator {

  private static final int TOKENS = 12;

  /** Sends that may have faults; the routes of the players allow fewer to one request. */
  private static final int SENDS = 4;

  /** Silences reach from below the time after which a node checks a target to three times that. */
  private static final int MIN_SILENCE_MS = 500;

  private static final int MAX_SILENCE_MS = 2_100;

  /** Large enough that a slow caller fills the buffers of its connection. */
  private static final int LARGE_EVENT_BYTES = 32_768;

  private static final int MAX_START_MS = 1_500;
  private static final int MAX_TOKENS_PER_EVENT = 4;
  private static final List<Integer> STATUSES = List.of(200, 400, 421, 429, 500, 502, 503);

  /** Faults that come at an event, most frequent first. */
  private static final List<StepAction> EVENT_FAULTS =
      List.of(
          StepAction.SILENCE_BEFORE,
          StepAction.SILENCE_BEFORE,
          StepAction.SILENCE_WITHIN,
          StepAction.HOLD,
          StepAction.REPEAT,
          StepAction.BACK,
          StepAction.CLOSE,
          StepAction.CLOSE_WITHIN,
          StepAction.RESET,
          StepAction.RESET_WITHIN);

  private final int nodeCount;
  private final SplittableRandom random;
  private final List<ScriptStep> steps = new ArrayList<>();

  private ScriptGenerator(long seed, int nodeCount) {
    this.nodeCount = nodeCount;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Generates a script.
   *
   * @param seed seed of the script
   * @param nodeCount number of nodes, at least 1
   * @return the script
   */
  public static StreamScript generate(long seed, int nodeCount) {
    return new ScriptGenerator(seed, nodeCount).generate(seed);
  }

  private StreamScript generate(long seed) {
    boolean isResumable = isOneIn(3, 2);
    for (int send = 0; send < SENDS; send++) {
      addSend(send);
    }
    if (isOneIn(20, 1)) {
      add(StepAction.CUT, node(), random.nextInt(MAX_START_MS), silenceMs());
    }
    if (isOneIn(40, 1)) {
      add(StepAction.STAND_STILL, node(), random.nextInt(MAX_START_MS), silenceMs());
    }
    boolean isSlow = isOneIn(10, 1);
    if (isSlow) {
      add(StepAction.SLOW, 0, event(), silenceMs());
    }
    if (isResumable && isOneIn(4, 1)) {
      add(StepAction.RESUME, node(), random.nextInt(1, TOKENS), 0);
    }
    if (isOneIn(20, 1)) {
      add(StepAction.LEAVE, 0, event(), 0);
    }
    return new StreamScript(
        seed, isResumable, TOKENS, isSlow ? LARGE_EVENT_BYTES : 0, node(), steps);
  }

  private void addSend(int send) {
    if (isOneIn(3, 1)) {
      add(StepAction.TOKENS_PER_EVENT, send, 0, random.nextInt(2, MAX_TOKENS_PER_EVENT + 1));
    }
    if (isOneIn(6, 1)) {
      add(StepAction.SILENCE_BEFORE, send, 0, silenceMs());
    }
    if (isOneIn(8, 1)) {
      StepAction action = isOneIn(2, 1) ? StepAction.SIGNED_STATUS : StepAction.STATUS;
      int first = action == StepAction.SIGNED_STATUS ? 1 : 0;
      add(action, send, 0, STATUSES.get(random.nextInt(first, STATUSES.size())));
    }
    if (isOneIn(8, 1)) {
      add(StepAction.IGNORE_LAST_ID, send, 0, 0);
    }
    int faults = random.nextInt(3);
    for (int i = 0; i < faults; i++) {
      StepAction action = EVENT_FAULTS.get(random.nextInt(EVENT_FAULTS.size()));
      add(action, send, event(), amount(action));
    }
  }

  private int amount(StepAction action) {
    return switch (action) {
      case SILENCE_BEFORE, SILENCE_WITHIN, HOLD -> silenceMs();
      case REPEAT -> isOneIn(2, 1) ? 0 : silenceMs();
      case BACK -> random.nextInt(1, 5);
      default -> 0;
    };
  }

  private void add(StepAction action, int index, int at, int amount) {
    steps.add(new ScriptStep(action, index, at, amount));
  }

  private int node() {
    return random.nextInt(nodeCount);
  }

  private int event() {
    return random.nextInt(1, TOKENS + 1);
  }

  private int silenceMs() {
    return random.nextInt(MIN_SILENCE_MS, MAX_SILENCE_MS + 1);
  }

  private boolean isOneIn(int total, int share) {
    return random.nextInt(total) < share;
  }
}
