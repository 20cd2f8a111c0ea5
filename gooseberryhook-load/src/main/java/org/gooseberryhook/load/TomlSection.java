package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * One table of a TOML file. Reading a key registers it as known. Errors are added to a list shared
 * by all tables of the file, and the reader gets a valid substitute so that the remaining keys are
 * checked too.
 */
final class TomlSection {

  private final JsonNode node;
  private final String path;
  private final List<String> errors;
  private final Set<String> knownKeys = new TreeSet<>();

  TomlSection(JsonNode node, String path, List<String> errors) {
    this.node = node;
    this.path = path;
    this.errors = errors;
  }

  boolean has(String key) {
    knownKeys.add(key);
    return node.has(key);
  }

  /** Reads a string; a null default makes the key required. */
  String string(String key, String defaultValue) {
    if (!has(key)) {
      return defaultOrError(key, defaultValue, "");
    }
    JsonNode value = node.get(key);
    if (!value.isTextual()) {
      addError(key, "is " + value + "; use a string in quotes");
      return "";
    }
    return value.asText();
  }

  /** Reads a required string that must not be blank. */
  String string(String key) {
    String value = string(key, null);
    if (node.path(key).isTextual() && value.isBlank()) {
      addError(key, "is empty; give a non-blank string");
    }
    return value;
  }

  /** Reads an integer from min to max; a null default makes the key required. */
  long integer(String key, Long defaultValue, long min, long max) {
    if (!has(key)) {
      return defaultOrError(key, defaultValue, min);
    }
    JsonNode value = node.get(key);
    if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
      addError(key, "is " + value + "; use a whole number from " + min + " to " + max);
      return min;
    }
    return value.asLong();
  }

  /** Reads a number of at least min; a null default makes the key required. */
  double number(String key, Double defaultValue, double min) {
    if (!has(key)) {
      return defaultOrError(key, defaultValue, 1.0);
    }
    JsonNode value = node.get(key);
    if (!value.isNumber() || !(value.asDouble() >= min) || Double.isInfinite(value.asDouble())) {
      addError(key, "is " + value + "; use a number of at least " + min);
      return 1.0;
    }
    return value.asDouble();
  }

  boolean flag(String key, boolean defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    if (!node.get(key).isBoolean()) {
      addError(key, "is " + node.get(key) + "; use true or false");
      return defaultValue;
    }
    return node.get(key).asBoolean();
  }

  /** Reads an enum constant, written in lower case. */
  <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    List<String> names = new ArrayList<>();
    for (E constant : type.getEnumConstants()) {
      String name = constant.name().toLowerCase(Locale.ROOT);
      if (name.equals(node.get(key).asText())) {
        return constant;
      }
      names.add(name);
    }
    addError(key, "is " + node.get(key) + "; use one of " + names);
    return defaultValue;
  }

  /** Reads a required, non-empty list of strings. */
  List<String> strings(String key) {
    List<String> values = new ArrayList<>();
    if (has(key)) {
      for (JsonNode value : node.get(key)) {
        values.add(value.asText());
      }
    }
    if (values.isEmpty()) {
      addError(key, "is missing or empty; give a list of strings");
    }
    return values;
  }

  TomlSection section(String key) {
    JsonNode value = has(key) ? node.get(key) : MissingNode.getInstance();
    if (has(key) && !value.isObject()) {
      addError(key, "is " + value + "; write a table [" + pathOf(key) + "]");
    }
    return new TomlSection(value, pathOf(key), errors);
  }

  /** Reads an array of tables; empty if the key is absent. */
  List<TomlSection> sections(String key) {
    List<TomlSection> sections = new ArrayList<>();
    if (!has(key)) {
      return sections;
    }
    JsonNode value = node.get(key);
    if (!value.isArray()) {
      addError(key, "is not a list; write tables [[" + pathOf(key) + "]]");
      return sections;
    }
    for (JsonNode element : value) {
      String elementPath = pathOf(key) + "[" + sections.size() + "]";
      if (!element.isObject()) {
        errors.add(elementPath + " is " + element + "; write a table [[" + pathOf(key) + "]]");
      }
      sections.add(new TomlSection(element, elementPath, errors));
    }
    return sections;
  }

  /** Adds an error for each key that was never read. */
  void reportUnknownKeys() {
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!knownKeys.contains(key)) {
                addError(key, "is an unknown key; use one of " + knownKeys);
              }
            });
  }

  void addError(String key, String what) {
    errors.add(pathOf(key) + " " + what);
  }

  private <T> T defaultOrError(String key, T defaultValue, T substitute) {
    if (defaultValue != null) {
      return defaultValue;
    }
    addError(key, "is missing; it has no default");
    return substitute;
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
