package org.gooseberryhook.router.forward;

/**
 * Limits the total size of the request and response bodies that a node buffers at once. Each body
 * has a limit of its own, but many large bodies together could still exhaust the heap.
 */
final class BodyMemoryBudget {

  /**
   * Share of the budget that responses may take. The rest is left to the bodies of requests, which
   * would otherwise be refused because of the responses to others.
   */
  private static final double RESPONSE_SHARE = 0.75;

  /**
   * Share of the budget that unfinished parts of streams may take, so that they leave memory for
   * the bodies of other responses.
   */
  private static final double STREAM_SHARE = 0.5;

  private final long maxBytes;
  private long reservedBytes;

  /** Part of {@link #reservedBytes} that is reserved for responses, those of streams included. */
  private long responseBytes;

  /** Part of {@link #responseBytes} that is reserved for streams. */
  private long streamBytes;

  /**
   * Creates a budget of which nothing is reserved.
   *
   * @param maxBytes maximum number of bytes that may be reserved at once
   */
  BodyMemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Reserves bytes if the budget allows it.
   *
   * @param bytes number of bytes, not negative
   * @return false if fewer bytes are left, in which case nothing is reserved
   */
  boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > maxBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /**
   * Releases reserved bytes.
   *
   * @param bytes number of bytes that were reserved before
   */
  void release(long bytes) {
    reservedBytes -= bytes;
  }

  /**
   * Reserves bytes for a response if the budget and the share of responses allow it.
   *
   * @param bytes number of bytes, not negative
   * @return false if fewer bytes are left, in which case nothing is reserved
   */
  boolean tryReserveForResponse(long bytes) {
    if (responseBytes + bytes > maxBytes * RESPONSE_SHARE || !tryReserve(bytes)) {
      return false;
    }
    responseBytes += bytes;
    return true;
  }

  /**
   * Releases bytes of a response.
   *
   * @param bytes number of bytes that were reserved by {@link #tryReserveForResponse}
   */
  void releaseOfResponse(long bytes) {
    responseBytes -= bytes;
    release(bytes);
  }

  /**
   * Reserves bytes for the unfinished part of a streamed response if the budget and the shares of
   * responses and of streams allow it.
   *
   * @param bytes number of bytes, not negative
   * @return false if fewer bytes are left, in which case nothing is reserved
   */
  boolean tryReserveForStream(long bytes) {
    if (streamBytes + bytes > maxBytes * STREAM_SHARE || !tryReserveForResponse(bytes)) {
      return false;
    }
    streamBytes += bytes;
    return true;
  }

  /**
   * Releases bytes of a streamed response.
   *
   * @param bytes number of bytes that were reserved by {@link #tryReserveForStream}
   */
  void releaseOfStream(long bytes) {
    streamBytes -= bytes;
    releaseOfResponse(bytes);
  }

  long reservedBytes() {
    return reservedBytes;
  }
}
