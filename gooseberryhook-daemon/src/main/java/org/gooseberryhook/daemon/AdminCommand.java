package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.load.AdminClient;
import org.gooseberryhook.load.AdminClient.AdminResponse;
import org.gooseberryhook.protocol.Json;

/** Sends requests to a node's administration API and prints the responses. */
@Parameters(commandDescription = "Administer nodes: contracts, models, services, planned changes")
final class AdminCommand implements Command {

  private static final String KEY_VARIABLE = "GOOSEBERRYHOOK_OPERATOR_KEY";

  /** JSON field of each kind of record that holds the id used in its path. */
  private static final Map<String, String> ID_FIELDS =
      Map.of("contracts", "workspaceId", "models", "modelId", "services", "serviceName");

  @Parameter(
      description =
          "WORDS, where WORDS are: contracts|models|services list, get ID, put FILE or delete ID;"
              + " planned-changes list, declare KIND ID REASON (KIND is target, vm, place or"
              + " node-gone) or cancel TARGET; crash-marks list or clear FINGERPRINT; changes;"
              + " status",
      required = true)
  private List<String> arguments = new ArrayList<>();

  @Parameter(names = "--node", description = "Administration address of a node, ip:port")
  private String node = "127.0.0.1:9080";

  @Parameter(
      names = "--key",
      description = "Operator key; by default the environment variable " + KEY_VARIABLE)
  private String key;

  @Parameter(
      names = "--if-match",
      description = "Version that a record to put or delete must have; 0 for a new record")
  private long ifMatch;

  @Parameter(names = "--dry-run", description = "Check a record to put without changing anything")
  private boolean isDryRun;

  @Parameter(names = "--after", description = "Show only changes after this version")
  private long afterVersion;

  @Parameter(names = "--json", description = "Print the JSON of the answer instead of a table")
  private boolean isJson;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  /** Thrown if the command line is not valid. */
  private static final class UsageException extends Exception {

    private static final long serialVersionUID = 1L;

    UsageException(String message) {
      super(message);
    }
  }

  @Override
  public boolean isHelp() {
    return isHelp;
  }

  @Override
  public int run() {
    String operatorKey = key == null ? System.getenv(KEY_VARIABLE) : key;
    if (operatorKey == null || operatorKey.isEmpty()) {
      System.err.println("admin: no operator key; use --key or set " + KEY_VARIABLE);
      return Main.EXIT_USAGE;
    }
    try {
      return print(send(new AdminClient(node, operatorKey)));
    } catch (UsageException e) {
      System.err.println("admin: " + e.getMessage() + "; see gooseberryhook admin --help");
      return Main.EXIT_USAGE;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("admin: node " + node + ": " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private AdminResponse send(AdminClient client) throws UsageException, IOException {
    String resource = arguments.get(0);
    return switch (resource) {
      case "contracts", "models", "services" -> sendRecord(client, resource);
      case "planned-changes" -> sendPlannedChange(client);
      case "crash-marks" -> sendCrashMarks(client);
      case "changes" -> client.get("changes?after=" + afterVersion);
      case "status" -> client.get("status");
      default -> throw new UsageException("'" + resource + "' is not a known resource");
    };
  }

  private AdminResponse sendRecord(AdminClient client, String resource)
      throws UsageException, IOException {
    String action = argument(1, "list");
    return switch (action) {
      case "list" -> client.get(resource);
      case "get" -> client.get(resource + "/" + encode(argument(2, null)));
      case "put" -> putRecord(client, resource, Path.of(argument(2, null)));
      case "delete" -> client.delete(resource + "/" + encode(argument(2, null)), ifMatch);
      default ->
          throw new UsageException("'" + resource + " " + action + "' is not a known command");
    };
  }

  private AdminResponse putRecord(AdminClient client, String resource, Path file)
      throws UsageException, IOException {
    String json;
    JsonNode record;
    try {
      json = Files.readString(file);
      record = Json.MAPPER.readTree(json);
    } catch (IOException e) {
      throw new UsageException("file " + file + " cannot be read as JSON: " + e.getMessage());
    }
    String id = record.path(ID_FIELDS.get(resource)).asText("");
    if (id.isEmpty()) {
      throw new UsageException("file " + file + " has no field " + ID_FIELDS.get(resource));
    }
    String path = resource + "/" + encode(id) + (isDryRun ? "?dryRun=true" : "");
    return client.putJson(path, json, ifMatch);
  }

  private AdminResponse sendPlannedChange(AdminClient client) throws UsageException, IOException {
    return switch (argument(1, "list")) {
      case "list" -> client.get("planned-changes");
      case "declare" ->
          client.declarePlannedChange(
              argument(2, null), argument(3, null), argument(4, "not given"));
      case "cancel" -> client.delete("planned-changes/" + encode(argument(2, null)), ifMatch);
      default ->
          throw new UsageException(
              "'planned-changes " + arguments.get(1) + "' is not a known command");
    };
  }

  private AdminResponse sendCrashMarks(AdminClient client) throws UsageException, IOException {
    return switch (argument(1, "list")) {
      case "list" -> client.get("crash-marks");
      case "clear" -> client.delete("crash-marks/" + encode(argument(2, null)), 0);
      default ->
          throw new UsageException("'crash-marks " + arguments.get(1) + "' is not a known command");
    };
  }

  private String argument(int index, String defaultValue) throws UsageException {
    if (index < arguments.size()) {
      return arguments.get(index);
    }
    if (defaultValue == null) {
      throw new UsageException("'" + String.join(" ", arguments) + "' needs another argument");
    }
    return defaultValue;
  }

  /** Percent-encodes a path segment, so that a slash in it does not split the path. */
  private static String encode(String segment) {
    return AdminTable.encodeSegment(segment);
  }

  private int print(AdminResponse response) throws IOException {
    if (!response.isOk()) {
      System.err.println("admin: node " + node + " responded with status " + response.status());
      if (response.body() != null) {
        System.err.println(AdminTable.toPrettyJson(response.body()));
      }
      return Main.EXIT_FAILURE;
    }
    if (response.body() == null) {
      System.out.println("done");
    } else if (isJson) {
      System.out.println(AdminTable.toPrettyJson(response.body()));
    } else {
      System.out.print(AdminTable.format(arguments.get(0), response.body()));
    }
    if (response.etag() != null && !isJson) {
      System.out.println("version (for --if-match): " + response.etag().replace("\"", ""));
    }
    return 0;
  }
}
