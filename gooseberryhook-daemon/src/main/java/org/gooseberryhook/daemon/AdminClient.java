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

/** Client of the administration API. */
final class AdminClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final OkHttpClient CLIENT = new OkHttpClient();

  private final String baseUrl;
  private final String operatorKey;

  AdminClient(String address, String operatorKey) {
    this.baseUrl = "http://" + address + "/admin/v1/";
    this.operatorKey = operatorKey;
  }

  /** An answer with its ETag; the body is null when it is empty. */
  record Answer(int status, String etag, JsonNode body) {

    boolean isOk() {
      return status >= 200 && status < 300;
    }
  }

  Answer get(String path) throws IOException {
    return send(newRequest(path).get());
  }

  /** Puts a record and fails if the change is not accepted. */
  void put(String path, Object value, long expectedVersion) throws IOException {
    Answer answer = tryPut(path, value, expectedVersion);
    if (!answer.isOk()) {
      throw new IOException(
          "PUT " + path + " was answered " + answer.status() + " " + answer.body());
    }
  }

  Answer tryPut(String path, Object value, long expectedVersion) throws IOException {
    return putText(path, Json.MAPPER.writeValueAsString(value), expectedVersion);
  }

  Answer putText(String path, String json, long expectedVersion) throws IOException {
    return send(
        newRequest(path)
            .header("If-Match", "\"" + expectedVersion + "\"")
            .put(RequestBody.create(json, JSON)));
  }

  Answer delete(String path, long expectedVersion) throws IOException {
    return send(newRequest(path).header("If-Match", "\"" + expectedVersion + "\"").delete());
  }

  Answer declare(String kind, String id, String reason) throws IOException {
    Map<String, String> body = Map.of("kind", kind, "id", id, "reason", reason);
    return send(
        newRequest("planned-changes")
            .post(RequestBody.create(Json.MAPPER.writeValueAsString(body), JSON)));
  }

  private Request.Builder newRequest(String path) {
    return new Request.Builder()
        .url(baseUrl + path)
        .header("Authorization", "Bearer " + operatorKey);
  }

  private static Answer send(Request.Builder request) throws IOException {
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      byte[] bytes = response.body().bytes();
      return new Answer(
          response.code(),
          response.header("ETag"),
          bytes.length == 0 ? null : Json.MAPPER.readTree(bytes));
    }
  }
}
