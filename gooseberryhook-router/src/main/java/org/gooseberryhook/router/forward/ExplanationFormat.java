package org.gooseberryhook.router.forward;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.gooseberryhook.router.forward.Explanation.Candidate;
import org.gooseberryhook.router.forward.Explanation.Service;
import org.gooseberryhook.router.forward.Explanation.StreamFigures;

/** Writes explanations as text and as JSON. */
final class ExplanationFormat {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final double DECIMALS = 1_000.0;
  private static final String NONE = "-";

  private ExplanationFormat() {}

  /** Returns an explanation as JSON. Values that are unknown or infinite are null. */
  static String toJson(Explanation explanation) {
    ObjectNode root = JSON.createObjectNode();
    put(root, "configurationVersion", explanation.configurationVersion());
    ExplainQuery query = explanation.query();
    ObjectNode request = root.putObject("request");
    request.put("host", query.host()).put("path", query.path());
    request.put("workspace", query.workspace().orElse(null));
    put(request, "promptTokens", query.promptTokens());
    put(request, "maxOutputTokens", query.maxOutputTokens());
    put(request, "estimatedOutputTokens", query.estimatedOutputTokens());
    explanation
        .rejection()
        .ifPresentOrElse(
            problem ->
                root.putObject("rejection")
                    .put("status", problem.status())
                    .put("kind", problem.kind())
                    .put("detail", problem.detail()),
            () -> root.putNull("rejection"));
    explanation
        .route()
        .ifPresentOrElse(
            route ->
                root.putObject("route")
                    .put("name", route.name())
                    .put("kind", lower(route.kind()))
                    .put("rank", route.rank())
                    .put("timeoutMs", route.timeoutMs())
                    .put("targetLatencyMs", route.targetLatencyMs())
                    .put("gapTargetMs", route.gapTargetMs()),
            () -> root.putNull("route"));
    root.putArray("services")
        .addAll(explanation.services().stream().map(ExplanationFormat::toJson).toList());
    return root.toString();
  }

  private static ObjectNode toJson(Service service) {
    ObjectNode node = JSON.createObjectNode();
    node.put("name", service.name());
    put(node, "share", service.share());
    node.put("outcome", lower(service.outcome().name()));
    node.put("choice", service.choice().orElse(null));
    node.put("isSampled", service.isSampled());
    node.put("waitingRequests", service.waitingRequests());
    put(node, "promptTokens", service.promptTokens());
    put(node, "expectedOutputTokens", service.expectedOutputTokens());
    node.put("expectedCost", service.expectedCost());
    put(node, "threshold", service.overload().threshold());
    put(node, "workspaceShare", service.overload().workspaceShare());
    put(node, "retryAfterMs", service.overload().retryAfterMs());
    node.put("candidateCount", service.candidateCount());
    node.putArray("candidates")
        .addAll(service.candidates().stream().map(ExplanationFormat::toJson).toList());
    return node;
  }

  private static ObjectNode toJson(Candidate candidate) {
    ObjectNode node = JSON.createObjectNode();
    node.put("place", candidate.place());
    put(node, "cost", candidate.cost());
    put(node, "utilization", candidate.utilization());
    node.put("requests", candidate.requests());
    node.put("pausedMs", candidate.pausedMs());
    candidate.stream()
        .ifPresent(
            figures -> {
              put(node, "memoryUtilization", figures.memoryUtilization());
              put(node, "eventGapMs", figures.eventGapMs());
              put(node, "stepMs", figures.stepMs());
              put(node, "prefillMs", figures.prefillMs());
              put(node, "freeRequests", figures.freeRequests());
            });
    candidate.objections().forEach(node.putArray("objections")::add);
    return node;
  }

  private static void put(ObjectNode node, String name, double value) {
    if (Double.isFinite(value)) {
      node.put(name, Math.round(value * DECIMALS) / DECIMALS);
    } else {
      node.putNull(name);
    }
  }

  private static void put(ObjectNode node, String name, OptionalDouble value) {
    put(node, name, value.orElse(Double.NaN));
  }

  private static void put(ObjectNode node, String name, OptionalInt value) {
    node.put(name, value.isPresent() ? (Integer) value.getAsInt() : null);
  }

  private static void put(ObjectNode node, String name, OptionalLong value) {
    node.put(name, value.isPresent() ? (Long) value.getAsLong() : null);
  }

