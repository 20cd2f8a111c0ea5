package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;

/**
 * Client of the platform's table service over HTTP.
 *
 * <p>{@link TableResult.NotApplied} is reported only when it is proved: no byte of the request was
 * written, or the service responded with 429 or 503, which it does only before any effect. Every
 * other failure is {@link TableResult.Unknown}.
 *
 * @since 0.1
 */
public final class HttpTableService implements TableService {

  /** Deadline of a call; a lease of 3 s must survive one lost call. */
  public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);

  /** Default maximum number of calls in flight. */
  public static final int DEFAULT_MAX_IN_FLIGHT = 64;

  private static final long MAX_RESPONSE_BYTES = 16L << 20;
  private static final MediaType JSON = MediaType.get("application/json");

  private final HttpUrl base;
  private final HttpCaller caller;

  /**
   * Creates a client.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL, for example {@code http://10.0.0.2:7000}
   * @param timeout deadline of each call
   * @param maxInFlight maximum number of calls in flight; a further call is {@link
   *     TableResult.NotApplied}
   * @throws IllegalArgumentException if the URL is not valid
   */
  public HttpTableService(HttpClients clients, String baseUrl, Duration timeout, int maxInFlight) {
    this.base = HttpUrl.get(baseUrl);
    this.caller = new HttpCaller(clients, "table", maxInFlight, timeout, MAX_RESPONSE_BYTES);
  }

  /**
   * Returns a client with the default deadline and maximum number of calls in flight.
   *
   * @param clients factory of the HTTP client
   * @param baseUrl base URL
   * @return the client, never null
   * @throws IllegalArgumentException if the URL is not valid
   */
  public static HttpTableService of(HttpClients clients, String baseUrl) {
    return new HttpTableService(clients, baseUrl, DEFAULT_TIMEOUT, DEFAULT_MAX_IN_FLIGHT);
  }

  @Override
  public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
    byte[] body;
    try {
      body = HttpCaller.MAPPER.writeValueAsBytes(new Transaction(operations));
    } catch (JsonProcessingException e) {
      return CompletableFuture.completedFuture(new TableResult.NotApplied("not sent: " + e));
    }
    Request.Builder request =
        new Request.Builder().url(url("transact").build()).post(RequestBody.create(body, JSON));
    int count = operations.size();
    return caller.call(request).thenApply(exchange -> toResult(exchange, count));
  }

  @Override
  public CompletableFuture<TableResult> get(String key) {
    HttpUrl url = url("records").addQueryParameter("key", key).build();
    return caller.call(new Request.Builder().url(url)).thenApply(HttpTableService::toRead);
  }

  @Override
  public CompletableFuture<TableResult> scan(String prefix, String afterKey, int limit) {
    HttpUrl url =
        url("scan")
            .addQueryParameter("prefix", prefix)
            .addQueryParameter("after", afterKey)
            .addQueryParameter("limit", Integer.toString(limit))
            .build();
    return caller.call(new Request.Builder().url(url)).thenApply(HttpTableService::toRead);
  }

  private HttpUrl.Builder url(String last) {
    return base.newBuilder().addPathSegment("table").addPathSegment(last);
  }

  private static TableResult toResult(HttpCaller.Exchange exchange, int operationCount) {
    if (!(exchange instanceof HttpCaller.Exchange.Answered answered)) {
      return toFailure(exchange);
    }
    try {
      if (answered.status() == HttpCaller.OK) {
        List<Long> versions =
            HttpCaller.MAPPER.readValue(answered.body(), Versions.class).versions();
        return versions != null && versions.size() == operationCount
            ? new TableResult.Committed(List.copyOf(versions))
            : new TableResult.Unknown("answer does not have one version for each operation");
      }
      if (answered.status() == HttpCaller.CONFLICT) {
        List<TableRecord> current =
            HttpCaller.MAPPER.readValue(answered.body(), Current.class).current();
        return current != null
            ? new TableResult.Conflict(List.copyOf(current))
            : new TableResult.Unknown("conflict answer lacks the current records");
      }
      return toFailure(exchange);
    } catch (IOException | RuntimeException e) {
      return new TableResult.Unknown("answer cannot be read: " + e);
    }
  }

  private static TableResult toRead(HttpCaller.Exchange exchange) {
    if (!(exchange instanceof HttpCaller.Exchange.Answered answered)
        || answered.status() != HttpCaller.OK) {
      return toFailure(exchange);
    }
    try {
      List<TableRecord> records =
          HttpCaller.MAPPER.readValue(answered.body(), Records.class).records();
      return records != null
          ? new TableResult.Read(List.copyOf(records))
          : new TableResult.Unknown("answer lacks the records");
    } catch (IOException | RuntimeException e) {
      return new TableResult.Unknown("answer cannot be read: " + e);
    }
  }

  private static TableResult toFailure(HttpCaller.Exchange exchange) {
    if (exchange instanceof HttpCaller.Exchange.NotSent notSent) {
      return new TableResult.NotApplied(notSent.reason());
    }
    if (exchange instanceof HttpCaller.Exchange.Lost lost) {
      return new TableResult.Unknown(lost.reason());
    }
    int status = ((HttpCaller.Exchange.Answered) exchange).status();
    return HttpCaller.isRefused(status)
        ? new TableResult.NotApplied("table: refused with status " + status)
        : new TableResult.Unknown("table: unexpected status " + status);
  }

  private record Transaction(List<TableOperation> operations) {}

  private record Versions(List<Long> versions) {}

  private record Current(List<TableRecord> current) {}

  private record Records(List<TableRecord> records) {}
}
