package org.gooseberryhook.router.forward;

import java.util.Arrays;

/**
 * The attempts whose requests were sent on a connection, up to a maximum number. Of each id, only
 * its hash code is kept: ids come from callers and may be long, and an attempt that is taken for
 * another one merely uses another connection.
 */
final class CarriedAttempts {

  /** Maximum number of attempts; the connection is closed after the response to the last one. */
  static final int MAX_ATTEMPTS = 1_024;

  private static final int INITIAL_CAPACITY = 8;

  private int[] hashes = new int[INITIAL_CAPACITY];
  private int size;

  void add(String attemptId) {
    if (size == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * size);
    }
    hashes[size++] = attemptId.hashCode();
  }

  /** Returns true if the attempt was added, and in rare cases if it was not. */
  boolean mayContain(String attemptId) {
    int hash = attemptId.hashCode();
    for (int i = 0; i < size; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  boolean isFull() {
    return size >= MAX_ATTEMPTS;
  }
}
