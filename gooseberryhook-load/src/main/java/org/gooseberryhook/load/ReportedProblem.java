package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.Response;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Outcome;

/**
 * A problem that a node stated.
 *
 * @param kind the kind, or {@code http-<status>} if the body states none
 * @param outcome what became of the request; unknown if the body does not say
 * @param retryAfterMs when to come back, in milliseconds; 0 if coming back does not help
 * @param detail what happened; empty if not stated
 */
record ReportedProblem(String kind, Outcome outcome, long retryAfterMs, String detail) {

  private static final long MAX_RETRY_AFTER_MS = 600_000;
  private static final Pattern BOUND = Pattern.compile("the bound ([A-Z_]{1,20}) ");

  /** Returns the name under which reports count it; a limit is counted by the bound met. */
  String label() {
    Matcher bound = BOUND.matcher(detail);
    return kind.equals("limited") && bound.find() ? kind + " " + bound.group(1) : kind;
  }

  static ReportedProblem of(Response response) throws IOException {
    long headerMs = 0;
    try {
      headerMs = TimeUnit.SECONDS.toMillis(Long.parseLong(response.header("Retry-After", "0")));
    } catch (NumberFormatException e) {
      // A date is allowed here, but nodes send seconds; the time in the body decides then.
      headerMs = 0;
    }
    return of(response.body().bytes(), "http-" + response.code(), headerMs);
  }

  static ReportedProblem of(byte[] body, String defaultKind, long defaultRetryAfterMs) {
    JsonNode json;
    try {
      json = Json.MAPPER.readTree(body);
    } catch (IOException e) {
      return new ReportedProblem(
          defaultKind, Outcome.UNKNOWN, clampRetryAfter(defaultRetryAfterMs), "");
    }
    return new ReportedProblem(
        json.path("title").asText(defaultKind),
        outcomeOf(json.path("outcome").asText()),
        clampRetryAfter(json.path("retry_after_ms").asLong(defaultRetryAfterMs)),
        json.path("detail").asText());
  }

  static Outcome outcomeOf(String text) {
    for (Outcome outcome : Outcome.values()) {
      if (outcome.getText().equals(text)) {
        return outcome;
      }
    }
    return Outcome.UNKNOWN;
  }

  private static long clampRetryAfter(long retryAfterMs) {
    return Math.max(0, Math.min(retryAfterMs, MAX_RETRY_AFTER_MS));
  }
}
