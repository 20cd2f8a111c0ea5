package org.gooseberryhook.router.forward;

/**
 * Limits the total size of the request and response bodies that a node buffers at once. Each body
 * has a limit of its own, but many large bodies together could still exhaust the heap.
 */
final class BodyMemoryBudget {

  private final long maxBytes;
  private long reservedBytes;

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

  long reservedBytes() {
    return reservedBytes;
  }
}
