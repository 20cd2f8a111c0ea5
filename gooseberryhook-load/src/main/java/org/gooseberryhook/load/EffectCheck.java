package org.gooseberryhook.load;

import java.util.HashMap;
import java.util.Map;

/** Compares the outcomes reported for once-only calls with the effects at the service. */
final class EffectCheck {

  private EffectCheck() {}

  /** Outcome of a once-only call as its caller knows it. */
  enum CallState {
    /** No final response yet, or a response was lost: the call may have run. */
    UNKNOWN,
    /** A response confirmed that the call ran. */
    RAN,
    /** Every response reported {@code not-run}. */
    NOT_RUN
  }

  /**
   * Differences between calls and effects.
   *
   * @param lost confirmed calls without effect
   * @param doubled calls with more than one effect
   * @param falseNotRun calls with an effect that were reported as {@code not-run}
   */
  record Differences(long lost, long doubled, long falseNotRun) {}

  /** Compares the state of each call by its key with the number of effects by effect name. */
  static Differences compare(Map<String, CallState> calls, Map<String, Long> effects) {
    Map<String, Long> countByKey = new HashMap<>();
    effects.forEach((name, count) -> countByKey.merge(keyOf(name), count, Long::sum));
    long lost = 0;
    long doubled = 0;
    long falseNotRun = 0;
    for (Map.Entry<String, CallState> call : calls.entrySet()) {
      long count = countByKey.getOrDefault(call.getKey(), 0L);
      if (count > 1) {
        doubled++;
      }
      if (count == 0 && call.getValue() == CallState.RAN) {
        lost++;
      }
      if (count > 0 && call.getValue() == CallState.NOT_RUN) {
        falseNotRun++;
      }
    }
    return new Differences(lost, doubled, falseNotRun);
  }

  /** Returns the caller's key; nodes and services prefix it with their names, each with a slash. */
  private static String keyOf(String effectName) {
    return effectName.substring(effectName.lastIndexOf('/') + 1);
  }
}
