package org.gooseberryhook.transport;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * Sends requests to an outside system, with a limit on calls in flight, and reports whether a
 * failed request may have reached the server.
 *
 * @since 0.1
 */
final class HttpCaller {

  static final int OK = 200;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;

  /**
   * Reads and writes JSON; unknown fields are ignored, so that the outside systems may add some.
   */
  static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final String name;
  private final OkHttpClient client;
  private final int maxInFlight;
  private final long maxResponseBytes;
  private final Semaphore inFlight;

  /**
   * Creates a caller.
   *
   * @param clients creates the HTTP client
   * @param name name of the outside system, used in thread names and failure reasons
   * @param maxInFlight most calls in flight; further calls are not sent
   * @param timeout deadline of each call
   * @param maxResponseBytes longest response body in bytes; a longer one counts as lost
   */
  HttpCaller(
      HttpClients clients, String name, int maxInFlight, Duration timeout, long maxResponseBytes) {
    this.name = name;
    // A permit is released just before the dispatcher removes the call. With twice the limit, no
    // call waits in the dispatcher's queue, where its deadline would not run.
    this.client = clients.newClient(name, 2 * maxInFlight, timeout);
    this.maxInFlight = maxInFlight;
    this.maxResponseBytes = maxResponseBytes;
    this.inFlight = new Semaphore(maxInFlight);
  }

  /**
   * Sends a request.
   *
   * @param builder the request, without tags
   * @return what became of the request; never completes exceptionally
   */
  CompletableFuture<Exchange> call(Request.Builder builder) {
    if (!inFlight.tryAcquire()) {
      return CompletableFuture.completedFuture(
          new Exchange.NotSent(name + ": " + maxInFlight + " calls are in flight already"));
    }
    HttpClients.SentMark mark = new HttpClients.SentMark();
    Request request = builder.tag(HttpClients.SentMark.class, mark).build();
    CompletableFuture<Exchange> future = new CompletableFuture<>();
    client.newCall(request).enqueue(new Completion(mark, future));
    return future;
  }

  /**
   * Returns whether a status means that the request was refused before it had any effect.
   *
   * @param status HTTP status of one of the platform's systems
   * @return true for 429 and 503
   */
  static boolean isRefused(int status) {
    return status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
  }

  /** What became of a request. */
  sealed interface Exchange {

    /** The whole response arrived. */
    record Answered(int status, byte[] body) implements Exchange {}

    /** No byte of the request was written. */
    record NotSent(String reason) implements Exchange {}

    /** The request may have reached the server, but the whole response did not arrive. */
    record Lost(String reason) implements Exchange {}
  }

  private final class Completion implements Callback {

    private final HttpClients.SentMark mark;
    private final CompletableFuture<Exchange> future;

    private Completion(HttpClients.SentMark mark, CompletableFuture<Exchange> future) {
      this.mark = mark;
      this.future = future;
    }

    @Override
    public void onFailure(Call call, IOException error) {
      String reason = name + ": " + error;
      finish(mark.isSent() ? new Exchange.Lost(reason) : new Exchange.NotSent(reason));
    }

    @Override
    public void onResponse(Call call, Response response) {
      finish(read(response));
    }

    private Exchange read(Response response) {
      try (response) {
        BufferedSource source = response.body().source();
        if (source.request(maxResponseBytes + 1)) {
          return new Exchange.Lost(name + ": answer is longer than " + maxResponseBytes + " bytes");
        }
        return new Exchange.Answered(response.code(), source.readByteArray());
      } catch (IOException | RuntimeException e) {
        return new Exchange.Lost(name + ": " + e);
      }
    }

    private void finish(Exchange exchange) {
      inFlight.release();
      future.complete(exchange);
    }
  }
}
