package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a client that repeats a request by itself, so that a write takes effect twice. */
class HttpClientsTest {

  @ParameterizedTest
  @CsvSource({
    "503, Retry-After, 0",
    "503, Retry-After, 00",
    "408, Retry-After, 0",
    "307, Location, /"
  })
  void noResponseMakesTheClientRepeatARequest(int status, String header, String value)
      throws IOException {
    AtomicInteger requests = new AtomicInteger();
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          requests.incrementAndGet();
          exchange.getResponseHeaders().add(header, value);
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    server.start();
    OkHttpClient client = new HttpClients().newClient("test", 1, Duration.ofSeconds(10));
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + server.getAddress().getPort() + "/")
            .post(RequestBody.create(new byte[] {1}))
            .build();
    try (Response response = client.newCall(request).execute()) {
      assertThat(response.code()).isEqualTo(status);
    } finally {
      server.stop(0);
    }
    assertThat(requests).hasValue(1);
  }
}