  /** Returns an explanation as text, with one line for each fact and each candidate. */
  static String toText(Explanation explanation) {
    StringBuilder text = new StringBuilder();
    ExplainQuery query = explanation.query();
    line(text, "request", query.host() + ' ' + query.path());
    line(text, "workspace", query.workspace().orElse(NONE));
    OptionalLong version = explanation.configurationVersion();
    line(text, "configuration", version.isPresent() ? version.getAsLong() : NONE);
    explanation
        .rejection()
        .ifPresent(
            problem ->
                line(
                    text,
                    "rejected",
                    problem.status() + " " + problem.kind() + ": " + problem.detail()));
    explanation
        .route()
        .ifPresent(
            route -> {
              line(text, "route", route.name() + ", " + lower(route.kind()));
              line(text, "rank", route.rank());
              line(
                  text,
                  "goals",
                  String.format(
                      Locale.ROOT,
                      "answer or first event in %d ms, gap %s, deadline %d ms",
                      route.targetLatencyMs(),
                      route.gapTargetMs() > 0 ? route.gapTargetMs() + " ms" : NONE,
                      route.timeoutMs()));
            });
    explanation.services().forEach(service -> append(text, service));
    return text.toString();
  }

  private static void append(StringBuilder text, Service service) {
    text.append('\n');
    line(
        text, "service", service.name() + ", " + number(service.share() * 100) + " % of the route");
    line(text, "outcome", describeOutcome(service));
    line(text, "waiting", service.waitingRequests());
    line(
        text,
        "expected cost",
        service.expectedOutputTokens().isPresent()
            ? String.format(
                Locale.ROOT,
                "%d tokens reserved (prompt %d, output %d)",
                service.expectedCost(),
                service.promptTokens().orElse(0),
                service.expectedOutputTokens().getAsInt())
            : service.expectedCost() + " request");
    line(text, "threshold", number(service.overload().threshold()));
    line(text, "share", number(service.overload().workspaceShare()));
    OptionalLong retryAfterMs = service.overload().retryAfterMs();
    line(text, "retry after", retryAfterMs.isPresent() ? retryAfterMs.getAsLong() + " ms" : NONE);
    line(
        text,
        "candidates",
        service.candidateCount() > service.candidates().size()
            ? service.candidateCount() + ", the first " + service.candidates().size()
            : service.candidateCount());
    service.candidates().forEach(candidate -> append(text, candidate));
  }

  private static String describeOutcome(Service service) {
    return switch (service.outcome()) {
      case START ->
          "starts at "
              + service.choice().orElse(NONE)
              + (service.isSampled() ? ", or at the better of two random eligible ones" : "");
      case WAIT -> "waits for room, and is refused if there is none in time";
      case RELAY -> "goes to another node, because this one lacks links to the targets";
    };
  }

  private static void append(StringBuilder text, Candidate candidate) {
    List<String> objections = candidate.objections();
    text.append("  ").append(candidate.place()).append('\n');
    text.append("    ")
        .append(objections.isEmpty() ? "eligible" : "not now: " + String.join("; ", objections))
        .append('\n');
    text.append("    cost ").append(number(candidate.cost()));
    text.append(", utilization ").append(number(candidate.utilization()));
    text.append(", requests ").append(candidate.requests());
    Optional<StreamFigures> stream = candidate.stream();
    stream.ifPresent(
        figures ->
            text.append(", memory ")
                .append(number(figures.memoryUtilization()))
                .append(", gap ")
                .append(number(figures.eventGapMs()))
                .append(" ms, step ")
                .append(number(figures.stepMs()))
                .append(" ms, prefill ")
                .append(number(figures.prefillMs()))
                .append(" ms, room for ")
                .append(number(figures.freeRequests())));
    if (candidate.pausedMs() > 0) {
      text.append(", paused for ").append(candidate.pausedMs()).append(" ms");
    }
    text.append('\n');
  }

  private static void line(StringBuilder text, String name, Object value) {
    text.append(String.format(Locale.ROOT, "%-14s %s%n", name, value));
  }

  private static String number(OptionalDouble value) {
    return value.isPresent() ? number(value.getAsDouble()) : NONE;
  }

  private static String number(double value) {
    return Double.isFinite(value) ? String.format(Locale.ROOT, "%.2f", value) : "unbounded";
  }

  private static String lower(String name) {
    return name.toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
