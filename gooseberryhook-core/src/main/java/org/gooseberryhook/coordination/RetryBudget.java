package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the retries of each workspace to a percentage of its requests. Thread-safe: buckets are
 * kept in shards, each with its own lock. At the bound on workspaces the least recently used one of
 * a shard is removed: its retries are refused until its next request, and it then starts like a new
 * workspace.
 *
 * @since 0.1
 */
public final class RetryBudget {

  /** Maximum number of workspaces over all shards. */
  public static final int MAX_WORKSPACES = 40_000;

  /** Maximum number of retries that a bucket holds. */
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
   * Adds the share of one request to the bucket of a workspace. Must be called once for each
   * request, not for its retries.
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
   * Takes one retry from the bucket of a workspace.
   *
   * @param workspaceId the workspace
   * @return false if the bucket holds less than one retry
   */
  public boolean trySpend(String workspaceId) {
    Shard shard = shardOf(workspaceId);
    synchronized (shard) {
      double stored = shard.getOrDefault(workspaceId, 0.0);
      // A hundred additions of 0.01 add up to slightly less than 1.
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
   * @return the count, at most the bound
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
