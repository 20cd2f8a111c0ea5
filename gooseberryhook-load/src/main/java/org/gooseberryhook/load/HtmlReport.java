package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gooseberryhook.load.Experiment.Flow;
import org.gooseberryhook.load.LoadResult.GroupResult;

/** Renders a result as one self-contained HTML document without scripts. */
final class HtmlReport {

  private static final String STYLE =
      """
      body{font:15px/1.5 system-ui,sans-serif;color:#1c2430;background:#fff;margin:0 auto;
        max-width:960px;padding:24px 20px 60px}
      h1{font-size:24px;margin:0 0 2px}h2{font-size:18px;margin:36px 0 8px;
        border-bottom:1px solid #d8dde3;padding-bottom:4px}h3{font-size:15px;margin:18px 0 4px}
      p.note{color:#5b6573;margin:4px 0 10px;font-size:13px}
      table{border-collapse:collapse;width:100%;font-size:13px;font-variant-numeric:tabular-nums}
      th,td{padding:4px 8px;border-bottom:1px solid #e6eaee;text-align:right;vertical-align:top}
      th{color:#5b6573;font-weight:600}th:first-child,td:first-child{text-align:left}
      .badge{display:inline-block;border-radius:4px;padding:2px 10px;font-weight:600;color:#fff}
      .good{background:#1a7f5a}.bad{background:#b3261e}.badtext{color:#b3261e;font-weight:600}
      svg{width:100%;height:auto;font:11px system-ui,sans-serif}svg text{fill:#3d4753}
      svg .end{text-anchor:end}svg .middle{text-anchor:middle}svg .grid{stroke:#e6eaee}
      svg .axis{stroke:#7a8694}svg polyline{fill:none;stroke-width:1.8;stroke-linejoin:round}
      svg line.fault{stroke:#b3261e;stroke-dasharray:4 3}svg text.fault{fill:#b3261e}
      .track{background:#eef1f4;position:relative;height:14px;min-width:220px;border-radius:3px}
      .fill{background:#2a6fbb;height:14px;border-radius:3px}
      .tick{position:absolute;top:-2px;height:18px;width:2px;background:#1c2430}
      """;

  /** Full width of a bar in percent of the bound; above 100 to show throughput over the bound. */
  private static final double BAR_SCALE_PERCENT = 125;

  /** Buckets merged into one point of a chart over time; single buckets are too noisy to read. */
  private static final int BUCKETS_PER_POINT = 5;

  private static final double MS_PER_SECOND = 1_000;

  private final LoadResult result;
  private final StringBuilder html = new StringBuilder();

  private HtmlReport(LoadResult result) {
    this.result = result;
  }

  static String of(LoadResult result) {
    return new HtmlReport(result).write();
  }

  private String write() {
    String title = escape(result.name());
    add("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    add("<meta name=\"viewport\" content=\"width=device-width\"><title>" + title + "</title>");
    add("<style>" + STYLE + "</style></head><body><h1>" + title + "</h1>");
    add(
        "<p class=\"note\">seed %d, %.1f s of arrivals, the first %.1f s not measured</p>",
        result.seed(), result.durationMs() / MS_PER_SECOND, result.warmUpMs() / MS_PER_SECOND);
    long violations = result.getViolationCount();
    add(
        "<p><span class=\"badge %s\">%s</span></p>",
        violations == 0 ? "good" : "bad",
        violations == 0 ? "no violation" : violations + " violations");
    addBounds();
    addFaults();
    addComparison();
    addLatencies();
    addCounts();
    addTimeline();
    return html.append("</body></html>\n").toString();
  }

  private void addBounds() {
    add("<h2>Throughput against each contract's bound</h2>");
    add(
        "<p class=\"note\">Bar: completed, in percent of the bound. Line: offered. The bar's full"
            + " width is %.0f%% of the bound.</p>",
        BAR_SCALE_PERCENT);
    add("<table><tr><th>workspace</th><th>offered/s</th><th>completed/s</th><th>bound/s</th>");
    add("<th>requests of bound</th><th>tokens/s</th><th>bound/s</th><th>of bound</th></tr>");
    for (GroupResult group : result.workspaces()) {
      double requestBound = group.boundRequestsPerSecond();
      double tokenBound = group.boundTokensPerSecond();
      add(
          "<tr><td>%s</td><td>%.1f</td><td>%.1f</td><td>%s</td><td>%s</td><td>%.0f</td>"
              + "<td>%s</td><td>%s</td></tr>",
          escape(group.name()),
          group.offeredPerSecond(),
          group.completedPerSecond(),
          orDash(requestBound),
          bar(group.completedPerSecond(), group.offeredPerSecond(), requestBound),
          group.tokensPerSecond(),
          orDash(tokenBound),
          percent(group.tokensPerSecond(), tokenBound));
    }
    add("</table>");
  }

