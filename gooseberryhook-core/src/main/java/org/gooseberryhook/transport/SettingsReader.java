package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads the settings of a node from a TOML file and reports all faults at once.
 *
 * @since 0.1
 */
public final class SettingsReader {

  /** Maximum length of a settings file, in bytes. */
  public static final int MAX_FILE_BYTES = 1 << 20;

  /** Default time for streams to finish in a planned stop, in milliseconds. */
  public static final int DEFAULT_DRAIN_TIMEOUT_MS = 25_000;

  /**
   * A stopping process must exit within 30 s; sending the last responses, releasing leases and
   * ending calls takes up to 4.2 s of them.
   */
  public static final int MAX_DRAIN_TIMEOUT_MS = 25_000;

  /** Default number of requests that run at the same time. */
  public static final int DEFAULT_CONCURRENT_REQUESTS = 2_000;

  /** Maximum and default limit on the length of a request body, in bytes. */
  public static final int MAX_BODY_BYTES = 4 << 20;

  /** Maximum and default limit on the length of all headers of a request, in bytes. */
  public static final int MAX_HEADER_BYTES = 16 << 10;

  private static final int MIN_DRAIN_TIMEOUT_MS = 1_000;
  private static final int MAX_CONCURRENT_LOADS = 64;
  private static final int MAX_CONCURRENT_REQUESTS = 100_000;
  private static final int MIN_BYTES = 1 << 10;
  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final TomlMapper MAPPER = new TomlMapper();

  private final String file;
  private final List<SettingsFault> faults = new ArrayList<>();

  private SettingsReader(String file) {
    this.file = file;
  }

  /**
   * Reads a file.
   *
   * @param path the file
   * @return the settings or all faults; never null
   */
  public static SettingsResult read(Path path) {
    String name = path.toString();
    try (InputStream input = Files.newInputStream(path)) {
      return parse(name, input.readNBytes(MAX_FILE_BYTES + 1));
    } catch (IOException e) {
      return new SettingsReader(name)
          .fail(0, "cannot be read: " + e, "Check that the file exists and is readable");
    }
  }

