package org.gooseberryhook.standin;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the plain services that counts effects per idempotency key.
 *
 * <ul>
 *   <li>{@code POST /services/{name}/{operation}} with header {@code Idempotency-Key} has one
 *       effect per request. Requests are not deduplicated by key, so that the count reveals a
 *       request that was dispatched twice. An operation whose name starts with {@code lookup} has
 *       no effect. Returns an {@link Effect}.
 *   <li>{@code GET /services/{name}/keys/{key}} returns the last effect of the key, or 404.
 *   <li>{@code GET /effects} returns the number of effects for each {@code service/key}.
 * </ul>
 *
 * @since 0.1
 */
public final class ServiceStandin {

  private static final String LOOKUP_PREFIX = "lookup";
  private static final String KEY_HEADER = "idempotency-key";

  private static final int MAX_KEYS = 1_000_000;

  private final StandinServer server;
  private final TreeMap<String, Effect> lastEffects = new TreeMap<>();

  /**
   * Creates a stand-in that is not started yet.
   *
   * @param port port on the loopback address; 0 for a free one
   */
  public ServiceStandin(int port) {
    server =
        new StandinServer("service-standin", port)
            .route("POST", "/services/{name}/{operation}", this::call)
            .route("GET", "/services/{name}/keys/{key}", this::getLastEffect)
            .route("GET", "/effects", this::listEffects);
  }

  /**
   * Returns the HTTP server, which starts and stops the stand-in and holds its faults.
   *
   * @return the server, never null
   */
  public StandinServer getServer() {
    return server;
  }

  /**
   * Returns the number of effects of an idempotency key.
   *
   * @param service name of the service
   * @param key the idempotency key
   * @return the count; 0 if no request with the key had an effect
   */
  public synchronized int getEffectCount(String service, String key) {
    Effect last = lastEffects.get(service + "/" + key);
    return last == null ? 0 : last.effectNumber();
  }

  private StandinResponse call(StandinRequest request) {
    String service = request.pathValues().get("name");
    String operation = request.pathValues().get("operation");
    String key = request.headers().getOrDefault(KEY_HEADER, "");
    String digest = digestOf(request.body());
    if (operation.startsWith(LOOKUP_PREFIX)) {
      return StandinResponse.ofJson(
          StandinResponse.OK, new Effect(service, operation, key, 0, digest));
    }
    if (key.isEmpty()) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST,
          "operation " + operation + " requires header Idempotency-Key");
    }
    return apply(service, operation, key, digest);
  }

  private synchronized StandinResponse apply(
      String service, String operation, String key, String digest) {
    if (lastEffects.size() >= MAX_KEYS) {
      return StandinResponse.ofError(
          StandinResponse.UNAVAILABLE, "the service stand-in holds at most " + MAX_KEYS + " keys");
    }
    int number = getEffectCount(service, key) + 1;
    Effect effect = new Effect(service, operation, key, number, digest);
    lastEffects.put(service + "/" + key, effect);
    return StandinResponse.ofJson(StandinResponse.OK, effect);
  }

  private synchronized StandinResponse getLastEffect(StandinRequest request) {
    String service = request.pathValues().get("name");
    String key = request.pathValues().get("key");
    Effect last = lastEffects.get(service + "/" + key);
    return last == null
        ? StandinResponse.ofError(StandinResponse.NOT_FOUND, "key " + key + " has no effect")
        : StandinResponse.ofJson(StandinResponse.OK, last);
  }

  private synchronized StandinResponse listEffects(StandinRequest request) {
    Map<String, Integer> counts = new TreeMap<>();
    lastEffects.forEach((key, effect) -> counts.put(key, effect.effectNumber()));
    return StandinResponse.ofJson(StandinResponse.OK, counts);
  }

  private static String digestOf(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256, which every Java platform must provide, is missing", e);
    }
  }

  /**
   * Response body of a call.
   *
   * @param service name of the service
   * @param operation name of the operation
   * @param key idempotency key; empty if none was sent
   * @param effectNumber number of the effect among those of the key, starting at 1; 0 if the
   *     operation has no effect
   * @param bodyDigest SHA-256 of the request body in hexadecimal
   * @since 0.1
   */
  public record Effect(
      String service, String operation, String key, int effectNumber, String bodyDigest) {}
}
