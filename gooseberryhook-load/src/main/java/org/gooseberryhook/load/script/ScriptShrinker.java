package org.gooseberryhook.load.script;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Finds the steps of a failing script without which it no longer fails. */
public final class ScriptShrinker {

  private ScriptShrinker() {}

  /**
   * Takes steps away, large parts first, while the script still fails. The result has no single
   * step that can be taken away, if the predicate gives the same answer each time. The predicate is
   * not asked about the given script itself.
   *
   * @param script script that fails
   * @param fails plays a script and returns whether it fails
   * @return the smallest failing script found, the given one if it needs all of its steps
   */
  public static StreamScript shrink(StreamScript script, Predicate<StreamScript> fails) {
    StreamScript smallest = script;
    int partSize = Math.max(1, script.steps().size() / 2);
    int from = 0;
    boolean isShrunk = false;
    while (!smallest.steps().isEmpty()) {
      if (from >= smallest.steps().size()) {
        if (partSize == 1 && !isShrunk) {
          break;
        }
        partSize = Math.max(1, partSize / 2);
        from = 0;
        isShrunk = false;
      }
      StreamScript candidate = smallest.withSteps(without(smallest.steps(), from, partSize));
      if (fails.test(candidate)) {
        smallest = candidate;
        isShrunk = true;
      } else {
        from += partSize;
      }
    }
    return smallest;
  }

  private static List<ScriptStep> without(List<ScriptStep> steps, int from, int count) {
    List<ScriptStep> rest = new ArrayList<>(steps.subList(0, from));
    rest.addAll(steps.subList(Math.min(steps.size(), from + count), steps.size()));
    return rest;
  }
}
