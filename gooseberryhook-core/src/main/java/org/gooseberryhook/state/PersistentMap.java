package org.gooseberryhook.state;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Objects;
import java.util.Set;

/**
 * Immutable map with string keys. A changed copy shares everything except the changed bucket and
 * the two arrays that lead to it with the original. The keys are distributed over 64 x 64 buckets,
 * so that a change among 37,000 entries copies two arrays of 64 references and one bucket of about
 * nine entries. Null keys and values are rejected.
 *
 * @param <V> type of the values
 * @since 0.1
 */
public final class PersistentMap<V> extends AbstractMap<String, V> {

  private static final int FAN_OUT_BITS = 6;
  private static final int FAN_OUT = 1 << FAN_OUT_BITS;
  private static final PersistentMap<?> EMPTY = new PersistentMap<>(new Object[FAN_OUT][][], 0);

  /**
   * Buckets indexed by two parts of the hash. A bucket alternates keys and values; null if empty.
   */
  private final Object[][][] root;

  private final int size;

  private PersistentMap(Object[][][] root, int size) {
    this.root = root;
    this.size = size;
  }

  /**
   * Returns the empty map.
   *
   * @param <V> type of the values
   * @return the map, never null
   */
  @SuppressWarnings("unchecked")
  public static <V> PersistentMap<V> of() {
    return (PersistentMap<V>) EMPTY;
  }

  /**
   * Returns a copy with one entry added or replaced.
   *
   * @param key the key, not null
   * @param value the value, not null
   * @return the changed copy, never null
   */
  public PersistentMap<V> with(String key, V value) {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
    Object[] bucket = bucketOf(key);
    int index = indexOf(bucket, key);
    Object[] changed;
    if (index >= 0) {
      changed = bucket.clone();
      changed[index + 1] = value;
    } else {
      int length = bucket == null ? 0 : bucket.length;
      changed = bucket == null ? new Object[2] : Arrays.copyOf(bucket, length + 2);
      changed[length] = key;
      changed[length + 1] = value;
    }
    return replaceBucket(key, changed, index >= 0 ? size : size + 1);
  }

  /**
   * Returns a copy without the entry of a key.
   *
   * @param key the key, not null
   * @return the changed copy, or this map if the key is absent
   */
  public PersistentMap<V> without(String key) {
    Object[] bucket = bucketOf(key);
    int index = indexOf(bucket, key);
    if (index < 0) {
      return this;
    }
    Object[] changed = null;
    if (bucket.length > 2) {
      changed = Arrays.copyOf(bucket, bucket.length - 2);
      System.arraycopy(bucket, index + 2, changed, index, bucket.length - index - 2);
    }
    return replaceBucket(key, changed, size - 1);
  }

  @Override
  @SuppressWarnings("unchecked")
  public V get(Object key) {
    if (!(key instanceof String text)) {
      return null;
    }
    Object[] bucket = bucketOf(text);
    int index = indexOf(bucket, text);
    return index < 0 ? null : (V) bucket[index + 1];
  }

  @Override
  public boolean containsKey(Object key) {
    return get(key) != null;
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public Set<Map.Entry<String, V>> entrySet() {
    return new AbstractSet<>() {
      @Override
      public Iterator<Map.Entry<String, V>> iterator() {
        return new EntryIterator<>(root, size);
      }

      @Override
      public int size() {
        return size;
      }
    };
  }

  private PersistentMap<V> replaceBucket(String key, Object[] bucket, int newSize) {
    int hash = hashOf(key);
    Object[][][] newRoot = root.clone();
    Object[][] branch = newRoot[hash >>> FAN_OUT_BITS];
    branch = branch == null ? new Object[FAN_OUT][] : branch.clone();
    branch[hash & (FAN_OUT - 1)] = bucket;
    newRoot[hash >>> FAN_OUT_BITS] = branch;
    return new PersistentMap<>(newRoot, newSize);
  }

  private Object[] bucketOf(String key) {
    int hash = hashOf(key);
    Object[][] branch = root[hash >>> FAN_OUT_BITS];
    return branch == null ? null : branch[hash & (FAN_OUT - 1)];
  }

  private static int indexOf(Object[] bucket, String key) {
    for (int i = 0; bucket != null && i < bucket.length; i += 2) {
      if (bucket[i].equals(key)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Returns the bucket number of a key. The multiplication by the golden ratio (Fibonacci hashing)
   * puts keys with similar hash codes into different buckets.
   */
  private static int hashOf(String key) {
    return (key.hashCode() * 0x9E3779B9) >>> (Integer.SIZE - 2 * FAN_OUT_BITS);
  }

  private static final class EntryIterator<V> implements Iterator<Map.Entry<String, V>> {
    private final Object[][][] root;
    private int remaining;
    private int slot;
    private int index;

    EntryIterator(Object[][][] root, int size) {
      this.root = root;
      this.remaining = size;
    }

    @Override
    public boolean hasNext() {
      return remaining > 0;
    }

    @Override
    @SuppressWarnings("unchecked")
    public Map.Entry<String, V> next() {
      if (remaining == 0) {
        throw new NoSuchElementException();
      }
      Object[] bucket = bucket();
      while (bucket == null || index >= bucket.length) {
        slot++;
        index = 0;
        bucket = bucket();
      }
      remaining--;
      index += 2;
      return Map.entry((String) bucket[index - 2], (V) bucket[index - 1]);
    }

    private Object[] bucket() {
      Object[][] branch = root[slot >>> FAN_OUT_BITS];
      return branch == null ? null : branch[slot & (FAN_OUT - 1)];
    }
  }
}
