package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.MediaType;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Problem;

/**
 * Sends problems over HTTP.
 *
 * @since 0.1
 */
final class Problems {

  private static final long MS_PER_SECOND = 1_000;

  private Problems() {}

  /**
   * Sends a problem as {@code application/problem+json}, with {@code Retry-After} in whole seconds
   * when coming back helps.
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
    context.setResponseType(MediaType.valueOf("application/problem+json"));
    if (problem.retryAfterMs() > 0) {
      long seconds = Math.max(1, (problem.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND);
      context.setResponseHeader("Retry-After", Long.toString(seconds));
    }
    try {
      return context.send(Json.MAPPER.writeValueAsBytes(problem.toBody()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the problem can't be written as JSON", e);
    }
  }
}
