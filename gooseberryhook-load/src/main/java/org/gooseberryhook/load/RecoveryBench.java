package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.TokenFunction;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;

/**
 * Measures the time from a failure to the caller's next token, in milliseconds. Stages crash or
 * hang, and entry nodes that serve a caller stop. Every response is checked token by token.
 *
 * @since 0.1
 */
public final class RecoveryBench {

  private static final String MODEL_ID = "drafting";
  private static final String VERSION = "v1";
  private static final String WORKSPACE = "recovery";
  private static final String KEY = "recovery-key";
  private static final int NODE_COUNT = 9;
  private static final int STAGE_COUNT = 4;
  private static final int PIPELINE_COUNT = 30;
  private static final int LAYER_COUNT = 32;
  private static final int MAX_RUNNING = 32;
  private static final long STEP_MICROS = 45_000;
  private static final long PREFILL_MICROS_PER_TOKEN = 200;
  private static final int TOKENS = 24;
  private static final int FAIL_AFTER_TOKENS = 10;
  private static final long SETTLE_MS = 4_000;
  private static final long RESUME_PAUSE_MS = 5;
  private static final long REVIVE_MS = 3_000;
  private static final double RATE = 200;
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final int DIGITS = 3;
  private static final MediaType JSON = MediaType.get("application/json");
  private static final String PROMPT = "Assess the site of the clinic at Otjikango. ".repeat(50);

  private enum Failure {
    STAGE_CRASH,
    STAGE_HANG,
    NODE_CRASH
  }

  @Parameter(names = "--stage-deaths", description = "Stages to kill")
  private int stageDeaths = 60;

  @Parameter(names = "--stage-hangs", description = "Stages to hang")
  private int stageHangs = 30;

  @Parameter(names = "--node-deaths", description = "Entry nodes to stop")
  private int nodeDeaths = 10;

  @Parameter(names = "--parallel", description = "Concurrent streams that lose a stage")
  private int parallel = 2;

  @Parameter(names = "--base-port", description = "First port of the nodes; 0 for free ones")
  private int basePort;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  private final OkHttpClient client = new OkHttpClient();
  private final AtomicInteger streamCount = new AtomicInteger();
  private final Map<String, Integer> refusals = new ConcurrentHashMap<>();
  private final AtomicInteger wrongResponses = new AtomicInteger();
  private LocalCluster cluster;

  private RecoveryBench() {}

  /**
   * Runs the measurement and prints the report; the exit status is 1 if a response was wrong or
   * incomplete.
   *
   * @param args see {@code --help}
   * @throws IOException if the cluster does not become ready
   * @throws InterruptedException if the process is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    RecoveryBench bench = new RecoveryBench();
    JCommander commander =
        JCommander.newBuilder().programName("RecoveryBench").addObject(bench).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(2);
    }
    if (bench.isHelp) {
      commander.usage();
      return;
    }
    System.exit(bench.run());
  }

  private int run() throws IOException, InterruptedException {
    cluster = new LocalCluster(newLayout(), basePort);
    try {
      cluster.start();
      TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
      measureStages(Failure.STAGE_CRASH, parallel, "warm-up");
      measureStages(Failure.STAGE_CRASH, stageDeaths, "stage death to next token");
      measureStages(Failure.STAGE_HANG, stageHangs, "stage hang to next token");
      measureNodes();
      refusals.forEach((body, count) -> System.out.println(count + " refusals: " + body));
      System.out.println("wrong or incomplete answers: " + wrongResponses.get());
      return wrongResponses.get() == 0 ? 0 : 1;
    } finally {
      cluster.stop();
    }
  }

  private void measureStages(Failure failure, int count, String name) throws InterruptedException {
    Histogram histogram = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    ExecutorService pool = Executors.newFixedThreadPool(parallel);
    for (int i = 0; i < count; i++) {
      pool.execute(() -> runStream(failure, histogram));
    }
    pool.shutdown();
    pool.awaitTermination(1, TimeUnit.HOURS);
    print(name, histogram);
  }

  private void measureNodes() throws IOException, InterruptedException {
    Histogram histogram = new ConcurrentHistogram(MAX_MICROS, DIGITS);
    for (int i = 0; i < nodeDeaths; i++) {
      runStream(Failure.NODE_CRASH, histogram);
      NodeService added = cluster.addNode();
      LocalCluster.await("the new node to be ready", added::isReady);
      TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    }
    print("node death to next token", histogram);
  }

  private static void print(String name, Histogram histogram) {
    System.out.printf(
        "%s: %d failures, p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, max %.0f ms%n",
        name,
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / 1e3,
        histogram.getValueAtPercentile(90) / 1e3,
        histogram.getValueAtPercentile(99) / 1e3,
        histogram.getMaxValue() / 1e3);
  }

  /** One stream with one failure; the caller resumes it until the response is complete. */
  private final class Stream {
    private final Failure failure;
    private final Histogram histogram;
    private final String requestId = "recovery-" + streamCount.incrementAndGet();
    private final String prompt = requestId + " " + PROMPT;
    private final List<Integer> tokens = new ArrayList<>();
    private NodeService node;
    private long failedNanos;
    private boolean isFailed;

