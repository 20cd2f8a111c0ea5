package org.gooseberryhook.router.forward;

/**
 * Counts the buffer of one streamed response against the memory budget of a node. Each buffer has a
 * limit of its own, but those of many streams together could exhaust the heap.
 */
final class BufferReservation {

  /**
   * Size in bytes up to which the buffer of a response is not counted. Events and most bodies are
   * smaller, so that they do not depend on memory that other responses have filled.
   */
  static final int UNCOUNTED_BYTES = 16_384;

  private final BodyMemoryBudget budget;
  private long reservedBytes;
  private boolean isReleased;

  /**
   * Creates a reservation of no memory.
   *
   * @param budget the budget that the buffer is counted against
   */
  BufferReservation(BodyMemoryBudget budget) {
    this.budget = budget;
  }

  /**
   * Returns the number of bytes of a buffer that count against the budget.
   *
   * @param sizeBytes size of the buffer in bytes
   * @return the whole size, or 0 up to {@link #UNCOUNTED_BYTES}
   */
  static long countedBytes(int sizeBytes) {
    return sizeBytes > UNCOUNTED_BYTES ? sizeBytes : 0;
  }

  /**
   * Adjusts the reservation to the present size of the buffer. Does nothing after {@link #release}.
   *
   * @param capacityBytes memory that the buffer takes, in bytes
   * @return false if the buffer has grown and the budget does not allow it
   */
  boolean tryResize(int capacityBytes) {
    long neededBytes = countedBytes(capacityBytes);
    if (isReleased || neededBytes == reservedBytes) {
      return true;
    }
    if (neededBytes > reservedBytes && !budget.tryReserveForStream(neededBytes - reservedBytes)) {
      return false;
    }
    if (neededBytes < reservedBytes) {
      budget.releaseOfStream(reservedBytes - neededBytes);
    }
    reservedBytes = neededBytes;
    return true;
  }

  /** Releases the memory; may be called again. */
  void release() {
    budget.releaseOfStream(reservedBytes);
    reservedBytes = 0;
    isReleased = true;
  }
}
