package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.standin.TokenFunction;
import org.junit.jupiter.api.Test;

/** Calls a small cluster over real sockets while stages crash. */
class StageDeathTest {

  private static final int STREAM_COUNT = 40;
  private static final int RESPONSE_TOKENS = 200;
  private static final MediaType JSON = MediaType.get("application/json");

  /** Guards against a deadlock between requests that lose the same stage at the same time. */
  @Test
  void allStreamsOfAPipelineSurviveTheDeathOfItsStages() throws Exception {
    TinyCluster cluster = new TinyCluster();
    ExecutorService callers = Executors.newFixedThreadPool(STREAM_COUNT);
    OkHttpClient client = new OkHttpClient.Builder().callTimeout(30, TimeUnit.SECONDS).build();
    try {
      List<CompletableFuture<List<Integer>>> responses = new ArrayList<>();
      for (int i = 0; i < STREAM_COUNT; i++) {
        String address = cluster.getAddresses().get(i % 2);
        int number = i;
        responses.add(CompletableFuture.supplyAsync(() -> call(client, address, number), callers));
      }
      Thread.sleep(150);
      cluster.kill("t0-0");
      cluster.kill("t1-0");
      for (int i = 0; i < STREAM_COUNT; i++) {
        assertThat(responses.get(i).get(40, TimeUnit.SECONDS))
            .isEqualTo(
                TokenFunction.expectedTokens(
                    "v1", TinyCluster.LAYER_COUNT, "prompt " + i, RESPONSE_TOKENS));
      }
    } finally {
      callers.shutdownNow();
      cluster.stop();
    }
  }

  private static List<Integer> call(OkHttpClient client, String address, int number) {
    String requestBody =
        "{\"model\":\"drafting\",\"prompt\":\"prompt %d\",\"max_tokens\":%d}"
            .formatted(number, RESPONSE_TOKENS);
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/completions")
            .header("Authorization", "Bearer " + TinyCluster.KEY)
            .post(RequestBody.create(requestBody, JSON))
            .build();
    try (Response response = client.newCall(request).execute()) {
      JsonNode body = Json.MAPPER.readTree(response.body().bytes());
      List<Integer> tokens = new ArrayList<>();
      body.path("token_ids").forEach(token -> tokens.add(token.asInt()));
      assertThat(tokens).as("%d %s", response.code(), body).isNotEmpty();
      return tokens;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
