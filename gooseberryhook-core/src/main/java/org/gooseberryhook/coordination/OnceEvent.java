package org.gooseberryhook.coordination;

import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.ServiceResult;

/**
 * What a {@link OnceCall} is told. Each decision that asks for work is answered by one event.
 *
 * @since 0.1
 */
public sealed interface OnceEvent {

  /**
   * A record as read from the table service.
   *
   * @param record the record
   * @param version its version
   * @param ageMs wall-clock age of the claim in milliseconds, only for reporting
   * @since 0.1
   */
  record Stored(OnceRecord record, long version, long ageMs) {}

  /**
   * The caller's request starts.
   *
   * @since 0.1
   */
  record Start() implements OnceEvent {}

  /**
   * A caller asks for the outcome of a key without calling; takes the place of {@link Start}.
   *
   * @since 0.1
   */
  record Query() implements OnceEvent {}

  /**
   * The claim or outcome was written.
   *
   * @param version new version of the record
   * @since 0.1
   */
  record Written(long version) implements OnceEvent {}

  /**
   * The claim or outcome met another version and was not written.
   *
   * @param current the present record; null if there is none
   * @since 0.1
   */
  record Conflict(Stored current) implements OnceEvent {}

  /**
   * The write was refused; it is proved that it has no effect, now or later.
   *
   * @param reason what happened
   * @since 0.1
   */
  record NotApplied(String reason) implements OnceEvent {}

  /**
   * The answer of the write was lost; it may take effect now or later.
   *
   * @param reason what happened
   * @since 0.1
   */
  record WriteUnknown(String reason) implements OnceEvent {}

  /**
   * The record was read.
   *
   * @param current the present record; null if there is none
   * @since 0.1
   */
  record RecordRead(Stored current) implements OnceEvent {}

  /**
   * The record could not be read.
   *
   * @param reason what happened
   * @since 0.1
   */
  record ReadFailed(String reason) implements OnceEvent {}

  /**
   * The dispatch ended.
   *
   * @param result the answer, or why there is none
   * @since 0.1
   */
  record Dispatched(ServiceResult result) implements OnceEvent {}

  /**
   * The service was asked for the key.
   *
   * @param result what it knows
   * @since 0.1
   */
  record LookedUp(LookupResult result) implements OnceEvent {}

  /**
   * Time has passed; given at the deadline and at the time of each {@link OnceDecision.WaitUntil}.
   *
   * @since 0.1
   */
  record Tick() implements OnceEvent {}
}
