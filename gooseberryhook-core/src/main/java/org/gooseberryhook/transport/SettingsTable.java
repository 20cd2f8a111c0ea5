package org.gooseberryhook.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;

/**
 * Reads the keys of one table of a settings file and reports its faults. After a fault, a read
 * returns a placeholder, so that the remaining keys are checked as well.
 *
 * @since 0.1
 */
final class SettingsTable {

  private static final Pattern IP_PORT =
      Pattern.compile("(?:([0-9.]+)|\\[([0-9A-Fa-f:.]+)\\]):([0-9]{1,5})");
  private static final Set<String> WILDCARDS = Set.of("0.0.0.0", "::");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_SHOWN_CHARS = 60;
  private static final String ADD_REMEDY = "Add it; config/omaruru.toml shows every key";

  private final String path;
  private final JsonNode node;
  private final Consumer<Problem> faults;
  private final Set<String> knownKeys = new TreeSet<>();

  /**
   * Creates a reader.
   *
   * @param path path of the table; empty for the whole file
   * @param node the table; null or missing counts as empty
   * @param faults receives the faults
   */
  SettingsTable(String path, JsonNode node, Consumer<Problem> faults) {
    this.path = path;
    this.faults = faults;
    boolean isAbsent = node == null || node.isMissingNode();
    if (!isAbsent && !node.isObject()) {
      faults.accept(new Problem(path, "is not a table", "Write it as [" + path + "]"));
    }
    this.node = isAbsent || !node.isObject() ? JsonNodeFactory.instance.objectNode() : node;
  }

  /** A fault of a key and its remedy. */
  record Problem(String key, String problem, String remedy) {}

  /** Returns a table within this one. */
  SettingsTable table(String key) {
    knownKeys.add(key);
    return new SettingsTable(pathOf(key), node.get(key), faults);
  }

  /** Returns the tables of a list of tables; an absent list is empty. */
  List<SettingsTable> tables(String key) {
    knownKeys.add(key);
    JsonNode list = node.get(key);
    List<SettingsTable> tables = new ArrayList<>();
    if (list == null) {
      return tables;
    }
    if (!list.isArray()) {
      report(key, "is not a list of tables", "Write each as [[" + pathOf(key) + "]]");
      return tables;
    }
    for (int i = 0; i < list.size(); i++) {
      tables.add(new SettingsTable(pathOf(key) + "[" + i + "]", list.get(i), faults));
    }
    return tables;
  }

  /** Returns a text that is not blank. */
  String text(String key) {
    JsonNode value = require(key);
    if (value == null) {
      return "";
    }
    return checkText(key, value) ? value.textValue() : "";
  }

  /** Returns an {@code ip:port}. */
  String address(String key) {
    String text = text(key);
    checkAddress(key, text);
    return text;
  }

  /** Returns a list of {@code ip:port}, which may be empty. */
  List<String> addresses(String key) {
    return texts(key, 0, this::checkAddress);
  }

  /** Returns an HTTP base URL with an IP address. */
  String baseUrl(String key) {
    String text = text(key);
    HttpUrl url = HttpUrl.parse(text);
    if (text.isEmpty()) {
      return text;
    }
    if (url == null || !isIp(url.host()) || url.query() != null || url.fragment() != null) {
      report(
          key,
          show(text) + " is not an HTTP base URL with an IP address",
          "Write it like http://10.0.0.2:7000");
    }
    return text;
  }

  /**
   * Returns a list of distinct texts.
   *
   * @param key the key
   * @param minCount minimum number of entries; if it is 0, the list may be absent
   * @param check receives the key and the text of each entry
   * @return the texts without the faulty ones
   */
  List<String> texts(String key, int minCount, BiConsumer<String, String> check) {
    List<String> texts = new ArrayList<>();
    JsonNode list = minCount > 0 ? require(key) : optional(key);
    if (list == null) {
      return texts;
    }
    if (!list.isArray()) {
      report(key, "is not a list", "Write it like [\"first\", \"second\"]");
      return texts;
    }
    if (list.size() < minCount) {
      report(key, "has fewer entries than " + minCount, "Add an entry");
    }
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < list.size(); i++) {
      String entryKey = key + "[" + i + "]";
      if (!checkText(entryKey, list.get(i))) {
        continue;
      }
      String text = list.get(i).textValue();
      check.accept(entryKey, text);
      if (!seen.add(text)) {
        report(entryKey, "repeats an earlier entry", "Remove one of them");
      }
      texts.add(text);
    }
    return texts;
  }

  /** Returns an integer from {@code min} to {@code max}; the default if the key is absent. */
  int integer(String key, int defaultValue, int min, int max) {
    JsonNode value = optional(key);
    if (value == null) {
      return defaultValue;
    }
    String range = min + ".." + max;
    if (!value.isIntegralNumber()) {
      report(key, show(value) + " is not an integer", "Write an integer in " + range);
      return defaultValue;
    }
    if (!value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
      report(key, show(value) + " is out of range", "Write an integer in " + range);
      return defaultValue;
    }
    return value.intValue();
  }

  /** Returns true or false. */
  boolean bool(String key) {
    JsonNode value = require(key);
    if (value != null && !value.isBoolean()) {
      report(key, show(value) + " is not a truth value", "Write true or false without quotes");
    }
    return value != null && value.booleanValue();
  }

  /** Reports a fault of a key of this table. */
  void report(String key, String problem, String remedy) {
    faults.accept(new Problem(pathOf(key), problem, remedy));
  }

  /** Reports the keys of the table that were never read. */
  void reportUnknownKeys() {
    node.fieldNames()
        .forEachRemaining(
            key -> {
              if (!knownKeys.contains(key)) {
                report(
                    truncate(key),
                    "is not a known key",
                    "Remove it or correct its name; known here: " + String.join(", ", knownKeys));
              }
            });
  }

  /** Returns a value in quotes for a message, shortened and without control characters. */
  static String show(Object value) {
    return "'" + truncate(value.toString()) + "'";
  }

  private static String truncate(String text) {
    String printable = text.replaceAll("\\p{Cntrl}", "?");
    return printable.length() <= MAX_SHOWN_CHARS
        ? printable
        : printable.substring(0, MAX_SHOWN_CHARS) + "...";
  }

  private JsonNode optional(String key) {
    knownKeys.add(key);
    return node.get(key);
  }

  private JsonNode require(String key) {
    JsonNode value = optional(key);
    if (value == null) {
      report(key, "is missing", ADD_REMEDY);
    }
    return value;
  }

  private boolean checkText(String key, JsonNode value) {
    if (!value.isTextual()) {
      report(key, show(value) + " is not a text", "Write it in double quotes");
      return false;
    }
    if (value.textValue().isBlank()) {
      report(key, "is empty", "Write a text that is not blank");
      return false;
    }
    return true;
  }

  private void checkAddress(String key, String text) {
    if (text.isEmpty()) {
      return;
    }
    Matcher matcher = IP_PORT.matcher(text);
    String remedy = "Write it like 10.0.0.2:7000 or [fd00::2]:7000";
    if (!matcher.matches()) {
      report(key, show(text) + " is not an IP address with a port", remedy);
      return;
    }
    String ip = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    int port = Integer.parseInt(matcher.group(3));
    if (!isIp(ip) || port < 1 || port > MAX_PORT) {
      report(key, show(text) + " is not an IP address with a port", remedy);
    } else if (WILDCARDS.contains(ip)) {
      report(
          key,
          show(text) + " is not an address that others can connect to",
          "Write the address of this machine instead of the wildcard");
    }
  }

  private static boolean isIp(String text) {
    return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}
