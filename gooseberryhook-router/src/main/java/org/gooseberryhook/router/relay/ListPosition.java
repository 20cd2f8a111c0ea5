package org.gooseberryhook.router.relay;

/**
 * A point in the history of a list.
 *
 * @param era number of the store's history; it rises when the store comes back from a copy and its
 *     revisions are given out again
 * @param revision revision of the store within the era
 */
public record ListPosition(long era, long revision) {

  /** The position before the first read. */
  public static final ListPosition NONE = new ListPosition(-1, -1);

  /**
   * Returns whether this position is that of a list that was read.
   *
   * @return false for {@link #NONE}
   */
  public boolean isKnown() {
    return revision >= 0;
  }
}