  private static String bar(double completed, double offered, double bound) {
    if (bound <= 0) {
      return "-";
    }
    double width = Math.min(100, 100 * completed / bound * 100 / BAR_SCALE_PERCENT);
    double tick = Math.min(99.5, 100 * offered / bound * 100 / BAR_SCALE_PERCENT);
    return String.format(
        Locale.ROOT,
        "<div class=\"track\"><div class=\"fill\" style=\"width:%.1f%%\"></div>"
            + "<div class=\"tick\" style=\"left:%.1f%%\"></div></div>%s",
        width,
        tick,
        percent(completed, bound));
  }

  private void addFaults() {
    add("<h2>Recovery time after each fault</h2>");
    if (result.faults().isEmpty()) {
      add("<p class=\"note\">No fault was scheduled.</p>");
      return;
    }
    add(
        "<p class=\"note\">Time until useful throughput over 500 ms windows is back at 90% of its"
            + " mean in the 5 s before. 0 ms: it did not fall below that and below every window"
            + " before the fault. A flow with too little work to judge shows a dash.</p>");
    add("<table><tr><th>fault</th><th>at</th><th>model</th><th>service</th><th>once-only</th>");
    add("<th>longest pause of an open stream</th><th>open streams</th></tr>");
    for (LoadResult.FaultResult fault : result.faults()) {
      String error =
          fault.error().isEmpty()
              ? ""
              : "<br><span class=\"badtext\">not applied: " + escape(fault.error()) + "</span>";
      add(
          "<tr><td>%s%s</td><td>%.1f s</td><td>%s</td><td>%s</td><td>%s</td><td>%.0f ms</td>"
              + "<td>%d</td></tr>",
          escape(fault.name()),
          error,
          fault.atMs() / MS_PER_SECOND,
          recovery(fault.recoveries().get(Flow.MODEL)),
          recovery(fault.recoveries().get(Flow.SERVICE)),
          recovery(fault.recoveries().get(Flow.ONCE)),
          fault.longestPauseMs(),
          fault.openStreams());
    }
    add("</table>");
  }

  private static String recovery(RecoveryTime recovery) {
    if (recovery == null) {
      return "-";
    }
    String time =
        recovery.recoveryMs() == RecoveryTime.NOT_RECOVERED
            ? "<span class=\"badtext\">not back</span>"
            : "<b>" + recovery.recoveryMs() + " ms</b>";
    return String.format(
        Locale.ROOT,
        "%s<br>lowest %.0f%% of %.0f/s",
        time,
        recovery.lowestPercent(),
        recovery.levelPerSecond());
  }

  private void addComparison() {
    BlockComparison comparison = result.comparison();
    if (comparison == null) {
      return;
    }
    String names = escape(comparison.candidate()) + " / " + escape(comparison.base());
    add("<h2>Comparison: " + names + "</h2>");
    add(
        "<p class=\"note\">Geometric mean of the ratio over rounds of two adjacent blocks, with the"
            + " 95% bootstrap confidence interval.</p>");
    add("<table><tr><th>measure</th><th>ratio</th><th>95% interval</th><th>rounds</th></tr>");
    comparison
        .ratios()
        .forEach(
            (measure, ratio) ->
                add(
                    "<tr><td>%s</td><td>%.3f</td><td>%.3f to %.3f</td><td>%d of %d</td></tr>",
                    measure,
                    ratio.mean(),
                    ratio.low(),
                    ratio.high(),
                    ratio.perRound().size(),
                    comparison.rounds().size()));
    add("</table><h3>Ratio per round</h3>");
    List<SvgChart.Series> lines = new ArrayList<>();
    comparison
        .ratios()
        .forEach((measure, ratio) -> lines.add(toSeriesByRound(measure, ratio.perRound())));
    add(SvgChart.overRounds(comparison.rounds().size(), lines));
  }

  private static SvgChart.Series toSeriesByRound(String name, List<Double> values) {
    List<double[]> points = new ArrayList<>();
    for (double value : values) {
      points.add(new double[] {points.size() + 1, value});
    }
    return new SvgChart.Series(name, points);
  }

  private void addLatencies() {
    add("<h2>Latency</h2>");
    add(
        "<p class=\"note\">First token and whole request count from the intended arrival, so waits"
            + " in this tool and in the system are both in them.</p>");
    addCurves("First token by class", result.classes(), GroupResult::firstToken);
    addCurves("Gap between tokens by class", result.classes(), GroupResult::tokenGap);
    addCurves("Whole request by kind", result.flows(), GroupResult::whole);
    add("<h3>Percentiles p50 / p95 / p99 / p99.9 / largest, in ms</h3>");
    add("<table><tr><th>group</th><th>first token</th><th>gap between tokens</th>");
    add("<th>whole request</th></tr>");
    List<GroupResult> groups = new ArrayList<>(result.workspaces());
    groups.addAll(result.classes());
    groups.addAll(result.flows());
    for (GroupResult group : groups) {
      add(
          "<tr><td>%s</td><td>%s</td><td>%s</td><td>%s</td></tr>",
          escape(group.name()),
          percentiles(group.firstToken()),
          percentiles(group.tokenGap()),
          percentiles(group.whole()));
    }
    add("</table>");
  }

