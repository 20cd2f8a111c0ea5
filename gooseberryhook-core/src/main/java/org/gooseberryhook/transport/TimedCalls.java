package org.gooseberryhook.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/** Makes asynchronous calls that always complete in time and with a value. */
final class TimedCalls {

  private TimedCalls() {}

  /**
   * Makes a call.
   *
   * @param call starts the call
   * @param timeoutMs longest time until the result, in milliseconds
   * @param toFailure returns the result of a call that timed out, threw or completed exceptionally;
   *     it must not claim that the call had no effect
   * @return the result; never completes exceptionally
   */
  static <T> CompletableFuture<T> call(
      Supplier<CompletableFuture<T>> call,
      long timeoutMs,
      Function<String, ? extends T> toFailure) {
    CompletableFuture<T> result;
    try {
      result = call.get();
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    return result
        .copy()
        .completeOnTimeout(
            toFailure.apply("no answer within " + timeoutMs + " ms"),
            timeoutMs,
            TimeUnit.MILLISECONDS)
        .exceptionally(e -> toFailure.apply(e.toString()));
  }
}
