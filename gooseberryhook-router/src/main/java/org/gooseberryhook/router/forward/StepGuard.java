package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.Consumer;

/**
 * Runs the steps of an exchange that timers and connections call. An unchecked exception ends the
 * exchange: no one else would answer its request.
 */
final class StepGuard {

  private final Consumer<Throwable> onError;

  /**
   * Creates a guard.
   *
   * @param onError ends the exchange; throws nothing
   */
  StepGuard(Consumer<Throwable> onError) {
    this.onError = onError;
  }

  /** Runs a step. */
  void run(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      onError.accept(e);
    }
  }

  /** Returns a guarded step without argument. */
  Runnable wrap(Runnable step) {
    return () -> run(step);
  }

  /** Returns a guarded step with an argument. */
  <T> Consumer<T> wrap(Consumer<T> step) {
    return value -> run(() -> step.accept(value));
  }

  /** Returns a guarded listener. */
  ResponseListener wrap(ResponseListener listener) {
    return new ResponseListener() {
      @Override
      public void onHead(int status, HttpHeaders headers, ResponseMetadata metadata) {
        run(() -> listener.onHead(status, headers, metadata));
      }

      @Override
      public void onContent(ByteBuf content) {
        run(() -> listener.onContent(content));
      }

      @Override
      public void onTrailers(HttpHeaders trailers) {
        run(() -> listener.onTrailers(trailers));
      }

      @Override
      public void onEnd() {
        run(listener::onEnd);
      }

      @Override
      public void onFailure(String reason) {
        run(() -> listener.onFailure(reason));
      }
    };
  }
}
