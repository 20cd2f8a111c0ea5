package org.gooseberryhook.coordination;

import net.openhft.hashing.LongHashFunction;

/**
 * Shard of the workspaces by hash of their ids; each shard has one grantor.
 *
 * @param index number of the shard, from 0 to 1,023
 * @since 0.1
 */
public record QuotaShard(int index) {

  /** Number of shards; part of the layout of lease records, so it never changes. */
  public static final int SHARD_COUNT = 1024;

  private static final String LEASE_PREFIX = "duty/quota/";

  /**
   * Checks the index.
   *
   * @throws IllegalArgumentException if the index is out of range
   */
  public QuotaShard {
    if (index < 0 || index >= SHARD_COUNT) {
      throw new IllegalArgumentException(
          "shard index is " + index + "; use 0 to " + (SHARD_COUNT - 1));
    }
  }

  /**
   * Returns the shard of a workspace.
   *
   * @param workspaceId the workspace
   * @return the shard, never null
   */
  public static QuotaShard of(String workspaceId) {
    long hash = LongHashFunction.xx3().hashChars(workspaceId);
    return new QuotaShard((int) Math.floorMod(hash, (long) SHARD_COUNT));
  }

  /**
   * Returns the shard of a lease key.
   *
   * @param leaseKey key of a duty lease
   * @return the shard, or null if the lease is of another duty
   */
  public static QuotaShard ofLeaseKey(String leaseKey) {
    return leaseKey.startsWith(LEASE_PREFIX)
        ? new QuotaShard(Integer.parseInt(leaseKey.substring(LEASE_PREFIX.length())))
        : null;
  }

  /**
   * Returns the key of the duty lease of this shard's grantor.
   *
   * @return the key, never null
   */
  public String toLeaseKey() {
    return LEASE_PREFIX + index;
  }
}
