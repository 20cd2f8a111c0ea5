package org.gooseberryhook.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gooseberryhook.protocol.ObjectStore;

/**
 * Stand-in for the object store.
 *
 * <ul>
 *   <li>{@code PUT /objects?name=} stores the body, {@code GET /objects?name=} returns it or 404.
 *   <li>{@code GET /objects/names?prefix=&after=&limit=} returns {@code {names}} in order.
 *   <li>{@code PUT /limits} with {@code {writesPerSecond, readsPerSecond}}. Above a limit the
 *       status is 429 and the request has no effect.
 * </ul>
 *
 * @since 0.1
 */
public final class ObjectStandin {

  /** Default limit of writes per second. */
  public static final double DEFAULT_WRITES_PER_SECOND = 500;

  /** Default limit of reads per second. */
  public static final double DEFAULT_READS_PER_SECOND = 2000;

  private static final long MAX_TOTAL_BYTES = 512L << 20;
  private static final int MAX_OBJECTS = 100_000;
  private static final int MAX_LIST_NAMES = 1000;

  private final StandinServer server;
  private final RateLimit writes = new RateLimit(DEFAULT_WRITES_PER_SECOND);
  private final RateLimit reads = new RateLimit(DEFAULT_READS_PER_SECOND);
  private final TreeMap<String, byte[]> objects = new TreeMap<>();
  private long totalBytes;

  /**
   * Creates a stand-in that is not started yet.
   *
   * @param port port on the loopback address; 0 for a free one
   */
  public ObjectStandin(int port) {
    server =
        new StandinServer("object-standin", port)
            .route("PUT", "/objects", this::put)
            .route("GET", "/objects", this::get)
            .route("GET", "/objects/names", this::list)
            .route("PUT", "/limits", this::setLimits);
  }

  /**
   * Returns the HTTP server, which starts and stops the stand-in and holds its faults.
   *
   * @return the server, never null
   */
  public StandinServer getServer() {
    return server;
  }

  private StandinResponse setLimits(StandinRequest request) throws IOException {
    JsonNode body = StandinResponse.MAPPER.readTree(request.body());
    writes.setRate(body.path("writesPerSecond").asDouble(DEFAULT_WRITES_PER_SECOND));
    reads.setRate(body.path("readsPerSecond").asDouble(DEFAULT_READS_PER_SECOND));
    return StandinResponse.ofJson(StandinResponse.OK, body);
  }

  private StandinResponse put(StandinRequest request) {
    if (!writes.tryTake()) {
      return StandinResponse.ofError(
          StandinResponse.TOO_MANY_REQUESTS, "write rate limit exceeded; try again later");
    }
    String name = request.getQuery("name");
    byte[] body = request.body();
    if (name.isEmpty() || body.length > ObjectStore.MAX_OBJECT_BYTES) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST,
          "an object needs a name and at most " + ObjectStore.MAX_OBJECT_BYTES + " bytes");
    }
    return store(name, body);
  }

  private synchronized StandinResponse store(String name, byte[] body) {
    byte[] old = objects.get(name);
    long nextTotalBytes = totalBytes + body.length - (old == null ? 0 : old.length);
    if (nextTotalBytes > MAX_TOTAL_BYTES || objects.size() >= MAX_OBJECTS) {
      return StandinResponse.ofError(StandinResponse.UNAVAILABLE, "the object store is full");
    }
    objects.put(name, body);
    totalBytes = nextTotalBytes;
    return StandinResponse.ofJson(StandinResponse.OK, Map.of("bytes", body.length));
  }

  private StandinResponse get(StandinRequest request) {
    if (!reads.tryTake()) {
      return StandinResponse.ofError(
          StandinResponse.TOO_MANY_REQUESTS, "read rate limit exceeded; try again later");
    }
    synchronized (this) {
      byte[] found = objects.get(request.getQuery("name"));
      return found == null
          ? StandinResponse.ofError(StandinResponse.NOT_FOUND, "object does not exist")
          : StandinResponse.ofBytes(found);
    }
  }

  private StandinResponse list(StandinRequest request) {
    if (!reads.tryTake()) {
      return StandinResponse.ofError(
          StandinResponse.TOO_MANY_REQUESTS, "read rate limit exceeded; try again later");
    }
    String prefix = request.getQuery("prefix");
    String after = request.getQuery("after");
    int limit = Math.min(Integer.parseInt(request.getQuery("limit")), MAX_LIST_NAMES);
    String from = after.compareTo(prefix) > 0 ? after : prefix;
    synchronized (this) {
      List<String> names =
          objects.tailMap(from, !from.equals(after)).keySet().stream()
              .takeWhile(name -> name.startsWith(prefix))
              .limit(limit)
              .toList();
      return StandinResponse.ofJson(StandinResponse.OK, Map.of("names", names));
    }
  }
}
