package org.gooseberryhook.router.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/** Map that drops its eldest entries beyond a bound. */
final class BoundedMap<V> extends LinkedHashMap<Long, V> {

  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxSize;

  /**
   * Creates an empty map.
   *
   * @param maxSize maximum number of entries
   * @param isOrderedByAccess whether an entry's age begins anew with each access
   */
  BoundedMap(int maxSize, boolean isOrderedByAccess) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, isOrderedByAccess);
    this.maxSize = maxSize;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
    return size() > maxSize;
  }
}
