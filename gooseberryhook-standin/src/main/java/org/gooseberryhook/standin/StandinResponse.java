package org.gooseberryhook.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;

/**
 * Answer of a stand-in.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the body
 * @param delayMs time until the answer is sent, in milliseconds
 * @since 0.1
 */
public record StandinResponse(int status, String contentType, byte[] body, long delayMs) {

  /** Status of a request that was served. */
  public static final int OK = 200;

  /** Status of a request that is not valid. */
  public static final int BAD_REQUEST = 400;

  /** Status of a request for something that does not exist. */
  public static final int NOT_FOUND = 404;

  /** Status of a request whose conditions do not hold. */
  public static final int CONFLICT = 409;

  /** Status of a request above the rate limit. */
  public static final int TOO_MANY_REQUESTS = 429;

  /** Status of a request that was refused without effect. */
  public static final int UNAVAILABLE = 503;

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final String JSON = "application/json";
  private static final String BYTES = "application/octet-stream";

  /**
   * Returns an answer in JSON.
   *
   * @param status HTTP status
   * @param body the body, which Jackson can write
   * @return the answer, never null
   */
  public static StandinResponse ofJson(int status, Object body) {
    try {
      return new StandinResponse(status, JSON, MAPPER.writeValueAsBytes(body), 0);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body cannot be written as JSON", e);
    }
  }

  /**
   * Returns an answer with an error text.
   *
   * @param status HTTP status
   * @param error what happened
   * @return the answer, never null
   */
  public static StandinResponse ofError(int status, String error) {
    return ofJson(status, Map.of("error", error));
  }

  /**
   * Returns an answer with bytes.
   *
   * @param body the bytes
   * @return the answer, never null
   */
  public static StandinResponse ofBytes(byte[] body) {
    return new StandinResponse(OK, BYTES, body, 0);
  }

  /**
   * Returns this answer with a delay.
   *
   * @param newDelayMs time until the answer is sent, in milliseconds
   * @return the answer, never null
   */
  public StandinResponse withDelay(long newDelayMs) {
    return new StandinResponse(status, contentType, body, newDelayMs);
  }
}
