package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;

/**
 * History of a bucket's headroom, the distance between its level and its burst. Returns the minimum
 * since any earlier position. Only suffix minima are kept, in ascending order. Not thread-safe.
 */
final class HeadroomHistory {

  /**
   * Maximum number of entries; beyond that the two oldest are merged, which only makes refunds
   * smaller.
   */
  static final int MAX_ENTRIES = 256;

  private static final class Entry {
    private final long position;
    private double headroom;

    private Entry(long position, double headroom) {
      this.position = position;
      this.headroom = headroom;
    }
  }

  private final List<Entry> entries = new ArrayList<>();

  /** Records the headroom at a position that is not lower than the last one. */
  void record(long position, double headroom) {
    while (!entries.isEmpty() && last().headroom >= headroom) {
      entries.remove(entries.size() - 1);
    }
    entries.add(new Entry(position, headroom));
    if (entries.size() > MAX_ENTRIES) {
      entries.get(1).headroom = entries.get(0).headroom;
      entries.remove(0);
    }
  }

  /** Returns the least headroom since a position; infinite if nothing was recorded since. */
  double getMinimumSince(long position) {
    int index = indexOf(position);
    return index < entries.size() ? entries.get(index).headroom : Double.POSITIVE_INFINITY;
  }

  /** Lowers the headroom at all positions since a position. */
  void lowerSince(long position, double units) {
    int index = indexOf(position);
    for (int each = index; each < entries.size(); each++) {
      entries.get(each).headroom -= units;
    }
    while (index > 0
        && index < entries.size()
        && entries.get(index - 1).headroom >= entries.get(index).headroom) {
      entries.remove(--index);
    }
  }

  private Entry last() {
    return entries.get(entries.size() - 1);
  }

  /** Returns the index of the first entry at or after a position. */
  private int indexOf(long position) {
    int low = 0;
    int high = entries.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (entries.get(middle).position < position) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
