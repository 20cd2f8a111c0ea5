package org.gooseberryhook.router.forward;

/**
 * Bounds the bytes of bodies that a node keeps at once. Each body has its own bound, but many
 * callers with large ones would fill the memory together.
 */
final class BodyMemoryBudget {

  private final long maxBytes;
  private long reservedBytes;

  /**
   * Creates an empty bound.
   *
   * @param maxBytes bytes at most
   */
  BodyMemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Takes a part of the memory.
   *
   * @param bytes bytes, not negative
   * @return false if there is not that much left; nothing is taken then
   */
  boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > maxBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /**
   * Gives memory back.
   *
   * @param bytes bytes that were taken before
   */
  void release(long bytes) {
    reservedBytes -= bytes;
  }

  long reservedBytes() {
    return reservedBytes;
  }
}
