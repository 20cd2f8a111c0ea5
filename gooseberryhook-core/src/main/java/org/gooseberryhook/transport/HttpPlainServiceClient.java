package org.gooseberryhook.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.PlainServiceClient;
import org.gooseberryhook.protocol.ServiceResult;

/**
 * Client of plain services over HTTP: {@code POST /services/{service}/{operation}} with the header
 * {@code Idempotency-Key} for once-only operations, and {@code GET /services/{service}/keys/{key}}.
 *
 * @since 0.1
 */
public final class HttpPlainServiceClient implements PlainServiceClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_IN_FLIGHT = 1_000;
  private static final int HTTP_NOT_FOUND = 404;

  private final OkHttpClient client;

  /**
   * Creates a client.
   *
   * @param clients creates the HTTP client
   */
  public HttpPlainServiceClient(HttpClients clients) {
    this.client = clients.newClient("service", MAX_IN_FLIGHT, Duration.ZERO);
  }

  @Override
  public CompletableFuture<ServiceResult> call(
      String targetAddress,
      String service,
      String operation,
      String key,
      String body,
      long timeoutMs) {
    Request.Builder request =
        new Request.Builder()
            .url(urlOf(targetAddress, service, operation))
            .post(RequestBody.create(body, JSON));
    if (key != null) {
      request.header("Idempotency-Key", key);
    }
    HttpClients.SentMark sentMark = new HttpClients.SentMark();
    request.tag(HttpClients.SentMark.class, sentMark);
    CompletableFuture<ServiceResult> result = new CompletableFuture<>();
    Call call = client.newCall(request.build());
    call.timeout().timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            result.complete(
                sentMark.isSent()
                    ? new ServiceResult.AnswerLost(String.valueOf(e.getMessage()))
                    : new ServiceResult.NotSent(String.valueOf(e.getMessage())));
          }

          @Override
          public void onResponse(Call answered, Response response) {
            try (response) {
              result.complete(
                  new ServiceResult.Answered(response.code(), response.body().string()));
            } catch (IOException e) {
              result.complete(new ServiceResult.AnswerLost(String.valueOf(e.getMessage())));
            }
          }
        });
    return result;
  }

  @Override
  public CompletableFuture<LookupResult> lookup(
      String targetAddress, String service, String key, long timeoutMs) {
    Request request = new Request.Builder().url(urlOf(targetAddress, service, "keys", key)).build();
    CompletableFuture<LookupResult> result = new CompletableFuture<>();
    Call call = client.newCall(request);
    call.timeout().timeout(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            result.complete(new LookupResult.Unavailable(String.valueOf(e.getMessage())));
          }

          @Override
          public void onResponse(Call answered, Response response) {
            try (response) {
              result.complete(toLookup(response));
            } catch (IOException e) {
              result.complete(new LookupResult.Unavailable(String.valueOf(e.getMessage())));
            }
          }
        });
    return result;
  }

  private static LookupResult toLookup(Response response) throws IOException {
    if (response.code() == HTTP_NOT_FOUND) {
      return new LookupResult.NeverSeen();
    }
    if (!response.isSuccessful()) {
      return new LookupResult.Unavailable("the service answered " + response.code());
    }
    return new LookupResult.RanWith(
        new ServiceResult.Answered(response.code(), response.body().string()));
  }

  private static HttpUrl urlOf(String address, String service, String... segments) {
    HttpUrl.Builder url =
        HttpUrl.get(address).newBuilder().addPathSegment("services").addPathSegment(service);
    for (String segment : segments) {
      url.addPathSegment(segment);
    }
    return url.build();
  }
}
