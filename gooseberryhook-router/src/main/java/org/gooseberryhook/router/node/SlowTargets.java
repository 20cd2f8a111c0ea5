package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.DecisionLog;

/** The targets that are slower than usual for their kind, by their own reports. */
final class SlowTargets {

  /**
   * Slowdown factor above which a target counts as slow; reported factors vary a little around 1.
   */
  private static final double SLOW_THRESHOLD = 1.3;

  /**
   * Slowdown factor from which a target is left out if pipelines can be composed without it. One
   * such stage in a pipeline of ten stretches the gaps between tokens beyond the usual goal. Below
   * this factor, a spare of a slower accelerator kind would gain little.
   */
  static final double TOO_SLOW_THRESHOLD = 4;

  private final DecisionLog log;

  /** Factors on the processing times, by address. */
  private final Map<String, Double> factors = new HashMap<>();

  SlowTargets(DecisionLog log) {
    this.log = log;
  }

  /**
   * Applies a factor that a target reported.
   *
   * @param target the target
   * @param slowdownFactor factor by which it is slower than usual
   * @return whether the pipelines must be composed again
   */
  boolean update(TargetEntry target, double slowdownFactor) {
    if (slowdownFactor > SLOW_THRESHOLD) {
      Double previous = factors.put(target.address(), slowdownFactor);
      if (previous == null) {
        log.recordEvent("target-slow", "", "target", target.address(), "pace", slowdownFactor);
      }
      return slowdownFactor >= TOO_SLOW_THRESHOLD
          && (previous == null || previous < TOO_SLOW_THRESHOLD);
    }
    if (factors.remove(target.address()) != null) {
      log.recordEvent("target-at-pace", "", "target", target.address());
      return true;
    }
    return false;
  }

  /** Returns the factor by which the target at an address is slower, 1 if it is not. */
  double factor(String address) {
    return factors.getOrDefault(address, 1.0);
  }

  /** Returns whether the target at an address is so slow that others should replace it. */
  boolean isTooSlow(String address) {
    return factor(address) >= TOO_SLOW_THRESHOLD;
  }

  /** Returns whether any target is so slow that others should replace it. */
  boolean hasTooSlow() {
    return factors.values().stream().anyMatch(factor -> factor >= TOO_SLOW_THRESHOLD);
  }

  /** Returns whether the target at an address is slow. */
  boolean contains(String address) {
    return factors.containsKey(address);
  }

  /** Returns the addresses of the slow targets. */
  Set<String> addresses() {
    return Set.copyOf(factors.keySet());
  }

  /** Forgets the targets that are no longer listed. */
  void retainListed(Set<String> listed) {
    factors.keySet().retainAll(listed);
  }
}