    Stream(Failure failure, Histogram histogram) {
      this.failure = failure;
      this.histogram = histogram;
    }

    void run() throws IOException {
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (tokens.size() < TOKENS && System.nanoTime() - deadlineNanos < 0) {
        node = cluster.getHomeNode(WORKSPACE);
        try {
          read();
        } catch (IOException e) {
          waitBeforeResume();
        }
      }
      List<Integer> expected = TokenFunction.expectedTokens(VERSION, LAYER_COUNT, prompt, TOKENS);
      if (!tokens.equals(expected)) {
        wrongResponses.incrementAndGet();
      }
    }

    private void read() throws IOException {
      try (Response response = client.newCall(newRequest()).execute()) {
        if (!response.isSuccessful()) {
          refusals.merge(response.body().string(), 1, Integer::sum);
          waitBeforeResume();
          return;
        }
        BufferedSource source = response.body().source();
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
          if (line.startsWith("data: {")) {
            onChunk(Json.MAPPER.readTree(line.substring("data: ".length())));
          }
        }
      }
    }

    private void onChunk(JsonNode chunk) throws IOException {
      if (!chunk.has("token_id")) {
        return;
      }
      tokens.add(chunk.path("token_id").asInt());
      if (isFailed && failedNanos != 0) {
        long micros = (System.nanoTime() - failedNanos) / 1_000;
        histogram.recordValue(Math.min(MAX_MICROS, micros));
        failedNanos = 0;
      }
      if (!isFailed && tokens.size() == FAIL_AFTER_TOKENS) {
        isFailed = true;
        failedNanos = System.nanoTime();
        fail();
      }
    }

    private void fail() throws IOException {
      if (failure == Failure.NODE_CRASH) {
        cluster.removeNode(node);
        node.stop();
        return;
      }
      List<String> targets = cluster.getFleet().getTargetsOf(requestId);
      if (targets.isEmpty()) {
        throw new IOException("request " + requestId + " is not running");
      }
      int stage = Math.floorMod(streamCount.get(), targets.size());
      SimulatedEngine engine = cluster.getFleet().get(targets.get(stage)).orElseThrow();
      if (failure == Failure.STAGE_CRASH) {
        cluster.getFleet().kill(engine);
      } else {
        engine.setHung(true);
      }
      reviveLater(engine);
    }

    private Request newRequest() throws IOException {
      Map<String, Object> body =
          Map.of(
              "model",
              MODEL_ID,
              "prompt",
              prompt,
              "max_tokens",
              TOKENS,
              "stream",
              true,
              "resume_token_ids",
              tokens);
      return new Request.Builder()
          .url("http://" + node.getSettings().node().callerAddress() + "/v1/completions")
          .header("Authorization", "Bearer " + KEY)
          .header("X-Request-Id", requestId)
          .post(RequestBody.create(Json.MAPPER.writeValueAsBytes(body), JSON))
          .build();
    }
  }

  private void runStream(Failure failure, Histogram histogram) {
    try {
      new Stream(failure, histogram).run();
    } catch (IOException | RuntimeException e) {
      System.out.println("stream failed: " + e);
      wrongResponses.incrementAndGet();
    }
  }

  private static void reviveLater(SimulatedEngine engine) {
    Thread thread =
        new Thread(
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(REVIVE_MS);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              engine.setDead(false);
              engine.setHung(false);
            },
            "revive");
    thread.setDaemon(true);
    thread.start();
  }

  private static void waitBeforeResume() {
    try {
      TimeUnit.MILLISECONDS.sleep(RESUME_PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static LocalLayout newLayout() {
    Contract contract =
        new Contract(
            WORKSPACE,
            PriorityClass.INTERACTIVE,
            RATE,
            2 * RATE,
            1_000 * RATE,
            2_000 * RATE,
            (int) (10 * RATE),
            Set.of(MODEL_ID),
            Set.of("booking"),
            370,
            53,
            100,
            60_000,
            List.of(CallerKeys.digestOf(KEY)));
    return new LocalLayout(
        "khomas",
        List.of("khomas-a", "khomas-b", "khomas-c"),
        NODE_COUNT,
        MODEL_ID,
        VERSION,
        LAYER_COUNT,
        STAGE_COUNT,
        PIPELINE_COUNT,
        MAX_RUNNING,
        STEP_MICROS,
        PREFILL_MICROS_PER_TOKEN,
        "booking",
        "book",
        3,
        List.of(contract),
        SETTLE_MS);
  }
}
