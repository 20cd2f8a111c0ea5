package org.gooseberryhook.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/**
 * Response of a stand-in.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the body
 * @param delayMs delay before the response is sent, in milliseconds
 * @since 0.1
 */
public record StandinResponse(int status, String contentType, byte[] body, long delayMs) {

  /** Status of a request that succeeded. */
  public static final int OK = 200;

  /** Status of a request that is not valid. */
  public static final int BAD_REQUEST = 400;

  /** Status of a request for a resource that does not exist. */
  public static final int NOT_FOUND = 404;

  /** Status of a request whose precondition does not hold. */
  public static final int CONFLICT = 409;

  /** Status of a request above the rate limit. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** Status of a request that was refused without effect. */
  public static final int UNAVAILABLE = 503;

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final String JSON = "application/json";
  private static final String BYTES = "application/octet-stream";

  /**
   * Returns a response with a JSON body.
   *
   * @param status HTTP status
   * @param body the object to serialize with Jackson
   * @return the response, never null
   * @throws IllegalArgumentException if Jackson cannot serialize the object
   */
  public static StandinResponse ofJson(int status, Object body) {
    try {
      return new StandinResponse(status, JSON, MAPPER.writeValueAsBytes(body), 0);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("response body cannot be written as JSON", e);
    }
  }

  /**
   * Returns a response whose JSON body has an {@code error} field.
   *
   * @param status HTTP status
   * @param error text of the error
   * @return the response, never null
   */
  public static StandinResponse ofError(int status, String error) {
    return ofJson(status, Map.of("error", error));
  }

  /**
   * Returns a response with status 200 and a binary body.
   *
   * @param body the bytes
   * @return the response, never null
   */
  public static StandinResponse ofBytes(byte[] body) {
    return new StandinResponse(OK, BYTES, body, 0);
  }

  /**
   * Returns a copy of this response with another delay.
   *
   * @param newDelayMs delay before the response is sent, in milliseconds
   * @return the response, never null
   */
  public StandinResponse withDelay(long newDelayMs) {
    return new StandinResponse(status, contentType, body, newDelayMs);
  }
}
