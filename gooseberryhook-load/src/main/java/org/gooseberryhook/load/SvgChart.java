package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/** Draws line charts as SVG text. */
final class SvgChart {

  /** Colours of the series in order, chosen to be distinguishable with common colour blindness. */
  static final List<String> COLORS =
      List.of("#2a6fbb", "#d9641e", "#1a8f6a", "#8a4fb0", "#b58a00", "#c2417c", "#5b6b7a");

  private static final int WIDTH = 860;
  private static final int HEIGHT = 250;
  private static final int LEFT = 64;
  private static final int RIGHT = 16;
  private static final int TOP = 34;
  private static final int BOTTOM = 40;
  private static final int TICK_COUNT = 5;
  private static final int LEGEND_CHAR_PX = 7;
  private static final int LEGEND_GAP_PX = 34;

  private final StringBuilder svg = new StringBuilder();
  private final DoubleUnaryOperator scaleX;
  private final double maxX;
  private final double maxY;

  private SvgChart(DoubleUnaryOperator scaleX, double maxX, double maxY) {
    this.scaleX = scaleX;
    this.maxX = maxX;
    this.maxY = maxY;
  }

  /**
   * A line of the chart.
   *
   * @param name name in the legend
   * @param points x and y of each point, sorted by x
   */
  record Series(String name, List<double[]> points) {}

  /**
   * A label at a position of the x axis.
   *
   * @param x the position
   * @param label the text
   */
  record AxisLabel(double x, String label) {}

  /** Draws lines over time in seconds, with a labelled vertical line at each fault. */
  static String overTime(
      String yLabel, double endSeconds, List<Series> lines, List<AxisLabel> faults) {
    SvgChart chart = new SvgChart(x -> x, endSeconds, niceMax(lines));
    List<AxisLabel> ticks = new ArrayList<>();
    double step = niceStep(endSeconds / 10);
    for (double x = 0; x <= endSeconds + 1e-9; x += step) {
      ticks.add(new AxisLabel(x, format(x)));
    }
    return chart.draw("time in seconds", yLabel, ticks, lines, faults);
  }

  /** Draws lines over percentiles, with a logarithmic axis that stretches the tail. */
  static String overPercentile(String yLabel, List<Series> lines) {
    DoubleUnaryOperator tail = percentile -> -Math.log10(1 - percentile / 100);
    SvgChart chart = new SvgChart(tail, tail.applyAsDouble(99.99), niceMax(lines));
    List<AxisLabel> ticks = new ArrayList<>();
    for (String percentile : List.of("0", "50", "75", "90", "95", "99", "99.9", "99.99")) {
      ticks.add(new AxisLabel(Double.parseDouble(percentile), percentile));
    }
    return chart.draw("percentile", yLabel, ticks, lines, List.of());
  }

  /** Draws lines over round numbers, counted from 1. */
  static String overRounds(int roundCount, List<Series> lines) {
    SvgChart chart = new SvgChart(x -> x, roundCount, niceMax(lines));
    List<AxisLabel> ticks = new ArrayList<>();
    for (int round = 1; round <= roundCount; round += Math.max(1, roundCount / 10)) {
      ticks.add(new AxisLabel(round, Integer.toString(round)));
    }
    return chart.draw("round", "ratio", ticks, lines, List.of());
  }

  private String draw(
      String xLabel,
      String yLabel,
      List<AxisLabel> ticks,
      List<Series> lines,
      List<AxisLabel> faults) {
    add("<svg viewBox=\"0 0 %d %d\" role=\"img\">", WIDTH, HEIGHT);
    addAxes(xLabel, yLabel, ticks);
    for (AxisLabel fault : faults) {
      double x = toPixelX(fault.x());
      add(
          "<line class=\"fault\" x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\"/>",
          x, TOP, x, bottom());
      add("<text class=\"fault\" x=\"%.1f\" y=\"%d\">%s</text>", x + 4, TOP + 10, fault.label());
    }
    double legendX = LEFT;
    for (int i = 0; i < lines.size(); i++) {
      String color = COLORS.get(i % COLORS.size());
      addLine(lines.get(i), color);
      add("<rect x=\"%.1f\" y=\"8\" width=\"14\" height=\"4\" fill=\"%s\"/>", legendX, color);
      add("<text x=\"%.1f\" y=\"14\">%s</text>", legendX + 19, lines.get(i).name());
      legendX += LEGEND_GAP_PX + LEGEND_CHAR_PX * lines.get(i).name().length();
    }
    return svg.append("</svg>\n").toString();
  }

  private void addAxes(String xLabel, String yLabel, List<AxisLabel> ticks) {
    for (int i = 0; i <= TICK_COUNT; i++) {
      double value = maxY * i / TICK_COUNT;
      double y = toPixelY(value);
      add(
          "<line class=\"grid\" x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\"/>",
          LEFT, y, right(), y);
      add("<text class=\"end\" x=\"%d\" y=\"%.1f\">%s</text>", LEFT - 6, y + 4, format(value));
    }
    for (AxisLabel tick : ticks) {
      add(
          "<text class=\"middle\" x=\"%.1f\" y=\"%d\">%s</text>",
          toPixelX(tick.x()), bottom() + 16, tick.label());
    }
    add(
        "<line class=\"axis\" x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\"/>",
        LEFT, bottom(), right(), bottom());
    add(
        "<text class=\"middle\" x=\"%d\" y=\"%d\">%s</text>",
        (LEFT + right()) / 2, HEIGHT - 6, xLabel);
    add(
        "<text class=\"middle\" transform=\"translate(12 %d) rotate(-90)\">%s</text>",
        (TOP + bottom()) / 2, yLabel);
  }

  private void addLine(Series line, String color) {
    StringBuilder points = new StringBuilder();
    for (double[] point : line.points()) {
      points.append(
          String.format(Locale.ROOT, "%.1f,%.1f ", toPixelX(point[0]), toPixelY(point[1])));
    }
    add("<polyline points=\"%s\" stroke=\"%s\"/>", points.toString().trim(), color);
  }

  private double toPixelX(double x) {
    return LEFT + (right() - LEFT) * Math.min(1, scaleX.applyAsDouble(x) / maxX);
  }

  private double toPixelY(double y) {
    return bottom() - (bottom() - TOP) * y / maxY;
  }

  private static int right() {
    return WIDTH - RIGHT;
  }

  private static int bottom() {
    return HEIGHT - BOTTOM;
  }

  private void add(String format, Object... arguments) {
    svg.append(String.format(Locale.ROOT, format, arguments)).append('\n');
  }

  private static double niceMax(List<Series> lines) {
    double max =
        lines.stream()
            .flatMap(line -> line.points().stream())
            .mapToDouble(point -> point[1])
            .max()
            .orElse(1);
    return max <= 0 ? 1 : niceStep(max / TICK_COUNT) * TICK_COUNT;
  }

  /** Returns the smallest of 1, 2, 2.5, 3, 4, 5 times a power of ten that is at least the value. */
  private static double niceStep(double value) {
    double power = Math.pow(10, Math.floor(Math.log10(value)));
    for (double factor : new double[] {1, 2, 2.5, 3, 4, 5}) {
      if (factor * power >= value - 1e-12) {
        return factor * power;
      }
    }
    return 10 * power;
  }

  static String format(double value) {
    if (value == Math.rint(value) || value >= 1_000) {
      return String.format(Locale.ROOT, "%.0f", value);
    }
    return String.format(Locale.ROOT, "%.3g", value)
        .replaceAll("(\\.\\d*?)0+$", "$1")
        .replaceAll("\\.$", "");
  }
}
