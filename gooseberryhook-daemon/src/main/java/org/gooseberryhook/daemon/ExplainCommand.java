package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gooseberryhook.load.ExplainClient;

/** Asks a router node where a request would go now, and prints the explanation. */
@Parameters(commandDescription = "Show where a request would go now and why, without sending it")
final class ExplainCommand implements Command {

  @Parameter(
      names = "--node",
      required = true,
      description = "Address of the metrics page of a router node, ip:port")
  private String node;

  @Parameter(names = "--host", required = true, description = "Host header of the request")
  private String host;

  @Parameter(names = "--path", required = true, description = "Path of the request, without query")
  private String path;

  @Parameter(
      names = "--workspace",
      description = "Name of the caller's workspace; by default a caller without a key")
  private String workspace;

  @Parameter(names = "--prompt-tokens", description = "Number of tokens of the prompt")
  private Integer promptTokens;

  @Parameter(names = "--max-tokens", description = "Maximum number of tokens to generate")
  private Integer maxOutputTokens;

  @Parameter(names = "--estimate", description = "Estimate of the tokens to be generated")
  private Integer estimatedOutputTokens;

  @Parameter(names = "--json", description = "Print JSON instead of text")
  private boolean isJson;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  @Override
  public boolean isHelp() {
    return isHelp;
  }

  @Override
  public int run() {
    Map<String, String> parameters = new LinkedHashMap<>();
    put(parameters, "host", host);
    put(parameters, "path", path);
    put(parameters, "workspace", workspace);
    put(parameters, "promptTokens", promptTokens);
    put(parameters, "maxOutputTokens", maxOutputTokens);
    put(parameters, "estimatedOutputTokens", estimatedOutputTokens);
    put(parameters, "format", isJson ? "json" : "text");
    try {
      System.out.println(new ExplainClient(node).explain(parameters).stripTrailing());
      return 0;
    } catch (IOException | IllegalArgumentException e) {
      System.err.println("explain: node " + node + ": " + e.getMessage());
      return Main.EXIT_FAILURE;
    }
  }

  private static void put(Map<String, String> parameters, String name, Object value) {
    if (value != null) {
      parameters.put(name, value.toString());
    }
  }
}
