package org.gooseberryhook.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.protocol.Json;

/** Formats response bodies of the administration API as text for a terminal. */
final class AdminTable {

  private static final int MAX_CELL_CHARS = 40;

  /** Columns to show of lists whose records have too many fields for the width of a terminal. */
  private static final Map<String, List<String>> COLUMNS =
      Map.of(
          "contracts",
          List.of(
              "id",
              "version",
              "priorityClass",
              "requestsPerSecond",
              "tokensPerSecond",
              "maxConcurrentRequests",
              "models",
              "services"));

  private AdminTable() {}

  /**
   * Formats a response body as a table, or as lines of fields if it is a single record.
   *
   * @param resource the requested resource, which determines the columns
   * @param body the response body
   * @return the lines, each of which ends with a line break
   */
  static String format(String resource, JsonNode body) {
    boolean isMapOfRecords = body.isObject() && !body.isEmpty() && allHaveVersion(body);
    if (!body.isArray() && !isMapOfRecords) {
      return formatFields(body);
    }
    List<Map<String, String>> rows = new ArrayList<>();
    if (body.isArray()) {
      body.forEach(element -> rows.add(toRow(element)));
    } else {
      body.fields().forEachRemaining(field -> rows.add(toRow(field.getKey(), field.getValue())));
    }
    if (rows.isEmpty()) {
      return "none\n";
    }
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> columns.addAll(row.keySet()));
    List<String> shown = COLUMNS.getOrDefault(resource, List.copyOf(columns));
    return formatTable(columns.containsAll(shown) ? shown : List.copyOf(columns), rows);
  }

  static String toPrettyJson(JsonNode body) throws JsonProcessingException {
    return Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(body);
  }

  static String encodeSegment(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private static boolean allHaveVersion(JsonNode body) {
    for (JsonNode value : body) {
      if (!value.has("version") || !value.has("value")) {
        return false;
      }
    }
    return true;
  }

  private static String formatFields(JsonNode body) {
    if (body.isEmpty()) {
      return "none\n";
    }
    StringBuilder text = new StringBuilder();
    body.fields()
        .forEachRemaining(
            field -> {
              if (field.getValue().isArray() && field.getValue().path(0).isObject()) {
                text.append(field.getKey()).append(":\n");
                format("", field.getValue()).lines().forEach(l -> text.append("  " + l + "\n"));
              } else {
                text.append(
                    String.format("%-24s %s%n", field.getKey(), toCellText(field.getValue())));
              }
            });
    return text.toString();
  }

  private static Map<String, String> toRow(String id, JsonNode versioned) {
    Map<String, String> row = new LinkedHashMap<>();
    row.put("id", id);
    row.put("version", toCellText(versioned.path("version")));
    row.putAll(toRow(versioned.path("value")));
    return row;
  }

  private static Map<String, String> toRow(JsonNode element) {
    Map<String, String> row = new LinkedHashMap<>();
    element.fields().forEachRemaining(f -> row.put(f.getKey(), toCellText(f.getValue())));
    return row;
  }

  private static String toCellText(JsonNode value) {
    if (!value.isArray()) {
      return value.isValueNode() ? value.asText() : value.toString();
    }
    List<String> parts = new ArrayList<>();
    value.forEach(part -> parts.add(part.isValueNode() ? part.asText() : part.toString()));
    return String.join(",", parts);
  }

  private static String formatTable(List<String> columns, List<Map<String, String>> rows) {
    StringBuilder text = new StringBuilder();
    Map<String, Integer> widths = new LinkedHashMap<>();
    for (String column : columns) {
      int width =
          rows.stream()
              .mapToInt(row -> truncate(row.getOrDefault(column, "")).length())
              .max()
              .orElse(0);
      widths.put(column, Math.max(width, column.length()));
    }
    List<Map<String, String>> lines = new ArrayList<>();
    Map<String, String> header = new LinkedHashMap<>();
    columns.forEach(column -> header.put(column, column));
    lines.add(header);
    lines.addAll(rows);
    for (Map<String, String> row : lines) {
      StringBuilder line = new StringBuilder();
      widths.forEach(
          (column, width) ->
              line.append(
                  String.format("%-" + width + "s  ", truncate(row.getOrDefault(column, "")))));
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }

  private static String truncate(String cell) {
    return cell.length() <= MAX_CELL_CHARS ? cell : cell.substring(0, MAX_CELL_CHARS - 3) + "...";
  }
}
