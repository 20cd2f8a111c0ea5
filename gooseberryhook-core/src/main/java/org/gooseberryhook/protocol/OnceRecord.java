package org.gooseberryhook.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Record of a once-only call in the table service, stored as JSON under the key of {@link #keyOf}.
 *
 * @param claimId unique id of the attempt that owns the record
 * @param claimant peer address of the node that created the record for this attempt
 * @param digest digest of the operation and the body, see {@link #digestOf}
 * @param state state of the call
 * @param status HTTP status of the recorded response; 0 unless the state is {@code RAN}
 * @param body body of the recorded response; null if there is none or if it has more than {@link
 *     #MAX_BODY_CHARS} characters
 * @param createdEpochMs wall-clock time of the claim in milliseconds since 1970, used only to
 *     report and expire old records
 * @since 0.1
 */
public record OnceRecord(
    String claimId,
    String claimant,
    String digest,
    OnceState state,
    int status,
    String body,
    long createdEpochMs) {

  /**
   * Maximum length of a recorded body in characters; of a longer one only the status is recorded.
   */
  public static final int MAX_BODY_CHARS = 16 * 1024;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Returns the key under which the record of a call is stored.
   *
   * @param workspace id of the workspace; must not contain a slash
   * @param service name of the service; must not contain a slash
   * @param key the caller's idempotency key
   * @return the key in the table service
   */
  public static String keyOf(String workspace, String service, String key) {
    return "once/" + workspace + "/" + service + "/" + key;
  }

  /**
   * Returns the digest by which two calls under one key are compared.
   *
   * @param operation name of the operation
   * @param body body of the call
   * @return SHA-256 of the operation, a zero byte and the body, in lower-case hexadecimal digits
   */
  public static String digestOf(String operation, String body) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(operation.getBytes(StandardCharsets.UTF_8));
      sha.update((byte) 0);
      sha.update(body.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sha.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime provides SHA-256", e);
    }
  }

  /**
   * Returns this record with another state and no result.
   *
   * @param newState the state
   * @return the copy
   */
  public OnceRecord withState(OnceState newState) {
    return new OnceRecord(claimId, claimant, digest, newState, 0, null, createdEpochMs);
  }

  /**
   * Returns this record with the result of a call that ran.
   *
   * @param result the response of the service
   * @return the copy
   */
  public OnceRecord withResult(ServiceResult.Answered result) {
    String kept =
        result.body() != null && result.body().length() > MAX_BODY_CHARS ? null : result.body();
    return new OnceRecord(
        claimId, claimant, digest, OnceState.RAN, result.status(), kept, createdEpochMs);
  }

  /**
   * Returns this record as JSON text.
   *
   * @return the text, never null
   */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a record.
   *
   * @param json JSON text
   * @return the record
   * @throws UncheckedIOException if the text is not valid JSON of a once-only record
   */
  public static OnceRecord ofJson(String json) {
    try {
      return MAPPER.readValue(json, OnceRecord.class);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
