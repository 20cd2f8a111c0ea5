package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;

/**
 * Client of the administration API. Thread-safe.
 *
 * @since 0.1
 */
public final class AdminClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final OkHttpClient CLIENT = new OkHttpClient();

  private final String baseUrl;
  private final String operatorKey;

  /**
   * Creates a client.
   *
   * @param address {@code ip:port} of a node's administration API
   * @param operatorKey the operator's key
   */
  public AdminClient(String address, String operatorKey) {
    this.baseUrl = "http://" + address + "/admin/v1/";
    this.operatorKey = operatorKey;
  }

  /**
   * A response of the administration API.
   *
   * @param status HTTP status
   * @param etag version of the record; null if there is none
   * @param body the JSON body; null if it is empty
   * @since 0.1
   */
  public record AdminResponse(int status, String etag, JsonNode body) {

    /**
     * Returns whether the call succeeded.
     *
     * @return true for a 2xx status
     */
    public boolean isOk() {
      return status >= 200 && status < 300;
    }
  }

  /**
   * Reads a record or a list.
   *
   * @param path path below {@code /admin/v1/}
   * @return the response, never null
   * @throws IOException if the node can't be reached
   */
  public AdminResponse get(String path) throws IOException {
    return send(newRequest(path).get());
  }

  /**
   * Puts a record and fails if the node refuses it.
   *
   * @param path path below {@code /admin/v1/}
   * @param value the record
   * @param expectedVersion version that the record must have; 0 if it must be absent
   * @throws IOException if the node can't be reached or refuses the change
   */
  public void put(String path, Object value, long expectedVersion) throws IOException {
    AdminResponse response = tryPut(path, value, expectedVersion);
    if (!response.isOk()) {
      throw new IOException(
          "PUT " + path + " returned status " + response.status() + " " + response.body());
    }
  }

  /**
   * Puts a record and returns the response, also if the node refuses the record.
   *
   * @param path path below {@code /admin/v1/}
   * @param value the record
   * @param expectedVersion version that the record must have; 0 if it must be absent
   * @return the response, never null
   * @throws IOException if the node can't be reached
   */
  public AdminResponse tryPut(String path, Object value, long expectedVersion) throws IOException {
    return putJson(path, Json.MAPPER.writeValueAsString(value), expectedVersion);
  }

  /**
   * Puts a record given as JSON text and returns the response, also if the node refuses it.
   *
   * @param path path below {@code /admin/v1/}
   * @param json the record as JSON text
   * @param expectedVersion version that the record must have; 0 if it must be absent
   * @return the response, never null
   * @throws IOException if the node can't be reached
   */
  public AdminResponse putJson(String path, String json, long expectedVersion) throws IOException {
    return send(
        newRequest(path)
            .header("If-Match", "\"" + expectedVersion + "\"")
            .put(RequestBody.create(json, JSON)));
  }

  /**
   * Deletes a record.
   *
   * @param path path below {@code /admin/v1/}
   * @param expectedVersion version that the record must have
   * @return the response, never null
   * @throws IOException if the node can't be reached
   */
  public AdminResponse delete(String path, long expectedVersion) throws IOException {
    return send(newRequest(path).header("If-Match", "\"" + expectedVersion + "\"").delete());
  }

  /**
   * Declares a planned change, such as the planned stop of a VM.
   *
   * @param kind target, vm, place or node-gone
   * @param id id of the target, VM, data centre or node
   * @param reason reason shown to other operators
   * @return the response, never null
   * @throws IOException if the node can't be reached
   */
  public AdminResponse declarePlannedChange(String kind, String id, String reason)
      throws IOException {
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

  private static AdminResponse send(Request.Builder request) throws IOException {
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      byte[] bytes = response.body().bytes();
      return new AdminResponse(
          response.code(),
          response.header("ETag"),
          bytes.length == 0 ? null : Json.MAPPER.readTree(bytes));
    }
  }
}
