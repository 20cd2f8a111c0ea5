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

/**
 * HTTP client of the demo. It waits for the Retry-After time and retries requests that did not run.
 */
final class DemoCaller {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_ATTEMPTS = 30;
  private static final String DATA_PREFIX = "data: ";

  private final OkHttpClient client =
      new OkHttpClient.Builder().readTimeout(30, TimeUnit.SECONDS).build();

  /** Response to a call that is not streamed. */
  record CallResponse(int status, String retryAfter, String rateLimit, JsonNode body) {}

  /** Tokens received from a stream, and whether its end mark was received. */
  record StreamResult(List<Integer> tokens, boolean isComplete) {}

  /** Runs a text completion and returns its tokens. */
  List<Integer> complete(String address, String prompt, int maxTokens) throws IOException {
    Map<String, Object> body = newBody(maxTokens);
    body.put("prompt", prompt);
    return tokensOf(post(address, "/v1/completions", body));
  }

  /**
   * Runs a chat completion and returns its tokens; none if the response is not a chat completion.
   */
  List<Integer> chat(String address, String prompt, int maxTokens) throws IOException {
    Map<String, Object> body = newBody(maxTokens);
    body.put("messages", List.of(Map.of("role", "user", "content", prompt)));
    CallResponse response = post(address, "/v1/chat/completions", body);
    boolean isChat =
        response.body().path("object").asText().equals("chat.completion")
            && !response.body().at("/choices/0/message/content").asText().isEmpty();
    return isChat ? tokensOf(response) : List.of();
  }

  /**
   * Starts or resumes a streamed completion and reads it.
   *
   * @param receivedTokenIds tokens that an earlier attempt received; empty to start a new stream
   * @param onToken receives the number of tokens read by this call; returns false to stop reading
   * @throws IOException if the connection fails, or the request is refused and cannot be retried
   */
  StreamResult stream(
      String address,
      String requestId,
      String prompt,
      int maxTokens,
      List<Integer> receivedTokenIds,
      IntPredicate onToken)
      throws IOException {
    Map<String, Object> body = newBody(maxTokens);
    body.put("prompt", prompt);
    body.put("stream", true);
    body.put("resume_token_ids", receivedTokenIds);
    Request request =
        newRequest(address, "/v1/completions", body)
            .header("X-Request-Id", requestId)
            .header("X-Resume-From", Integer.toString(receivedTokenIds.size()))
            .build();
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      try (Response response = client.newCall(request).execute()) {
        if (response.isSuccessful()) {
          return read(response.body().source(), onToken);
        }
        waitBeforeRetry(toCallResponse(response));
      }
    }
    throw new IOException("request " + requestId + " did not run in " + MAX_ATTEMPTS + " attempts");
  }

  /** Calls a plain service; retries a call that did not run if {@code isRetried} is true. */
  CallResponse callService(String address, String operation, String key, boolean isRetried)
      throws IOException {
    Request request =
        newRequest(
                address,
                "/v1/services/" + DemoLayout.SERVICE_NAME + "/" + operation,
                Map.of("site", "Otjikango", "rise_mm", 300))
            .header("Idempotency-Key", key)
            .build();
    return isRetried ? sendWithRetries(request) : send(request);
  }

  CallResponse cancel(String address, String requestId) throws IOException {
    return send(newRequest(address, "/v1/requests/" + requestId + "/cancel", Map.of()).build());
  }

  CallResponse get(String address, String path) throws IOException {
    return send(
        new Request.Builder()
            .url("http://" + address + path)
            .header("Authorization", "Bearer " + DemoLayout.CALLER_KEY)
            .build());
  }

  private CallResponse post(String address, String path, Map<String, Object> body)
      throws IOException {
    return sendWithRetries(newRequest(address, path, body).build());
  }

  private CallResponse sendWithRetries(Request request) throws IOException {
    CallResponse response = send(request);
    for (int i = 1; i < MAX_ATTEMPTS && response.status() >= 400; i++) {
      waitBeforeRetry(response);
      response = send(request);
    }
    return response;
  }

  /**
   * Waits for the response's Retry-After time. Throws if the request must not be retried, because
   * it may have run or the response has no Retry-After header.
   */
  private static void waitBeforeRetry(CallResponse response) throws IOException {
    boolean isNotRun = response.body().path("outcome").asText().equals("not-run");
    if (!isNotRun || response.retryAfter() == null) {
      throw new IOException(
          "request failed with status " + response.status() + ": " + response.body());
    }
    try {
      TimeUnit.SECONDS.sleep(Long.parseLong(response.retryAfter()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting to retry a request", e);
    }
  }

  private CallResponse send(Request request) throws IOException {
    try (Response response = client.newCall(request).execute()) {
      return toCallResponse(response);
    }
  }

  private static CallResponse toCallResponse(Response response) throws IOException {
    return new CallResponse(
        response.code(),
        response.header("Retry-After"),
        response.header("RateLimit-Limit"),
        Json.MAPPER.readTree(response.body().bytes()));
  }

  private static StreamResult read(BufferedSource source, IntPredicate onToken) throws IOException {
    List<Integer> tokens = new ArrayList<>();
    String line = source.readUtf8Line();
    while (line != null && !line.equals(DATA_PREFIX + "[DONE]")) {
      if (line.startsWith(DATA_PREFIX + "{")) {
        JsonNode chunk = Json.MAPPER.readTree(line.substring(DATA_PREFIX.length()));
        if (chunk.has("token_id")) {
          tokens.add(chunk.path("token_id").asInt());
          if (!onToken.test(tokens.size())) {
            return new StreamResult(tokens, false);
          }
        }
      }
      line = source.readUtf8Line();
    }
    return new StreamResult(tokens, line != null);
  }

  private static List<Integer> tokensOf(CallResponse response) {
    List<Integer> tokens = new ArrayList<>();
    response.body().path("token_ids").forEach(token -> tokens.add(token.asInt()));
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
