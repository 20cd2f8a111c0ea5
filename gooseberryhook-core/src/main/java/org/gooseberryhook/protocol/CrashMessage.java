package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Messages about requests that crash targets. Times travel as ages, because clocks of different
 * nodes are never compared. Every message may be merged repeatedly and in any order.
 *
 * @since 0.1
 */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * Crash marks known to the sender.
   *
   * @param marks the marks
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record CrashMarks(List<Mark> marks) implements CrashMessage {

    /** Creates a message; the list is copied. */
    public CrashMarks {
      marks = List.copyOf(marks);
    }
  }

  /**
   * Marks that no longer count.
   *
   * @param clears the clears
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record CrashClears(List<Clear> clears) implements CrashMessage {

    /** Creates a message; the list is copied. */
    public CrashClears {
      clears = List.copyOf(clears);
    }
  }

  /**
   * One crash of a target while a request was in flight on it.
   *
   * @param fingerprint the request
   * @param eventId the crash; the same for every request and observer that it concerns
   * @param isShared whether several requests were in flight, so that this one may be innocent
   * @param ageMs time since the crash in milliseconds
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Mark(long fingerprint, String eventId, boolean isShared, long ageMs) {}

  /**
   * Cancels marks of one request.
   *
   * @param fingerprint the request
   * @param clearId unique id of the clear
   * @param eventIds crashes that no longer count
   * @param isAll whether every crash before the clear is cancelled, as an operator orders it
   * @param ageMs time since the clear in milliseconds
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Clear(long fingerprint, String clearId, List<String> eventIds, boolean isAll, long ageMs) {

    /** Creates a clear; the list is copied. */
    public Clear {
      eventIds = List.copyOf(eventIds);
    }
  }
}