  /**
   * Parses the content of a file.
   *
   * @param file name of the file, used in the faults
   * @param content the content in UTF-8
   * @return the settings or all faults; never null
   */
  static SettingsResult parse(String file, byte[] content) {
    SettingsReader reader = new SettingsReader(file);
    if (content.length > MAX_FILE_BYTES) {
      return reader.fail(
          0, "is longer than " + MAX_FILE_BYTES + " bytes", "Check that it is a settings file");
    }
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(content)).toString();
      return reader.toResult(MAPPER.readTree(text));
    } catch (CharacterCodingException e) {
      return reader.fail(0, "is not UTF-8 text", "Save the file in UTF-8");
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      int line = location == null ? 0 : Math.max(0, location.getLineNr());
      return reader.fail(
          line, "is not valid TOML: " + e.getOriginalMessage(), "Correct the text at this line");
    }
  }

  private SettingsResult fail(int line, String problem, String remedy) {
    faults.add(new SettingsFault(file, line, "", problem, remedy));
    return new SettingsResult.Faulty(faults);
  }

  private SettingsResult toResult(JsonNode root) {
    SettingsTable top =
        new SettingsTable(
            "",
            root,
            fault ->
                faults.add(
                    new SettingsFault(file, 0, fault.key(), fault.problem(), fault.remedy())));
    NodeSettings settings =
        new NodeSettings(
            toNode(top.table("node")),
            toPlatform(top.table("platform")),
            toOperators(top.table("operators")),
            toGroups(top.tables("targetGroups")),
            toLimits(top.table("limits")));
    top.reportUnknownKeys();
    return faults.isEmpty()
        ? new SettingsResult.Loaded(settings)
        : new SettingsResult.Faulty(faults);
  }

  private static NodeSettings.Node toNode(SettingsTable table) {
    NodeSettings.Node node =
        new NodeSettings.Node(
            table.address("callerAddress"),
            table.address("peerAddress"),
            table.address("adminAddress"),
            table.text("place"),
            table.text("region"),
            table.texts("places", 1, (key, text) -> {}),
            table.addresses("seeds"),
            table.integer(
                "drainTimeoutMs",
                DEFAULT_DRAIN_TIMEOUT_MS,
                MIN_DRAIN_TIMEOUT_MS,
                MAX_DRAIN_TIMEOUT_MS));
    if (!node.place().isEmpty()
        && !node.places().isEmpty()
        && !node.places().contains(node.place())) {
      table.report(
          "place",
          SettingsTable.show(node.place()) + " is not in node.places",
          "Add it to node.places or correct it");
    }
    checkDistinct(table, node);
    table.reportUnknownKeys();
    return node;
  }

  private static void checkDistinct(SettingsTable table, NodeSettings.Node node) {
    String peer = node.peerAddress();
    String admin = node.adminAddress();
    String remedy = "Choose another port";
    if (!peer.isEmpty() && peer.equals(node.callerAddress())) {
      table.report("peerAddress", "is the same as node.callerAddress", remedy);
    }
    if (!admin.isEmpty() && (admin.equals(peer) || admin.equals(node.callerAddress()))) {
      table.report("adminAddress", "is the same as another address of this node", remedy);
    }
  }

  private static NodeSettings.Platform toPlatform(SettingsTable table) {
    NodeSettings.Platform platform =
        new NodeSettings.Platform(
            table.baseUrl("tableService"),
            table.baseUrl("objectStore"),
            table.baseUrl("weightStore"),
            table.baseUrl("vmList"));
    table.reportUnknownKeys();
    return platform;
  }

  private static NodeSettings.Operators toOperators(SettingsTable table) {
    NodeSettings.Operators operators =
        new NodeSettings.Operators(
            table.texts("keyDigests", 1, (key, text) -> checkDigest(table, key, text)));
    table.reportUnknownKeys();
    return operators;
  }

  /**
   * Checks a digest. The fault does not show the text, because it may be a key instead of its
   * digest.
   */
  private static void checkDigest(SettingsTable table, String key, String text) {
    if (!DIGEST.matcher(text).matches()) {
      table.report(
          key,
          "is not a SHA-256 digest",
          "Write the 64 lower-case hexadecimal digits that sha256sum prints for the key");
    }
  }

  private static List<NodeSettings.TargetGroup> toGroups(List<SettingsTable> tables) {
    List<NodeSettings.TargetGroup> groups = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<String> served = new HashSet<>();
    for (SettingsTable table : tables) {
      NodeSettings.TargetGroup group =
          new NodeSettings.TargetGroup(
              table.text("name"), table.text("serves"), table.bool("checksFencing"));
      if (!group.name().isEmpty() && !names.add(group.name())) {
        table.report("name", SettingsTable.show(group.name()) + " occurs twice", "Rename one");
      }
      if (!group.serves().isEmpty() && !served.add(group.serves())) {
        table.report(
            "serves",
            SettingsTable.show(group.serves()) + " is in another group already",
            "Join the two groups; checksFencing is true only if all their targets check it");
      }
      table.reportUnknownKeys();
      groups.add(group);
    }
    return groups;
  }

  private static NodeSettings.Limits toLimits(SettingsTable table) {
    NodeSettings.Limits limits =
        new NodeSettings.Limits(
            table.integer(
                "maxConcurrentRequests", DEFAULT_CONCURRENT_REQUESTS, 1, MAX_CONCURRENT_REQUESTS),
            table.integer("maxBodyBytes", MAX_BODY_BYTES, MIN_BYTES, MAX_BODY_BYTES),
            table.integer("maxHeaderBytes", MAX_HEADER_BYTES, MIN_BYTES, MAX_HEADER_BYTES),
            table.integer(
                "maxConcurrentLoads",
                NodeSettings.Limits.DEFAULT_CONCURRENT_LOADS,
                1,
                MAX_CONCURRENT_LOADS));
    table.reportUnknownKeys();
    return limits;
  }
}
