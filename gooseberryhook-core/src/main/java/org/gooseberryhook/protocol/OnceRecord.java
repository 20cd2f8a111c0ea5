package org.gooseberryhook.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Record of one idempotency key in the table service, stored as JSON.
 *
 * @param claimId unique id of the try that owns the record
 * @param claimant peer address of the node that made the claim
 * @param digest digest of operation and body, see {@link #digestOf}
 * @param state state of the call
 * @param status HTTP status of the recorded answer; 0 unless the state is {@code RAN}
 * @param body body of the recorded answer; null if there is none or it was too large to record
 * @param createdEpochMs wall-clock time of the claim, used only to report and expire old records
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

  /** Largest recorded body in characters; a larger one is recorded by its status alone. */
  public static final int MAX_BODY_CHARS = 16 * 1024;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Returns the key of a record.
   *
   * @param workspace the workspace, without a slash
   * @param service the service, without a slash
   * @param key the caller's idempotency key
   * @return the key in the table service
   */
  public static String keyOf(String workspace, String service, String key) {
    return "once/" + workspace + "/" + service + "/" + key;
  }

  /**
   * Returns the digest that tells whether two calls under one key are the same.
   *
   * @param operation name of the operation
   * @param body body of the call
   * @return SHA-256 in lower-case hexadecimal digits
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
   * @param result the answer of the service
   * @return the copy
   */
  public OnceRecord withResult(ServiceResult.Answered result) {
    String kept =
        result.body() != null && result.body().length() > MAX_BODY_CHARS ? null : result.body();
    return new OnceRecord(
        claimId, claimant, digest, OnceState.RAN, result.status(), kept, createdEpochMs);
  }

  /**
   * Returns the stored form.
   *
   * @return JSON text
   */
  public String toJson() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads the stored form.
   *
   * @param json JSON text
   * @return the record
   * @throws UncheckedIOException if the text is not a once-only record
   */
  public static OnceRecord ofJson(String json) {
    try {
      return MAPPER.readValue(json, OnceRecord.class);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
