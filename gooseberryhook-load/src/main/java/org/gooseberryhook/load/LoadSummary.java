package org.gooseberryhook.load;

import java.util.Locale;
import java.util.Map;
import org.gooseberryhook.load.Experiment.Flow;

/** Formats a result as a text table. */
final class LoadSummary {

  private LoadSummary() {}

  static String of(LoadResult result) {
    StringBuilder text = new StringBuilder();
    addGroups(text, result);
    addFaults(text, result);
    addCounts(text, result);
    addComparison(text, result.comparison());
    text.append(
        result.getViolationCount() == 0
            ? "no violation\n"
            : "VIOLATIONS: " + result.getViolationCount() + "\n");
    return text.toString();
  }

  private static void addGroups(StringBuilder text, LoadResult result) {
    line(
        text,
        "%-24s %9s %9s %7s %10s %7s %26s %26s",
        "group",
        "offered/s",
        "done/s",
        "bound",
        "tokens/s",
        "bound",
        "first token p50/p95/p99 ms",
        "whole p50/p95/p99 ms");
    result.workspaces().forEach(group -> addGroup(text, group));
    result.classes().forEach(group -> addGroup(text, group));
    result.flows().forEach(group -> addGroup(text, group));
  }

  private static void addGroup(StringBuilder text, LoadResult.GroupResult group) {
    line(
        text,
        "%-24s %9.1f %9.1f %7s %10.1f %7s %26s %26s",
        group.name(),
        group.offeredPerSecond(),
        group.completedPerSecond(),
        percent(group.completedPerSecond(), group.boundRequestsPerSecond()),
        group.tokensPerSecond(),
        percent(group.tokensPerSecond(), group.boundTokensPerSecond()),
        latency(group.firstToken()),
        latency(group.whole()));
  }

  private static void addFaults(StringBuilder text, LoadResult result) {
    for (LoadResult.FaultResult fault : result.faults()) {
      line(
          text,
          "fault %-24s at %d ms: longest pause %.0f ms of %d open streams%s",
          fault.name(),
          fault.atMs(),
          fault.longestPauseMs(),
          fault.openStreams(),
          fault.error().isEmpty() ? "" : "; NOT APPLIED: " + fault.error());
      for (Map.Entry<Flow, RecoveryTime> entry : fault.recoveries().entrySet()) {
        RecoveryTime recovery = entry.getValue();
        line(
            text,
            "  %-8s %s, lowest %.0f%% of %.1f/s",
            entry.getKey(),
            recovery.recoveryMs() == RecoveryTime.NOT_RECOVERED
                ? "not back at the end"
                : "back after " + recovery.recoveryMs() + " ms",
            recovery.lowestPercent(),
            recovery.levelPerSecond());
      }
    }
  }

  private static void addCounts(StringBuilder text, LoadResult result) {
    result.counts().forEach((count, number) -> line(text, "%-32s %d", count.getText(), number));
    result.problems().forEach((kind, number) -> line(text, "problem %-24s %d", kind, number));
  }

  private static void addComparison(StringBuilder text, BlockComparison comparison) {
    if (comparison == null) {
      return;
    }
    comparison
        .ratios()
        .forEach(
            (measure, ratio) ->
                line(
                    text,
                    "%s / %s %-14s %.3f [%.3f, %.3f] over %d of %d rounds",
                    comparison.candidate(),
                    comparison.base(),
                    measure,
                    ratio.mean(),
                    ratio.low(),
                    ratio.high(),
                    ratio.perRound().size(),
                    comparison.rounds().size()));
  }

  private static String percent(double value, double bound) {
    return bound > 0 ? String.format(Locale.ROOT, "%.0f%%", 100 * value / bound) : "-";
  }

  private static String latency(LoadResult.Latency latency) {
    return latency.count() == 0
        ? "-"
        : String.format(
            Locale.ROOT, "%.1f / %.1f / %.1f", latency.p50(), latency.p95(), latency.p99());
  }

  private static void line(StringBuilder text, String format, Object... arguments) {
    text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }
}
