package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.standin.TokenFunction;

/**
 * HTTP server that stands in for a node and a plain service and responds as a script defines. Every
 * outcome query returns {@code ran}.
 */
final class ScriptedNode {

  /** Converts the correct tokens into the stream events to send. */
  @FunctionalInterface
  interface Script {

    String eventsOf(List<Integer> rightTokens, List<Integer> resumedTokens);
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newFixedThreadPool(4);
  private final Set<String> keys = ConcurrentHashMap.newKeySet();

  ScriptedNode(Script script, int serviceStatus, String serviceBody, int effectsPerCall)
      throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext("/v1/completions", exchange -> handleModelCall(exchange, script));
    server.createContext(
        "/v1/addresses",
        exchange ->
            send(exchange, "{\"addresses\":[\"" + getAddress() + "\"],\"valid_for_ms\":10000}"));
    server.createContext(
        "/v1/services",
        exchange -> {
          keys.add(exchange.getRequestHeaders().getFirst("Idempotency-Key"));
          send(exchange, serviceStatus, serviceBody);
        });
    server.createContext("/v1/outcomes", exchange -> send(exchange, "{\"outcome\":\"ran\"}"));
    server.createContext(
        "/effects",
        exchange ->
            send(
                exchange,
                keys.stream()
                    .map(key -> "\"" + key + "\":" + effectsPerCall)
                    .collect(Collectors.joining(",", "{", "}"))));
    server.start();
  }

  String getAddress() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
    threads.shutdownNow();
  }

  static String tokenEvent(int step, int tokenId) {
    return "data: {\"step\":" + step + ",\"token_id\":" + tokenId + "}\n\n";
  }

  static String doneEvent() {
    return "data: [DONE]\n\n";
  }

  private static void handleModelCall(HttpExchange exchange, Script script) throws IOException {
    JsonNode body = Json.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
    List<Integer> tokens =
        TokenFunction.expectedTokens(
            "v1",
            TinyCluster.LAYER_COUNT,
            body.path("prompt").asText(),
            body.path("max_tokens").asInt());
    List<Integer> resumed = new ArrayList<>();
    body.path("resume_token_ids").forEach(token -> resumed.add(token.asInt()));
    send(exchange, script.eventsOf(tokens, resumed));
  }

  private static void send(HttpExchange exchange, String text) throws IOException {
    send(exchange, 200, text);
  }

  private static void send(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
