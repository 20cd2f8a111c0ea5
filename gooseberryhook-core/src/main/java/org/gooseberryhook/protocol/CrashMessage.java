package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Messages between entry nodes about requests that crash targets. Times are sent as ages, because
 * clocks of different nodes are never compared. Every message may be merged repeatedly and in any
 * order.
 *
 * @since 0.1
 */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * Carries crash marks. A node broadcasts the marks of a crash that it observed, and repeats all
   * its marks to one random node at a time, so that a node that missed some receives them.
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
   * Carries cancellations of marks. A node broadcasts one when a marked request completes or an
   * operator clears it, and repeats all of them together with its marks.
   *
   * @param clears the cancellations
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
   * Records that a target crashed while a request was in flight on it.
   *
   * @param fingerprint hash of the request's workspace, model and prompt
   * @param eventId id of the crash; the same for all requests in flight and all observers
   * @param isShared whether several requests were in flight, so that another one may have caused
   *     the crash
   * @param ageMs time since the crash in milliseconds
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Mark(long fingerprint, String eventId, boolean isShared, long ageMs) {}

  /**
   * Cancels marks of one request.
   *
   * @param fingerprint hash of the request's workspace, model and prompt
   * @param clearId unique id of this cancellation
   * @param eventIds crashes whose marks no longer count
   * @param isAll whether the marks of all crashes older than this cancellation are cancelled as
   *     well; true if an operator cleared the request, false if it completed
   * @param ageMs time since the cancellation in milliseconds
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Clear(long fingerprint, String clearId, List<String> eventIds, boolean isAll, long ageMs) {

    /** Creates a cancellation; the list is copied. */
    public Clear {
      eventIds = List.copyOf(eventIds);
    }
  }
}
