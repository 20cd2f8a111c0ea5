package org.gooseberryhook.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.gooseberryhook.protocol.WeightArtifact;
import org.gooseberryhook.protocol.WeightListResult;
import org.gooseberryhook.protocol.WeightStore;

/**
 * Client of the platform's weight store over HTTP.
 *
 * @since 0.1
 */
public final class HttpWeightStore implements WeightStore {

  /** Deadline of a call. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

  private static final int MAX_IN_FLIGHT = 2;
  private static final long MAX_RESPONSE_BYTES = 8L << 20;

  private final HttpUrl url;
  private final HttpCaller caller;

  /**
   * Creates a client.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @param timeout deadline of each call
   * @throws IllegalArgumentException if the URL is not valid
   */
  public HttpWeightStore(HttpClients clients, String baseUrl, Duration timeout) {
    this.url = HttpUrl.get(baseUrl).newBuilder().addPathSegment("weights").build();
    this.caller = new HttpCaller(clients, "weights", MAX_IN_FLIGHT, timeout, MAX_RESPONSE_BYTES);
  }

  /**
   * Returns a client with the default deadline.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @return the client, never null
   * @throws IllegalArgumentException if the URL is not valid
   */
  public static HttpWeightStore of(HttpClients clients, String baseUrl) {
    return new HttpWeightStore(clients, baseUrl, DEFAULT_TIMEOUT);
  }

  @Override
  public CompletableFuture<WeightListResult> list() {
    return caller.call(new Request.Builder().url(url)).thenApply(HttpWeightStore::toResult);
  }

  private static WeightListResult toResult(HttpCaller.Exchange exchange) {
    if (exchange instanceof HttpCaller.Exchange.NotSent notSent) {
      return new WeightListResult.Unavailable(notSent.reason());
    }
    if (exchange instanceof HttpCaller.Exchange.Lost lost) {
      return new WeightListResult.Unavailable(lost.reason());
    }
    HttpCaller.Exchange.Answered answered = (HttpCaller.Exchange.Answered) exchange;
    if (answered.status() != HttpCaller.OK) {
      return new WeightListResult.Unavailable("weights: unexpected status " + answered.status());
    }
    try {
      WeightArtifact[] artifacts =
          HttpCaller.MAPPER.readValue(answered.body(), WeightArtifact[].class);
      return new WeightListResult.Listed(List.of(artifacts));
    } catch (IOException | RuntimeException e) {
      return new WeightListResult.Unavailable("weights: response cannot be read: " + e);
    }
  }
}