  private void addCurves(
      String title, List<GroupResult> groups, Function<GroupResult, LoadResult.Latency> measure) {
    List<SvgChart.Series> lines =
        groups.stream()
            .filter(group -> measure.apply(group).count() > 0)
            .map(
                group ->
                    new SvgChart.Series(
                        escape(group.name()),
                        measure.apply(group).curve().stream()
                            .map(point -> new double[] {point.percentile(), point.ms()})
                            .toList()))
            .toList();
    if (!lines.isEmpty()) {
      add("<h3>" + title + "</h3>");
      add(SvgChart.overPercentile("milliseconds", lines));
    }
  }

  private void addCounts() {
    add("<h2>Violations and other counts</h2><table><tr><th>count</th><th>number</th></tr>");
    for (boolean isViolation : new boolean[] {true, false}) {
      result
          .counts()
          .forEach(
              (count, number) -> {
                if (count.isViolation() == isViolation) {
                  add(
                      "<tr><td>%s%s</td><td%s>%d</td></tr>",
                      isViolation ? "violation: " : "",
                      count.getText(),
                      isViolation && number > 0 ? " class=\"badtext\"" : "",
                      number);
                }
              });
    }
    add("</table>");
    if (!result.problems().isEmpty()) {
      add("<h3>Problems by kind</h3><table><tr><th>kind</th><th>number</th></tr>");
      result
          .problems()
          .forEach((kind, number) -> add("<tr><td>%s</td><td>%d</td></tr>", escape(kind), number));
      add("</table>");
    }
  }

  private void addTimeline() {
    LoadResult.Timeline timeline = result.timeline();
    List<SvgChart.AxisLabel> faults =
        result.faults().stream()
            .filter(fault -> fault.atMs() >= 0)
            .map(f -> new SvgChart.AxisLabel(f.atMs() / MS_PER_SECOND, escape(f.name())))
            .toList();
    double endSeconds = result.durationMs() / MS_PER_SECOND;
    add("<h2>Over time</h2><h3>Requests</h3>");
    add(
        SvgChart.overTime(
            "requests/s",
            endSeconds,
            List.of(
                perSecond("arrivals", timeline.arrivals()),
                perSecond("completions", timeline.completions()),
                perSecond("failures", timeline.failures())),
            faults));
    for (Map.Entry<Flow, long[]> flow : timeline.useful().entrySet()) {
      String name = flow.getKey().name().toLowerCase(Locale.ROOT);
      String unit = flow.getKey() == Flow.MODEL ? "tokens/s" : "calls/s";
      add("<h3>Useful throughput of " + name + " calls</h3>");
      add(SvgChart.overTime(unit, endSeconds, List.of(perSecond(unit, flow.getValue())), faults));
    }
  }

  private SvgChart.Series perSecond(String name, long[] buckets) {
    double bucketSeconds = result.timeline().bucketMs() / MS_PER_SECOND;
    List<double[]> points = new ArrayList<>();
    for (int start = 0; start + BUCKETS_PER_POINT <= buckets.length; start += BUCKETS_PER_POINT) {
      long sum = 0;
      for (int i = start; i < start + BUCKETS_PER_POINT; i++) {
        sum += buckets[i];
      }
      double middle = (start + BUCKETS_PER_POINT / 2.0) * bucketSeconds;
      points.add(new double[] {middle, sum / (BUCKETS_PER_POINT * bucketSeconds)});
    }
    return new SvgChart.Series(name, points);
  }

  private static String percentiles(LoadResult.Latency latency) {
    if (latency.count() == 0) {
      return "-";
    }
    return List.of(latency.p50(), latency.p95(), latency.p99(), latency.p999(), latency.max())
        .stream()
        .map(value -> String.format(Locale.ROOT, "%.1f", value))
        .collect(Collectors.joining(" / "));
  }

  private static String percent(double value, double bound) {
    return bound > 0 ? String.format(Locale.ROOT, "%.0f%%", 100 * value / bound) : "-";
  }

  private static String orDash(double bound) {
    return bound > 0 ? SvgChart.format(bound) : "-";
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }

  private void add(String format, Object... arguments) {
    html.append(arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments))
        .append('\n');
  }
}
