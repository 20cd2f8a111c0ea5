package org.gooseberryhook.coordination;

import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;

/**
 * An action that the owner of a {@link OnceCall} must take.
 *
 * @since 0.1
 */
public sealed interface OnceDecision {

  /**
   * Write the record if it has the expected version, then report Written, Conflict, NotApplied or
   * WriteUnknown.
   *
   * @param expectedVersion version that the record must have; 0 if it must be absent
   * @param record the new record; its state distinguishes a claim from an outcome
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
   * immediately before it sends, and reports NotSent if {@code notAfterNanos} has passed.
   *
   * @param notAfterNanos latest time to start sending, on this node's monotonic clock
   * @param deadlineNanos deadline of the response, on the same clock
   * @since 0.1
   */
  record Dispatch(long notAfterNanos, long deadlineNanos) implements OnceDecision {}

  /**
   * Look the key up in the service, then report LookedUp.
   *
   * @since 0.1
   */
  record Lookup() implements OnceDecision {}

  /**
   * Return the result to the caller; decided once for each call.
   *
   * @param result the result
   * @since 0.1
   */
  record ReturnResult(OnceResult result) implements OnceDecision {}

  /**
   * Report Tick at this time. The call continues in the background if its result was already
   * returned.
   *
   * @param nanos time on this node's monotonic clock
   * @since 0.1
   */
  record WaitUntil(long nanos) implements OnceDecision {}
}
