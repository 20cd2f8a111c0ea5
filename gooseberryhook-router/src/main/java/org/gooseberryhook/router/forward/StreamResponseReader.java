package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Reads the response to one attempt of a stream: events, or the body of an error response. */
abstract class StreamResponseReader implements ResponseListener {

  private static final int STATUS_OK = 200;
  private static final int STATUS_SERVER_ERROR = 500;

  int status;
  HttpHeaders headers;
  ResponseMetadata metadata;
  boolean hasEvents;

  /** Number of events that the caller has got of this response. */
  int eventCount;

  private final EventCheck eventCheck;
  private final EventFramer framer = new EventFramer();
  private final ErrorBody errorBody = new ErrorBody();
  private final BufferReservation memory;

  /**
   * Creates a reader.
   *
   * @param eventCheck decides whether an event may follow those that the caller has received
   * @param bodyMemory memory budget that the buffered part of the response is counted against
   */
  StreamResponseReader(EventCheck eventCheck, BodyMemoryBudget bodyMemory) {
    this.eventCheck = eventCheck;
    this.memory = new BufferReservation(bodyMemory);
  }

  /** Handles a whole event that may be sent to the caller; the reader no longer owns it. */
  abstract void onEvent(ByteBuf event, String id);

  /** Handles the head of an error response. */
  abstract void onErrorHead();

  /** Closes the connection to the target, because the response must not be read any further. */
  abstract void breakOff(String reason);

  @Override
  public void onHead(int newStatus, HttpHeaders newHeaders, ResponseMetadata newMetadata) {
    status = newStatus;
    headers = newHeaders;
    metadata = newMetadata;
    if (!isStream()) {
      onErrorHead();
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    boolean isWithinLimit =
        isStream() ? framer.accept(content, this::checkEvent) : errorBody.accept(content);
    if (!isWithinLimit) {
      breakOff("an event or an error response is larger than 1 MiB");
    } else if (!memory.tryResize(framer.capacityBytes() + errorBody.capacityBytes())) {
      breakOff("an event or an error response exceeds the memory that this node has for streams");
    }
  }

  private void checkEvent(ByteBuf event, String id) {
    Optional<String> objection =
        metadata.isSigned()
            ? eventCheck.objection(id)
            : Optional.of("stream response is not signed by the target");
    if (objection.isPresent()) {
      event.release();
      breakOff(objection.get());
    } else {
      onEvent(event, id);
      hasEvents = true;
      eventCount++;
    }
  }

  /** Gives the memory of the response back, which is not read any further. */
  void releaseMemory() {
    memory.release();
  }

  /** Returns whether the response has the status of a stream. */
  boolean isStream() {
    return status == STATUS_OK;
  }

  /** Returns whether an error response shows a failure of the target, not one of the request. */
  boolean isTargetFailure() {
    return status >= STATUS_SERVER_ERROR
        || ProblemResponse.isNotRunStatus(status)
        || !metadata.isSigned();
  }

  /** Returns whether the response, which has ended, is a stream that ends after an event. */
  boolean isWholeStream() {
    return isStream() && hasEvents && !framer.hasPartialEvent();
  }

  /** Returns the comments after the last event; the caller must release them. */
  ByteBuf takeRemaining() {
    return framer.takeRemaining();
  }

  /** Returns the body of an error response. */
  ByteBuf errorBody() {
    return errorBody.bytes();
  }
}
