package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.gooseberryhook.load.LocalCluster;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.standin.TokenFunction;

/** Runs entry nodes and stand-ins in one JVM. */
@Parameters(commandDescription = "Run entry nodes and stand-ins in one JVM on loopback")
final class DemoCommand implements Command {

  private static final int ANSWER_TOKENS = 40;
  private static final MediaType JSON = MediaType.get("application/json");

  @Parameter(names = "--once", description = "Serve a mixed sample, print what it proved, and exit")
  private boolean isOnce;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  private final OkHttpClient client = new OkHttpClient();
  private boolean isFailed;

  @Override
  public boolean isHelp() {
    return isHelp;
  }

  @Override
  public int run() {
    LocalCluster cluster = new LocalCluster(DemoLayout.get());
    try {
      cluster.start();
      if (isOnce) {
        runSample(cluster);
        System.out.println(isFailed ? "demo: FAILED" : "demo: all checks passed");
        return isFailed ? 1 : 0;
      }
      printCurlLines(cluster);
      new CountDownLatch(1).await();
      return 0;
    } catch (IOException e) {
      System.err.println("demo: " + e.getMessage());
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } finally {
      cluster.stop();
    }
  }

  private void runSample(LocalCluster cluster) throws IOException {
    String prompt = "Quote a ramp with a rise of 300 mm for the clinic at Otjikango.";
    List<Integer> expected =
        TokenFunction.answerTo(
            DemoLayout.MODEL_VERSION, DemoLayout.LAYER_COUNT, prompt, ANSWER_TOKENS);
    List<Integer> whole = callWhole(cluster.getCallerAddresses().get(0), prompt);
    report(
        "whole answer equals the model's function, so each layer ran once in order",
        whole.equals(expected));
    List<Integer> streamed = callStream(cluster, 1, prompt, List.of(), -1, ANSWER_TOKENS);
    report("streamed answer at a second node is the same", streamed.equals(expected));
    List<Integer> repaired = callStream(cluster, 0, prompt, List.of(), 10, ANSWER_TOKENS);
    report(
        "a stage died after 10 tokens; no token was lost, repeated or changed",
        repaired.equals(expected));
    List<Integer> received = callStream(cluster, 0, prompt, List.of(), -1, 15);
    cluster.getNodes().get(0).stop();
    List<Integer> resumed = new ArrayList<>(received);
    resumed.addAll(callStream(cluster, 2, prompt, received, -1, ANSWER_TOKENS));
    report(
        "the node died after 15 tokens; another node resumed the stream", resumed.equals(expected));
  }

  private void report(String claim, boolean isHolding) {
    System.out.println((isHolding ? "ok    " : "FAIL  ") + claim);
    isFailed |= !isHolding;
  }

  private List<Integer> callWhole(String address, String prompt) throws IOException {
    try (Response response = client.newCall(request(address, prompt, false, List.of())).execute()) {
      JsonNode body = Json.MAPPER.readTree(response.body().bytes());
      if (!response.isSuccessful()) {
        System.out.println("      answered " + response.code() + ": " + body);
      }
      List<Integer> tokens = new ArrayList<>();
      body.path("token_ids").forEach(token -> tokens.add(token.asInt()));
      return tokens;
    }
  }

  /** Reads a stream; kills a stage that runs it after some tokens, or stops reading early. */
  private List<Integer> callStream(
      LocalCluster cluster,
      int node,
      String prompt,
      List<Integer> resumed,
      int killAfterTokens,
      int maxRead)
      throws IOException {
    Request request = request(cluster.getCallerAddresses().get(node), prompt, true, resumed);
    List<Integer> tokens = new ArrayList<>();
    try (Response response = client.newCall(request).execute()) {
      BufferedSource source = response.body().source();
      String line = source.readUtf8Line();
      while (line != null && !line.equals("data: [DONE]") && tokens.size() < maxRead) {
        if (line.startsWith("data: {")) {
          JsonNode chunk = Json.MAPPER.readTree(line.substring("data: ".length()));
          if (chunk.has("token_id")) {
            tokens.add(chunk.path("token_id").asInt());
          }
          if (tokens.size() == killAfterTokens) {
            killBusyStage(cluster);
          }
        }
        line = source.readUtf8Line();
      }
    }
    return tokens;
  }

  private static void killBusyStage(LocalCluster cluster) {
    cluster.getFleet().getAll().stream()
        .filter(engine -> engine.getRunningCount() > 0)
        .findFirst()
        .ifPresent(engine -> cluster.getFleet().kill(engine));
  }

  private static Request request(
      String address, String prompt, boolean isStream, List<Integer> resumed) throws IOException {
    Map<String, Object> body =
        Map.of(
            "model", DemoLayout.MODEL_ID,
            "prompt", prompt,
            "max_tokens", ANSWER_TOKENS,
            "stream", isStream,
            "resume_token_ids", resumed);
    return new Request.Builder()
        .url("http://" + address + "/v1/completions")
        .header("Authorization", "Bearer " + DemoLayout.CALLER_KEY)
        .post(RequestBody.create(Json.MAPPER.writeValueAsBytes(body), JSON))
        .build();
  }

  private static void printCurlLines(LocalCluster cluster) {
    System.out.println("The demo is up. Try:");
    System.out.printf(
        "curl -N -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \\%n"
            + "  -d '{\"model\":\"%s\",\"prompt\":\"Quote a ramp\",\"max_tokens\":20,"
            + "\"stream\":true}' http://%s/v1/completions%n",
        DemoLayout.CALLER_KEY, DemoLayout.MODEL_ID, cluster.getCallerAddresses().get(0));
    System.out.printf(
        "curl -H 'Authorization: Bearer %s' http://%s/v1/addresses%n",
        DemoLayout.CALLER_KEY, cluster.getCallerAddresses().get(1));
    System.out.println("Press Ctrl-C to stop.");
  }
}
