package org.gooseberryhook.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;

/** Sends HTTP requests for the tests and formats the responses without ids and times. */
final class ApiCalls {

  private static final OkHttpClient CLIENT = new OkHttpClient();

  private ApiCalls() {}

  /** Status, some headers and the body of a response. */
  record CallResponse(int status, String contentType, String retryAfter, String etag, String text) {

    JsonNode json() {
      try {
        return Json.MAPPER.readTree(text);
      } catch (IOException e) {
        throw new IllegalStateException("the response is not JSON: " + text, e);
      }
    }

    /** Returns the response as text; replaces ids, ports and times, which differ between runs. */
    String toText() {
      String pretty = text.startsWith("{") || text.startsWith("[") ? json().toPrettyString() : text;
      return status
          + " "
          + contentType
          + (retryAfter == null ? "" : " Retry-After")
          + "\n"
          + pretty
              .replaceAll("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "<id>")
              .replaceAll("have \\d+ bytes", "have <n> bytes")
              .replaceAll("127\\.0\\.0\\.1:\\d+", "<address>")
              .replaceAll("\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z", "<time>")
              .replaceAll("\"retry_after_ms\" : \\d+", "\"retry_after_ms\" : <ms>")
          + "\n";
    }
  }

  static CallResponse send(
      String method, String url, String key, Map<String, String> headers, String body)
      throws IOException {
    Request.Builder request = new Request.Builder().url(url);
    if (key != null) {
      request.header("Authorization", "Bearer " + key);
    }
    MediaType type = MediaType.get(headers.getOrDefault("Content-Type", "application/json"));
    headers.forEach(request::header);
    request.method(method, body == null ? null : RequestBody.create(body.getBytes(), type));
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      return new CallResponse(
          response.code(),
          response.header("Content-Type"),
          response.header("Retry-After"),
          response.header("ETag"),
          response.body().string());
    }
  }
}
