package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.jboss.logging.Logger;

/**
 * Sends problems as HTTP responses.
 *
 * @since 0.1
 */
final class Problems {

  /** Content type of a problem. */
  static final String CONTENT_TYPE = "application/problem+json";

  private static final Logger LOG = Logger.getLogger(Problems.class);
  private static final long MS_PER_SECOND = 1_000;

  private Problems() {}

  /**
   * Sends a problem as {@code application/problem+json}, with {@code Retry-After} in whole seconds,
   * rounded up, if a retry may succeed.
   *
   * @param context the exchange; nothing is sent if its response has started
   * @param problem the problem
   * @return the exchange
   */
  static Context send(Context context, Problem problem) {
    if (context.isResponseStarted()) {
      return context;
    }
    context.setResponseCode(problem.kind().getHttpStatus());
    context.setResponseType(MediaType.valueOf(CONTENT_TYPE));
    if (problem.retryAfterMs() > 0) {
      long seconds = Math.max(1, (problem.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
      context.setResponseHeader("Retry-After", Long.toString(seconds));
      if (problem.kind() == ProblemKind.LIMITED) {
        context.setResponseHeader("RateLimit-Remaining", "0");
        context.setResponseHeader("RateLimit-Reset", Long.toString(seconds));
      }
    }
    try {
      return context.send(Json.MAPPER.writeValueAsBytes(problem.toBody()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the problem response can't be written as JSON", e);
    }
  }

  /**
   * Sends the problem for an exception of a handler; unexpected exceptions are logged.
   *
   * @param context the exchange
   * @param cause what the handler threw
   * @param status the HTTP status that the server chose for it
   */
  static void sendError(Context context, Throwable cause, StatusCode status) {
    ProblemKind kind =
        switch (status.value()) {
          case 400 -> ProblemKind.BAD_REQUEST;
          case 404, 405 -> ProblemKind.NOT_FOUND;
          case 413 -> ProblemKind.TOO_LARGE;
          default -> ProblemKind.INTERNAL;
        };
    String exchange = context.getMethod() + " " + context.getRequestPath();
    if (kind == ProblemKind.INTERNAL) {
      LOG.errorf(cause, "the handler of %s failed", exchange);
      send(context, new Problem(kind, "the node failed to handle it", Outcome.UNKNOWN, 0));
      return;
    }
    String detail = cause.getMessage() == null ? status.reason() : cause.getMessage();
    send(context, Problem.of(kind, exchange + ": " + detail));
  }
}
