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
 * A problem reported by a node, in an error response or in an error event of a stream.
 *
 * @param kind the kind; a default such as {@code http-<status>} if the body has none
 * @param outcome outcome of the request; unknown if the body has none
 * @param retryAfterMs delay before a retry, in milliseconds; 0 if the request should not be retried
 * @param detail description of the problem; empty if the body has none
 */
record ReportedProblem(String kind, Outcome outcome, long retryAfterMs, String detail) {

  private static final long MAX_RETRY_AFTER_MS = 600_000;
  private static final Pattern BOUND = Pattern.compile("the bound ([A-Z_]{1,20}) ");

  /** Returns the name used in reports; exceeded limits are counted by the bound in the detail. */
  String label() {
    Matcher bound = BOUND.matcher(detail);
    return kind.equals("limited") && bound.find() ? kind + " " + bound.group(1) : kind;
  }

  static ReportedProblem of(Response response) throws IOException {
    long headerMs = 0;
    try {
      headerMs = TimeUnit.SECONDS.toMillis(Long.parseLong(response.header("Retry-After", "0")));
    } catch (NumberFormatException e) {
      // HTTP also allows a date, but nodes send seconds. The delay in the body is used instead.
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
