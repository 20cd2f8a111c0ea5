package org.gooseberryhook.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.gooseberryhook.protocol.ObjectResult;
import org.gooseberryhook.protocol.ObjectStore;

/**
 * Client of the platform's object store over HTTP.
 *
 * <p>{@link ObjectResult.NotApplied} is reported only when it is proved: no byte of the request was
 * written, or the store responded with 429 or 503, which it does only before any effect.
 *
 * @since 0.1
 */
public final class HttpObjectStore implements ObjectStore {

  /** Deadline of a call; 8 MiB take less than a second at 100 Mbit/s. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

  /** Maximum number of calls in flight; bounds the memory of response bodies to 64 MiB. */
  public static final int MAX_IN_FLIGHT = 8;

  private static final MediaType BYTES = MediaType.get("application/octet-stream");

  private final HttpUrl base;
  private final HttpCaller caller;

  /**
   * Creates a client.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @param timeout deadline of each call
   * @throws IllegalArgumentException if the URL is not valid
   */
  public HttpObjectStore(HttpClients clients, String baseUrl, Duration timeout) {
    this.base = HttpUrl.get(baseUrl);
    this.caller = new HttpCaller(clients, "objects", MAX_IN_FLIGHT, timeout, MAX_OBJECT_BYTES);
  }

  /**
   * Returns a client with the default deadline.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @return the client, never null
   * @throws IllegalArgumentException if the URL is not valid
   */
  public static HttpObjectStore of(HttpClients clients, String baseUrl) {
    return new HttpObjectStore(clients, baseUrl, DEFAULT_TIMEOUT);
  }

  @Override
  public CompletableFuture<ObjectResult> put(String name, byte[] bytes) {
    if (bytes.length > MAX_OBJECT_BYTES) {
      return CompletableFuture.completedFuture(
          new ObjectResult.NotApplied(
              "object " + name + " is longer than " + MAX_OBJECT_BYTES + " bytes"));
    }
    Request.Builder request =
        new Request.Builder().url(toUrl(name)).put(RequestBody.create(bytes, BYTES));
    return caller
        .call(request)
        .thenApply(exchange -> toResult(exchange, body -> new ObjectResult.Stored()));
  }

  @Override
  public CompletableFuture<ObjectResult> get(String name) {
    return caller
        .call(new Request.Builder().url(toUrl(name)))
        .thenApply(
            exchange ->
                exchange instanceof HttpCaller.Exchange.Answered answered
                        && answered.status() == HttpCaller.NOT_FOUND
                    ? new ObjectResult.Absent()
                    : toResult(exchange, ObjectResult.Found::new));
  }

  @Override
  public CompletableFuture<ObjectResult> list(String prefix, String afterName, int limit) {
    HttpUrl url =
        base.newBuilder()
            .addPathSegment("objects")
            .addPathSegment("names")
            .addQueryParameter("prefix", prefix)
            .addQueryParameter("after", afterName)
            .addQueryParameter("limit", Integer.toString(limit))
            .build();
    return caller
        .call(new Request.Builder().url(url))
        .thenApply(exchange -> toResult(exchange, HttpObjectStore::toNames));
  }

  private HttpUrl toUrl(String name) {
    return base.newBuilder().addPathSegment("objects").addQueryParameter("name", name).build();
  }

  private static ObjectResult toNames(byte[] body) {
    try {
      List<String> names = HttpCaller.MAPPER.readValue(body, Names.class).names();
      return new ObjectResult.Names(List.copyOf(names));
    } catch (IOException | RuntimeException e) {
      return new ObjectResult.Unknown("objects: response cannot be read: " + e);
    }
  }

  private static ObjectResult toResult(
      HttpCaller.Exchange exchange, Function<byte[], ObjectResult> whenOk) {
    if (exchange instanceof HttpCaller.Exchange.NotSent notSent) {
      return new ObjectResult.NotApplied(notSent.reason());
    }
    if (exchange instanceof HttpCaller.Exchange.Lost lost) {
      return new ObjectResult.Unknown(lost.reason());
    }
    HttpCaller.Exchange.Answered answered = (HttpCaller.Exchange.Answered) exchange;
    if (answered.status() == HttpCaller.OK) {
      return whenOk.apply(answered.body());
    }
    return HttpCaller.isRefused(answered.status())
        ? new ObjectResult.NotApplied("objects: refused with status " + answered.status())
        : new ObjectResult.Unknown("objects: unexpected status " + answered.status());
  }

  private record Names(List<String> names) {}
}
