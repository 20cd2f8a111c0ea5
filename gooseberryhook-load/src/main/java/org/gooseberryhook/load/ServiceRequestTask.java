package org.gooseberryhook.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import okhttp3.Request;
import okhttp3.Response;
import org.gooseberryhook.load.EffectCheck.CallState;
import org.gooseberryhook.load.Experiment.ServiceShape;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Outcome;

/**
 * One call of a plain service. A once-only call uses the same idempotency key for all attempts;
 * after a response is lost, it queries the outcome by that key.
 */
final class ServiceRequestTask extends RequestTask {

  private static final int MAX_OUTCOME_QUERIES = 10;
  private static final long OUTCOME_QUERY_INTERVAL_MS = 500;
  private static final int HTTP_ACCEPTED = 202;

  private final ServiceShape shape;
  private final String key;

  /** Whether an earlier attempt may have run; a later {@code not-run} says nothing about it. */
  private boolean isAmbiguous;

  private boolean isQueryingOutcome;
  private int outcomeQueries;

  ServiceRequestTask(CallContext context, PlannedRequest planned, ServiceShape shape) {
    super(context, planned);
    this.shape = shape;
    this.key = context.idOf(planned);
    if (shape.isOnce()) {
      context.onceCalls.put(key, CallState.UNKNOWN);
    }
  }

  @Override
  void attempt(String address) throws IOException {
    if (isQueryingOutcome) {
      queryOutcome(address);
      return;
    }
    Request.Builder request =
        newRequest(
            address,
            "/v1/services/" + shape.service() + "/" + shape.operation(),
            shape.body().getBytes(StandardCharsets.UTF_8));
    if (shape.isOnce()) {
      request.header("Idempotency-Key", key);
    }
    try (Response response = context.getClient(false).newCall(request.build()).execute()) {
      if (response.code() == HTTP_ACCEPTED) {
        response.body().bytes();
        scheduleOutcomeQuery();
      } else if (response.isSuccessful()) {
        response.body().bytes();
        completeAs(CallState.RAN);
      } else {
        onProblem(address, ReportedProblem.of(response));
      }
    }
  }

  @Override
  void onBroken(String address, boolean mayHaveRun) {
    isAmbiguous |= mayHaveRun && !isQueryingOutcome;
    super.onBroken(address, mayHaveRun);
  }

  private void onProblem(String address, ReportedProblem problem) {
    countProblem(problem);
    if (problem.kind().equals("not-ready")) {
      resendToNextAddress(address);
    } else if (problem.outcome() == Outcome.RAN && shape.isOnce()) {
      completeAs(CallState.RAN);
    } else if (problem.outcome() != Outcome.NOT_RUN && shape.isOnce()) {
      scheduleOutcomeQuery();
    } else if (!repeatIfAllowed(problem)) {
      failAsNotRun();
    }
  }

  /** Schedules a query for the outcome of a call that may have run. */
  private void scheduleOutcomeQuery() {
    isAmbiguous = true;
    isQueryingOutcome = true;
    context.submitAfter(this, OUTCOME_QUERY_INTERVAL_MS);
  }

  private void queryOutcome(String address) throws IOException {
    Request request =
        newRequest(address, "/v1/outcomes/" + key + "?service=" + shape.service(), new byte[0])
            .get()
            .build();
    Outcome outcome = Outcome.UNKNOWN;
    try (Response response = context.getClient(false).newCall(request).execute()) {
      byte[] body = response.body().bytes();
      if (response.isSuccessful()) {
        outcome = ReportedProblem.outcomeOf(Json.MAPPER.readTree(body).path("outcome").asText());
      }
    }
    outcomeQueries++;
    if (outcome == Outcome.RAN) {
      completeAs(CallState.RAN);
    } else if (outcome == Outcome.NOT_RUN || outcomeQueries >= MAX_OUTCOME_QUERIES) {
      fail(null);
    } else {
      context.submitAfter(this, OUTCOME_QUERY_INTERVAL_MS);
    }
  }

  private void completeAs(CallState state) {
    if (shape.isOnce()) {
      context.onceCalls.put(key, state);
    }
    measurements.onUsefulWork(planned, 1, System.nanoTime());
    complete();
  }

  private void failAsNotRun() {
    if (shape.isOnce() && !isAmbiguous) {
      context.onceCalls.put(key, CallState.NOT_RUN);
    }
    fail(null);
  }
}
