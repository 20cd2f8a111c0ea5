package org.gooseberryhook.coordination;

import org.gooseberryhook.state.Pipeline;

/**
 * The result of routing a request.
 *
 * @since 0.1
 */
public sealed interface RouteResult {

  /**
   * The request is registered on a pipeline. The caller must report {@code onFinished} or {@code
   * onFailed} for the attempt, even if it is not sent.
   *
   * @param pipeline the pipeline
   * @param attempt the attempt to report on
   * @since 0.1
   */
  record Chosen(Pipeline pipeline, RoutedAttempt attempt) implements RouteResult {}

  /**
   * No pipeline can take the request now.
   *
   * @param reason why
   * @param retryAfterMs delay before the next try, in milliseconds
   * @since 0.1
   */
  record NoPipeline(Reason reason, long retryAfterMs) implements RouteResult {}

  /**
   * Why no pipeline was chosen.
   *
   * @since 0.1
   */
  enum Reason {
    /** The model version has no pipeline. */
    NONE_COMPOSED,
    /** Every pipeline is excluded by the constraints, is leaving or is out of use. */
    NONE_USABLE,
    /** No pipeline meets the isolation that the constraints require. */
    NONE_ISOLATED,
    /** The slots available to batch requests are used up. */
    BATCH_SHARE_USED
  }
}
