package org.gooseberryhook.standin;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the plain services, which counts effects by idempotency key.
 *
 * <ul>
 *   <li>{@code POST /services/{name}/{operation}} with header {@code Idempotency-Key} has one
 *       effect for each request; it does not look for an earlier effect of the key, so that a
 *       doubled dispatch shows in the count. An operation whose name starts with {@code lookup} has
 *       no effect. Answers an {@link Effect}.
 *   <li>{@code GET /services/{name}/keys/{key}} answers the last effect of the key, or 404.
 *   <li>{@code GET /effects} answers the number of effects for each {@code service/key}.
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
   * Returns the server.
   *
   * @return the server, which has start, stop, the base URL and the faults
   */
  public StandinServer getServer() {
    return server;
  }

  /**
   * Returns how many effects a key had.
   *
   * @param service name of the service
   * @param key the idempotency key
   * @return the count; 0 if the key was never seen
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
          StandinResponse.BAD_REQUEST, "operation " + operation + " needs header Idempotency-Key");
    }
    return apply(service, operation, key, digest);
  }

  private synchronized StandinResponse apply(
      String service, String operation, String key, String digest) {
    if (lastEffects.size() >= MAX_KEYS) {
      return StandinResponse.ofError(
          StandinResponse.UNAVAILABLE, "no room for more than " + MAX_KEYS + " keys");
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
        ? StandinResponse.ofError(StandinResponse.NOT_FOUND, "key " + key + " was never seen")
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
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Answer to a call.
   *
   * @param service name of the service
   * @param operation name of the operation
   * @param key idempotency key; empty if none was sent
   * @param effectNumber 1 for the first effect of the key; 0 if the operation has no effect
   * @param bodyDigest SHA-256 of the request body in hexadecimal
   * @since 0.1
   */
  public record Effect(
      String service, String operation, String key, int effectNumber, String bodyDigest) {}
}
