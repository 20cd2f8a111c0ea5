package org.gooseberryhook.transport;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes and compares digests of caller and operator keys, which are stored instead of the keys.
 *
 * @since 0.1
 */
public final class CallerKeys {

  private CallerKeys() {}

  /**
   * Returns the digest that is stored for a key.
   *
   * @param key the key, not null
   * @return SHA-256 in lower-case hex
   */
  public static String digestOf(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
    }
  }

  /**
   * Compares two digests in constant time.
   *
   * @param left a digest
   * @param right a digest
   * @return true if they are equal
   */
  public static boolean isSame(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
  }
}
