package org.gooseberryhook.coordination;

import org.gooseberryhook.state.Pipeline;

/**
 * Result of routing a request.
 *
 * @since 0.1
 */
public sealed interface RouteResult {

  /**
   * The request is registered on a pipeline. The caller must report {@code onFinished} or {@code
   * onFailed} for the dispatch, also when it is not sent after all.
   *
   * @param pipeline the pipeline
   * @param attempt handle for the reports
   * @since 0.1
   */
  record Chosen(Pipeline pipeline, RoutedAttempt attempt) implements RouteResult {}

  /**
   * No pipeline may take the request now.
   *
   * @param reason why
   * @param retryAfterMs when to try again, in milliseconds
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
    /** The rule excludes every pipeline, or every pipeline is leaving or out of use. */
    NONE_USABLE,
    /** No pipeline fulfils the isolation that the rule asks for. */
    NONE_ISOLATED,
    /** The share of slots open to batch requests is used up. */
    BATCH_SHARE_USED
  }
}
