package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds retries of each workspace to a percentage of its requests. Buckets are kept in shards,
 * each under its own lock; at the bound the least recently used workspace of a shard starts anew
 * with an empty bucket, which refuses retries rather than granting too many.
 *
 * @since 0.1
 */
public final class RetryBudget {

  /** Workspaces kept over all shards. */
  public static final int MAX_WORKSPACES = 40_000;

  /** Retries that a bucket holds at most. */
  public static final double MAX_STORED_RETRIES = 20;

  /** Retries that a workspace starts with, so that its first failure can be repaired. */
  public static final double INITIAL_RETRIES = 5;

  private static final int SHARDS = 16;

  private final List<Shard> shards = new ArrayList<>();

  /** Creates an empty budget. */
  public RetryBudget() {
    this(MAX_WORKSPACES);
  }

  RetryBudget(int maxWorkspaces) {
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new Shard(Math.max(1, maxWorkspaces / SHARDS)));
    }
  }

  /**
   * Feeds the bucket of a workspace; to be called once for each request, not for its retries.
   *
   * @param workspaceId the workspace
   * @param retryBudgetPercent retries allowed per hundred requests, from the contract
   */
  public void onRequest(String workspaceId, int retryBudgetPercent) {
    Shard shard = shardOf(workspaceId);
    synchronized (shard) {
      double initial = retryBudgetPercent > 0 ? INITIAL_RETRIES : 0;
      double stored = shard.getOrDefault(workspaceId, initial);
      shard.put(workspaceId, Math.min(MAX_STORED_RETRIES, stored + retryBudgetPercent / 100.0));
    }
  }

  /**
   * Spends one retry.
   *
   * @param workspaceId the workspace
   * @return false if the bucket holds less than one retry
   */
  public boolean trySpend(String workspaceId) {
    Shard shard = shardOf(workspaceId);
    synchronized (shard) {
      double stored = shard.getOrDefault(workspaceId, 0.0);
      // A hundred feeds of one percent sum up to slightly less than 1.
      if (stored < 1 - 1e-9) {
        return false;
      }
      shard.put(workspaceId, stored - 1);
      return true;
    }
  }

  /**
   * Returns the number of workspaces kept.
   *
   * @return at most the bound
   */
  public int size() {
    int size = 0;
    for (Shard shard : shards) {
      synchronized (shard) {
        size += shard.size();
      }
    }
    return size;
  }

  private Shard shardOf(String workspaceId) {
    return shards.get(Math.floorMod(workspaceId.hashCode(), SHARDS));
  }

  /** Stored retries by workspace in LRU order; guarded by its own monitor. */
  private static final class Shard extends LinkedHashMap<String, Double> {
    private static final long serialVersionUID = 1L;
    private final int maxWorkspaces;

    Shard(int maxWorkspaces) {
      super(16, 0.75f, true);
      this.maxWorkspaces = maxWorkspaces;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
      return size() > maxWorkspaces;
    }
  }
}
