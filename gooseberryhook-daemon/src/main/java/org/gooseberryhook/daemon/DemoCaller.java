package org.gooseberryhook.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.gooseberryhook.protocol.Json;

/** A caller of the demo. It repeats requests that did not run after the time they name. */
final class DemoCaller {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_TRIES = 30;
  private static final String DATA = "data: ";

  private final OkHttpClient client =
      new OkHttpClient.Builder().readTimeout(30, TimeUnit.SECONDS).build();

  /** An answer to a call that is not streamed. */
  record Reply(int status, String retryAfter, String rateLimit, JsonNode body) {}

  /** What came of a stream. */
  record Streamed(List<Integer> tokens, boolean isComplete) {}

  /** Runs a text completion and returns its tokens. */
  List<Integer> complete(String address, String prompt, int maxTokens) throws IOException {
    Map<String, Object> body = newBody(maxTokens);
    body.put("prompt", prompt);
    return tokensOf(post(address, "/v1/completions", body));
  }

  /** Runs a chat completion and returns its tokens; none if the answer has another shape. */
  List<Integer> chat(String address, String prompt, int maxTokens) throws IOException {
    Map<String, Object> body = newBody(maxTokens);
    body.put("messages", List.of(Map.of("role", "user", "content", prompt)));
    Reply reply = post(address, "/v1/chat/completions", body);
    boolean isChat =
        reply.body().path("object").asText().equals("chat.completion")
            && !reply.body().at("/choices/0/message/content").asText().isEmpty();
    return isChat ? tokensOf(reply) : List.of();
  }

  /**
   * Reads a stream.
   *
   * @param resumed tokens that an earlier try received
   * @param onToken told the number of tokens read here; false ends the reading
   */
  Streamed stream(
      String address,
      String requestId,
      String prompt,
      int maxTokens,
      List<Integer> resumed,
      IntPredicate onToken)
      throws IOException {
    Map<String, Object> body = newBody(maxTokens);
    body.put("prompt", prompt);
    body.put("stream", true);
    body.put("resume_token_ids", resumed);
    Request request =
        newRequest(address, "/v1/completions", body)
            .header("X-Request-Id", requestId)
            .header("X-Resume-From", Integer.toString(resumed.size()))
            .build();
    for (int i = 0; i < MAX_TRIES; i++) {
      try (Response response = client.newCall(request).execute()) {
        if (response.isSuccessful()) {
          return read(response.body().source(), onToken);
        }
        pauseBeforeRepeat(toReply(response));
      }
    }
    throw new IOException("request " + requestId + " did not run in " + MAX_TRIES + " tries");
  }

  /** Calls a plain service; a call that did not run is repeated if it is asked for. */
  Reply callService(String address, String operation, String key, boolean isRepeating)
      throws IOException {
    Request request =
        newRequest(
                address,
                "/v1/services/" + DemoLayout.SERVICE_NAME + "/" + operation,
                Map.of("site", "Otjikango", "rise_mm", 300))
            .header("Idempotency-Key", key)
            .build();
    return isRepeating ? repeat(request) : send(request);
  }

  Reply cancel(String address, String requestId) throws IOException {
    return send(newRequest(address, "/v1/requests/" + requestId + "/cancel", Map.of()).build());
  }

  Reply get(String address, String path) throws IOException {
    return send(
        new Request.Builder()
            .url("http://" + address + path)
            .header("Authorization", "Bearer " + DemoLayout.CALLER_KEY)
            .build());
  }

  private Reply post(String address, String path, Map<String, Object> body) throws IOException {
    return repeat(newRequest(address, path, body).build());
  }

  private Reply repeat(Request request) throws IOException {
    Reply reply = send(request);
    for (int i = 1; i < MAX_TRIES && reply.status() >= 400; i++) {
      pauseBeforeRepeat(reply);
      reply = send(request);
    }
    return reply;
  }

  /** A request that may have run, or that coming back does not help, is not repeated. */
  private static void pauseBeforeRepeat(Reply reply) throws IOException {
    boolean isNotRun = reply.body().path("outcome").asText().equals("not-run");
    if (!isNotRun || reply.retryAfter() == null) {
      throw new IOException("answered " + reply.status() + ": " + reply.body());
    }
    try {
      TimeUnit.SECONDS.sleep(Long.parseLong(reply.retryAfter()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting to repeat a request", e);
    }
  }

  private Reply send(Request request) throws IOException {
    try (Response response = client.newCall(request).execute()) {
      return toReply(response);
    }
  }

  private static Reply toReply(Response response) throws IOException {
    return new Reply(
        response.code(),
        response.header("Retry-After"),
        response.header("RateLimit-Limit"),
        Json.MAPPER.readTree(response.body().bytes()));
  }

  private static Streamed read(BufferedSource source, IntPredicate onToken) throws IOException {
    List<Integer> tokens = new ArrayList<>();
    String line = source.readUtf8Line();
    while (line != null && !line.equals(DATA + "[DONE]")) {
      if (line.startsWith(DATA + "{")) {
        JsonNode chunk = Json.MAPPER.readTree(line.substring(DATA.length()));
        if (chunk.has("token_id")) {
          tokens.add(chunk.path("token_id").asInt());
          if (!onToken.test(tokens.size())) {
            return new Streamed(tokens, false);
          }
        }
      }
      line = source.readUtf8Line();
    }
    return new Streamed(tokens, line != null);
  }

  private static List<Integer> tokensOf(Reply reply) {
    List<Integer> tokens = new ArrayList<>();
    reply.body().path("token_ids").forEach(token -> tokens.add(token.asInt()));
    return tokens;
  }

  private static Map<String, Object> newBody(int maxTokens) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", DemoLayout.MODEL_ID);
    body.put("max_tokens", maxTokens);
    return body;
  }

  private static Request.Builder newRequest(String address, String path, Map<String, Object> body)
      throws IOException {
    return new Request.Builder()
        .url("http://" + address + path)
        .header("Authorization", "Bearer " + DemoLayout.CALLER_KEY)
        .post(RequestBody.create(Json.MAPPER.writeValueAsBytes(body), JSON));
  }
}
