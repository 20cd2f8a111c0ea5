package org.gooseberryhook.protocol;

import java.util.function.Consumer;

/**
 * Port to the model engines.
 *
 * @since 0.1
 */
public interface EngineClient {

  /**
   * Starts an attempt to run a request on a pipeline. Events are delivered in order on one thread
   * of the client's pool; the last one is an end event or an error event. A connection failure is
   * delivered as an error event.
   *
   * @param headAddress base URL of the pipeline's head
   * @param start the start order
   * @param listener receives the events
   * @return a handle that cancels the attempt
   */
  Attempt start(String headAddress, EngineStart start, Consumer<TokenEvent> listener);

  /**
   * A running attempt.
   *
   * @since 0.1
   */
  interface Attempt {

    /** Cancels the attempt at the engine; safe to call more than once. */
    void cancel();
  }
}
