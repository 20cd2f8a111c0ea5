package org.gooseberryhook.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.Json;

/**
 * Starts streams at a constant rate and measures the time to the first token and the gaps between
 * tokens. Token contents are not checked.
 */
final class RelayLoad {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final String PROMPT = "Quote a ramp with a rise of 300 mm. ".repeat(20);
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final int DIGITS = 3;
  private static final long DEADLINE_MS = TimeUnit.MINUTES.toMillis(1);
  private static final double WARM_UP_SHARE = 0.5;

  private final String url;
  private final boolean isDirect;
  private final int requestsPerSecond;
  private final int tokens;
  private final int stepMs;
  private final int seconds;
  private final Histogram firstTokens = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final Histogram gaps = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final LongAdder completed = new LongAdder();
  private final LongAdder failed = new LongAdder();
  private final LongAdder received = new LongAdder();
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .connectionPool(new ConnectionPool(8_000, 1, TimeUnit.MINUTES))
          .readTimeout(Duration.ofMinutes(1))
          .build();

  RelayLoad(
      String url, boolean isDirect, int requestsPerSecond, int tokens, int stepMs, int seconds) {
    this.url = url;
    this.isDirect = isDirect;
    this.requestsPerSecond = requestsPerSecond;
    this.tokens = tokens;
    this.stepMs = stepMs;
    this.seconds = seconds;
  }

  /** Runs the load and returns the report. */
  String run() throws InterruptedException {
    long startNanos = System.nanoTime();
    long count = (long) requestsPerSecond * seconds;
    long warmUp = (long) (count * WARM_UP_SHARE);
    long receivedBefore = 0;
    long measuredNanos = startNanos;
    for (long number = 0; number < count; number++) {
      long dueNanos = startNanos + number * TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
      while (dueNanos - System.nanoTime() > 0) {
        LockSupport.parkNanos(dueNanos - System.nanoTime());
      }
      if (number == warmUp) {
        receivedBefore = received.sum();
        measuredNanos = System.nanoTime();
      }
      long id = number;
      pool.execute(() -> stream(id, dueNanos, id >= warmUp));
    }
    double measuredSeconds = (System.nanoTime() - measuredNanos) / 1e9;
    long measured = received.sum() - receivedBefore;
    pool.shutdown();
    pool.awaitTermination(1, TimeUnit.MINUTES);
    client.connectionPool().evictAll();
    client.dispatcher().executorService().shutdown();
    return String.format(
        Locale.ROOT,
        "%s: %.0f tokens/s, %.0f streams expected at a time, %d complete, %d failed%n"
            + "first token ms p50 %.1f p95 %.1f p99 %.1f%ntoken gap ms p50 %.1f p95 %.1f p99 %.1f"
            + " p99.9 %.1f%n",
        isDirect ? "direct" : "through the node",
        measured / measuredSeconds,
        requestsPerSecond * tokens * stepMs / 1e3,
        completed.sum(),
        failed.sum(),
        ms(firstTokens, 50),
        ms(firstTokens, 95),
        ms(firstTokens, 99),
        ms(gaps, 50),
        ms(gaps, 95),
        ms(gaps, 99),
        ms(gaps, 99.9));
  }

  private static double ms(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1e3;
  }

  private void stream(long number, long dueNanos, boolean isMeasured) {
    int tokenCount = 0;
    try (Response response = client.newCall(newRequest(number)).execute()) {
      BufferedSource source = response.body().source();
      long lastNanos = dueNanos;
      while (response.isSuccessful() && tokenCount < tokens) {
        String line = source.readUtf8Line();
        if (line == null) {
          break;
        }
        boolean isToken = line.startsWith(isDirect ? "{" : "data: {");
        if (!isToken) {
          continue;
        }
        long nowNanos = System.nanoTime();
        if (isMeasured) {
          Histogram histogram = tokenCount == 0 ? firstTokens : gaps;
          histogram.recordValue(Math.min(MAX_MICROS, (nowNanos - lastNanos) / 1_000));
        }
        lastNanos = nowNanos;
        tokenCount++;
        received.increment();
      }
      // Reads the rest of the body too, so that the connection can be reused.
      response.body().source().skip(Long.MAX_VALUE);
    } catch (IOException e) {
      // The skip above ends with an exception at the end of the body; short streams are counted
      // below.
      tokenCount += 0;
    }
    (tokenCount == tokens ? completed : failed).increment();
  }

  private Request newRequest(long number) throws JsonProcessingException {
    String prompt = PROMPT + number;
    if (!isDirect) {
      Map<String, Object> body =
          Map.of(
              "model", RelayBench.MODEL_ID, "prompt", prompt, "max_tokens", tokens, "stream", true);
      return new Request.Builder()
          .url(url)
          .header("Authorization", "Bearer " + RelayBench.CALLER_KEY)
          .header("X-Request-Timeout-Ms", Long.toString(DEADLINE_MS))
          .post(RequestBody.create(Json.MAPPER.writeValueAsBytes(body), JSON))
          .build();
    }
    int pipeline = (int) (number % RelayBench.PIPELINE_COUNT);
    int perStage = RelayBench.LAYER_COUNT / RelayBench.STAGE_COUNT;
    List<EngineStart.Stage> stages = new ArrayList<>();
    for (int stage = 0; stage < RelayBench.STAGE_COUNT; stage++) {
      String id = RelayBench.targetId(pipeline, stage);
      stages.add(
          new EngineStart.Stage(
              id, url + "/targets/" + id, stage * perStage, (stage + 1) * perStage));
    }
    EngineStart start =
        new EngineStart(
            "relay-" + number,
            1,
            RelayBench.MODEL_ID,
            RelayBench.MODEL_VERSION,
            RelayBench.LAYER_COUNT,
            prompt,
            tokens,
            List.of(),
            0,
            DEADLINE_MS,
            stages);
    return new Request.Builder()
        .url(stages.get(0).address() + "/v1/chains")
        .post(RequestBody.create(Json.MAPPER.writeValueAsBytes(start), JSON))
        .build();
  }
}
