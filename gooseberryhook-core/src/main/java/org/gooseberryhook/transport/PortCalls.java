package org.gooseberryhook.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/** Calls ports so that every call ends in time and with a value. */
final class PortCalls {

  private PortCalls() {}

  /**
   * Makes a call.
   *
   * @param call starts the call
   * @param timeoutMs longest time until the result, in milliseconds
   * @param toLost makes the result of a call that timed out, threw or completed exceptionally; it
   *     must not claim that the call had no effect
   * @return the result; never completes exceptionally
   */
  static <T> CompletableFuture<T> attempt(
      Supplier<CompletableFuture<T>> call, long timeoutMs, Function<String, ? extends T> toLost) {
    CompletableFuture<T> answer;
    try {
      answer = call.get();
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    return answer
        .copy()
        .completeOnTimeout(
            toLost.apply("no answer within " + timeoutMs + " ms"), timeoutMs, TimeUnit.MILLISECONDS)
        .exceptionally(e -> toLost.apply(e.toString()));
  }
}
