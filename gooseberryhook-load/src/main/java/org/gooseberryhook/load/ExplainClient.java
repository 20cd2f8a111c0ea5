package org.gooseberryhook.load;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Client of the page on which a router node explains where a request would go. Thread-safe.
 *
 * @since 0.1
 */
public final class ExplainClient {

  private static final int TIMEOUT_SECONDS = 5;
  private static final OkHttpClient CLIENT =
      new OkHttpClient.Builder().callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).build();

  private final HttpUrl page;

  /**
   * Creates a client.
   *
   * @param address {@code ip:port} of the metrics page of a router node
   * @throws IllegalArgumentException if the address is not valid
   */
  public ExplainClient(String address) {
    this.page = HttpUrl.get("http://" + address + "/explain");
  }

  /**
   * Asks for an explanation.
   *
   * @param parameters query parameters of the page by name
   * @return the explanation in the format that the parameters ask for
   * @throws IOException if the node can't be reached within 5 s, or refuses the question
   */
  public String explain(Map<String, String> parameters) throws IOException {
    HttpUrl.Builder url = page.newBuilder();
    parameters.forEach(url::addQueryParameter);
    Request request = new Request.Builder().url(url.build()).build();
    try (Response response = CLIENT.newCall(request).execute()) {
      String body = response.body() == null ? "" : response.body().string();
      if (!response.isSuccessful()) {
        throw new IOException("status " + response.code() + ": " + body.strip());
      }
      return body;
    }
  }
}
