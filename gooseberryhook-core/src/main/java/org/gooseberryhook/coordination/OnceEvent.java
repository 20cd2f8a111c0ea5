package org.gooseberryhook.coordination;

import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.ServiceResult;

/**
 * An event that the owner passes to a {@link OnceCall}. Every {@link OnceDecision} except
 * ReturnResult leads to one event.
 *
 * @since 0.1
 */
public sealed interface OnceEvent {

  /**
   * A record read from the table service.
   *
   * @param record the record
   * @param version its version
   * @param ageMs wall-clock age of the claim in milliseconds, used only to report running or
   *     unknown
   * @since 0.1
   */
  record Stored(OnceRecord record, long version, long ageMs) {}

  /**
   * Starts the call.
   *
   * @since 0.1
   */
  record Start() implements OnceEvent {}

  /**
   * Starts a query for the outcome of a key, without a call; replaces {@link Start}.
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
   * The claim or outcome was not written because the record has another version.
   *
   * @param current the current record; null if there is none
   * @since 0.1
   */
  record Conflict(Stored current) implements OnceEvent {}

  /**
   * The write was refused and is certain to have no effect, now or later.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record NotApplied(String reason) implements OnceEvent {}

  /**
   * The response to the write was lost; the write may take effect now or later.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record WriteUnknown(String reason) implements OnceEvent {}

  /**
   * The record was read.
   *
   * @param current the current record; null if there is none
   * @since 0.1
   */
  record RecordRead(Stored current) implements OnceEvent {}

  /**
   * The record could not be read.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record ReadFailed(String reason) implements OnceEvent {}

  /**
   * The dispatch ended.
   *
   * @param result the response, or why there is none
   * @since 0.1
   */
  record Dispatched(ServiceResult result) implements OnceEvent {}

  /**
   * The key was looked up in the service.
   *
   * @param result the result of the lookup
   * @since 0.1
   */
  record LookedUp(LookupResult result) implements OnceEvent {}

  /**
   * Time has passed. Reported at the deadline and at the time of each {@link
   * OnceDecision.WaitUntil}.
   *
   * @since 0.1
   */
  record Tick() implements OnceEvent {}
}
