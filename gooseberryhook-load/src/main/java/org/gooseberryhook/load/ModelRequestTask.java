package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.gooseberryhook.load.AnswerCheck.Verdict;
import org.gooseberryhook.load.Experiment.ModelShape;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Outcome;

/**
 * One model call. When its connection breaks, the next attempt sends the tokens received so far and
 * continues after them.
 */
final class ModelRequestTask extends RequestTask {

  private static final String VERSION_HEADER = "X-Model-Version";

  private static final String DATA = "data: ";
  private static final String DONE = "data: [DONE]";
  private static final String ERROR = "event: error";

  private final ModelShape shape;
  private final String prompt;
  private final AnswerCheck check;
  private String modelVersion;
  private long firstTokenNanos;
  private long lastTokenNanos;

  ModelRequestTask(CallContext context, PlannedRequest planned, ModelShape shape) {
    super(context, planned);
    this.shape = shape;
    this.prompt = context.prompts.promptOf(shape, planned.number());
    this.check = new AnswerCheck(context.experiment.model(), prompt, shape.requestedTokens());
  }

  @Override
  void attempt(String address) throws IOException {
    int receivedBefore = check.getTokenIds().size();
    try (Response response =
        context.getClient(shape.isStream()).newCall(newModelRequest(address)).execute()) {
      if (!response.isSuccessful()) {
        onProblem(address, ReportedProblem.of(response), false);
        return;
      }
      modelVersion = response.header(VERSION_HEADER, modelVersion);
      if (shape.isStream()) {
        readStream(address, response.body().source(), receivedBefore);
      } else {
        readNonStreamed(response.body().bytes(), receivedBefore);
      }
    }
  }

  private Request newModelRequest(String address) throws IOException {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("model", context.experiment.model().id());
    body.put("prompt", prompt);
    body.put("max_tokens", shape.requestedTokens());
    body.put("stream", shape.isStream());
    body.put("priority", planned.workspace().priorityClass().name().toLowerCase(Locale.ROOT));
    int received = check.getTokenIds().size();
    if (received > 0) {
      body.put("resume_token_ids", check.getTokenIds());
    }
    Request.Builder request =
        newRequest(address, "/v1/completions", Json.MAPPER.writeValueAsBytes(body));
    if (received > 0) {
      request.header("X-Resume-From", Integer.toString(received));
      if (modelVersion != null) {
        request.header(VERSION_HEADER, modelVersion);
      }
    }
    return request.build();
  }

  private void readStream(String address, BufferedSource source, int receivedBefore)
      throws IOException {
    boolean isError = false;
    boolean isDone = false;
    ReportedProblem problem = null;
    for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
      if (line.equals(DONE)) {
        isDone = true;
      } else if (line.equals(ERROR)) {
        isError = true;
      } else if (line.startsWith(DATA) && isError) {
        byte[] body = line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8);
        problem = ReportedProblem.of(body, "stream-error", 0);
      } else if (line.startsWith(DATA) && !acceptChunk(line.substring(DATA.length()))) {
        return;
      }
    }
    if (problem != null) {
      onProblem(address, problem, check.getTokenIds().size() > receivedBefore);
    } else if (isDone) {
      finish();
    } else {
      onBroken(address, true);
    }
  }

  /** Returns false if the chunk has a wrong token, which ends the request. */
  private boolean acceptChunk(String json) throws IOException {
    JsonNode chunk = Json.MAPPER.readTree(json);
    if (!chunk.has("token_id")) {
      return true;
    }
    Verdict verdict = check.accept(chunk.path("step").asInt(-1), chunk.path("token_id").asInt(-1));
    if (verdict != Verdict.RIGHT) {
      failWith(verdict);
      return false;
    }
    long nowNanos = System.nanoTime();
    if (check.getTokenIds().size() == 1) {
      firstTokenNanos = nowNanos;
      measurements.onFirstToken(planned, nowNanos);
    } else {
      measurements.onGap(planned, nowNanos - lastTokenNanos);
      measurements.onPause(firstTokenNanos, lastTokenNanos, nowNanos);
    }
    lastTokenNanos = nowNanos;
    measurements.onUsefulWork(planned, 1, nowNanos);
    return true;
  }

  private void readNonStreamed(byte[] bytes, int receivedBefore) throws IOException {
    JsonNode body = Json.MAPPER.readTree(bytes);
    int step = body.path("first_step").asInt(0);
    for (JsonNode token : body.path("token_ids")) {
      Verdict verdict = check.accept(step, token.asInt(-1));
      if (verdict != Verdict.RIGHT) {
        failWith(verdict);
        return;
      }
      step++;
    }
    int received = check.getTokenIds().size() - receivedBefore;
    measurements.onUsefulWork(planned, received, System.nanoTime());
    finish();
  }

  private void finish() {
    if (check.isComplete()) {
      complete();
      return;
    }
    failWith(Verdict.MISSING);
  }

  private void failWith(Verdict verdict) {
    measurements.count(
        switch (verdict) {
          case DUPLICATED -> Count.DUPLICATED;
          case MISSING -> Count.INCOMPLETE;
          case WRONG, RIGHT -> Count.WRONG;
        });
    fail("answer-" + verdict.name().toLowerCase(Locale.ROOT));
  }

  private void onProblem(String address, ReportedProblem problem, boolean hasRun) {
    countProblem(problem);
    if (hasRun && problem.outcome() == Outcome.NOT_RUN) {
      measurements.count(Count.FALSE_NOT_RUN);
    }
    // A node that is stopping, or that still holds the broken attempt, advises the caller to use
    // another node.
    boolean isOtherNodeBetter =
        problem.kind().equals("not-ready") || problem.kind().equals("conflict");
    if (isOtherNodeBetter) {
      resendToNextAddress(address);
    } else if (!repeatIfAllowed(problem)) {
      fail(null);
    }
  }

  @Override
  void beforeResend() {
    if (!check.getTokenIds().isEmpty()) {
      measurements.count(Count.RESUMES);
    }
  }

  @Override
  void onFailed() {
    if (firstTokenNanos != 0) {
      measurements.onPause(firstTokenNanos, lastTokenNanos, System.nanoTime());
    }
  }
}
