package org.gooseberryhook.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gooseberryhook.protocol.WeightArtifact;

/**
 * Stand-in for the weight store. All reads share one rate limit in bytes per second.
 *
 * <ul>
 *   <li>{@code GET /weights} returns a list of {@link WeightArtifact}.
 *   <li>{@code PUT /weights/{name}} with a {@link WeightArtifact} adds or replaces one.
 *   <li>{@code POST /weights/{name}/reads?bytes=} returns {@code {bytes}} after the time that the
 *       read would take; the weights themselves are not sent. Without {@code bytes} the whole
 *       artifact is read. A read that would take longer than ten minutes is refused with 429.
 *   <li>{@code PUT /limits} with {@code {bytesPerSecond}} sets the rate limit.
 * </ul>
 *
 * @since 0.1
 */
public final class WeightStandin {

  /** Default rate limit: 10 GB/s. */
  public static final double DEFAULT_BYTES_PER_SECOND = 10e9;

  private static final long MAX_READ_MS = 600_000;
  private static final int MAX_ARTIFACTS = 10_000;

  private final StandinServer server;
  private final RateLimit bytes = new RateLimit(DEFAULT_BYTES_PER_SECOND);
  private final TreeMap<String, WeightArtifact> artifacts = new TreeMap<>();

  /**
   * Creates a stand-in that is not started yet.
   *
   * @param port port on the loopback address; 0 for a free one
   */
  public WeightStandin(int port) {
    server =
        new StandinServer("weight-standin", port)
            .route("GET", "/weights", request -> StandinResponse.ofJson(StandinResponse.OK, list()))
            .route("PUT", "/weights/{name}", this::putArtifact)
            .route("POST", "/weights/{name}/reads", this::read)
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

  /**
   * Sets the rate limit that all reads share.
   *
   * @param bytesPerSecond bytes per second, more than 0
   */
  public void setLimit(double bytesPerSecond) {
    bytes.setRate(bytesPerSecond);
  }

  /**
   * Adds or replaces an artifact.
   *
   * @param artifact the artifact
   * @throws IllegalStateException if the store holds the maximum number of artifacts
   */
  public synchronized void put(WeightArtifact artifact) {
    if (artifacts.size() >= MAX_ARTIFACTS && !artifacts.containsKey(artifact.name())) {
      throw new IllegalStateException(
          "the weight store holds at most " + MAX_ARTIFACTS + " artifacts");
    }
    artifacts.put(artifact.name(), artifact);
  }

  private synchronized List<WeightArtifact> list() {
    return List.copyOf(artifacts.values());
  }

  private synchronized WeightArtifact find(String name) {
    return artifacts.get(name);
  }

  private StandinResponse putArtifact(StandinRequest request) throws IOException {
    WeightArtifact artifact =
        StandinResponse.MAPPER.readValue(request.body(), WeightArtifact.class);
    String name = request.pathValues().get("name");
    if (!name.equals(artifact.name())) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST,
          "path has name " + name + " but body has " + artifact.name());
    }
    put(artifact);
    return StandinResponse.ofJson(StandinResponse.OK, artifact);
  }

  private StandinResponse read(StandinRequest request) {
    WeightArtifact artifact = find(request.pathValues().get("name"));
    if (artifact == null) {
      return StandinResponse.ofError(StandinResponse.NOT_FOUND, "artifact does not exist");
    }
    String requestedBytes = request.getQuery("bytes");
    long readBytes =
        requestedBytes.isEmpty() ? artifact.sizeBytes() : Long.parseLong(requestedBytes);
    if (readBytes < 0 || readBytes > artifact.sizeBytes()) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST, "bytes must be in 0.." + artifact.sizeBytes());
    }
    long waitMs = bytes.reserve(readBytes, MAX_READ_MS);
    if (waitMs < 0) {
      return StandinResponse.ofError(
          StandinResponse.TOO_MANY_REQUESTS,
          "the read would take longer than " + MAX_READ_MS + " ms");
    }
    return StandinResponse.ofJson(StandinResponse.OK, Map.of("bytes", readBytes)).withDelay(waitMs);
  }

  private StandinResponse setLimits(StandinRequest request) throws IOException {
    JsonNode body = StandinResponse.MAPPER.readTree(request.body());
    setLimit(body.path("bytesPerSecond").asDouble(0));
    return StandinResponse.ofJson(StandinResponse.OK, body);
  }
}
