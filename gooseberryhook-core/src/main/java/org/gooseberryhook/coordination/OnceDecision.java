package org.gooseberryhook.coordination;

import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;

/**
 * What the owner of a {@link OnceCall} must do next.
 *
 * @since 0.1
 */
public sealed interface OnceDecision {

  /**
   * Write the record under the condition, then report Written, Conflict, NotApplied or
   * WriteUnknown.
   *
   * @param expectedVersion version that the record must have; 0 if it must be absent
   * @param record the new record; its state tells a claim from an outcome
   * @since 0.1
   */
  record Write(long expectedVersion, OnceRecord record) implements OnceDecision {}

  /**
   * Read the record, then report RecordRead or ReadFailed.
   *
   * @since 0.1
   */
  record Read() implements OnceDecision {}

  /**
   * Send the call to the service once, then report Dispatched. The owner checks the time again
   * right before sending and reports NotSent if it has passed.
   *
   * @param notAfterNanos last time to start sending, on this node's monotonic clock
   * @param deadlineNanos deadline of the answer, on the same clock
   * @since 0.1
   */
  record Dispatch(long notAfterNanos, long deadlineNanos) implements OnceDecision {}

  /**
   * Ask the service for the key, then report LookedUp.
   *
   * @since 0.1
   */
  record Lookup() implements OnceDecision {}

  /**
   * Give the caller its answer; decided once for each call.
   *
   * @param result the answer
   * @since 0.1
   */
  record ReturnResult(OnceResult result) implements OnceDecision {}

  /**
   * Report Tick at this time; the call is in the background if it has been answered.
   *
   * @param nanos time on this node's monotonic clock
   * @since 0.1
   */
  record WaitUntil(long nanos) implements OnceDecision {}
}
