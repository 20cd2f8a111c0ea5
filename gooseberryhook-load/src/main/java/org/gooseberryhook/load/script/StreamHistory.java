package org.gooseberryhook.load.script;

import java.util.List;

/**
 * What the caller of a stream saw, over all requests that it sent for the stream.
 *
 * @param isResumable whether the route of the stream allows it to be resumed
 * @param tokenCount number of tokens of the whole stream
 * @param responses responses in the order of the requests
 */
public record StreamHistory(boolean isResumable, int tokenCount, List<Response> responses) {

  /** Creates a history. */
  public StreamHistory {
    responses = List.copyOf(responses);
  }

  /**
   * Response to one request of the caller.
   *
   * @param resumedAfter last event id that the request named, 0 if it named none
   * @param status status, 0 if there was no response
   * @param isSigned whether the response had the signature of a target
   * @param events events that the caller read, in order
   * @param unreadable number of events that were not whole events of a target
   * @param isComplete whether the response ended as complete
   */
  public record Response(
      int resumedAfter,
      int status,
      boolean isSigned,
      List<StreamEvent> events,
      int unreadable,
      boolean isComplete) {

    /** Creates a response. */
    public Response {
      events = List.copyOf(events);
    }

    /** Returns the last token that the caller has after this response. */
    public int lastToken() {
      return events.isEmpty() ? resumedAfter : events.get(events.size() - 1).lastToken();
    }
  }
}
