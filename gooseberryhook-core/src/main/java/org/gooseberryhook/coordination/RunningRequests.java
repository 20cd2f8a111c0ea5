package org.gooseberryhook.coordination;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts this node's running requests per workspace, whichever grantor granted their slots. Shared
 * by the node's holder and grantor. Thread-safe. Workspaces without running requests take no
 * memory.
 *
 * @since 0.1
 */
public final class RunningRequests {

  private final ConcurrentHashMap<String, Long> counts = new ConcurrentHashMap<>();

  /** Creates a counter at zero for every workspace. */
  public RunningRequests() {}

  /**
   * Returns the number of running requests.
   *
   * @param workspaceId the workspace
   * @return the count, at least 0
   */
  public long get(String workspaceId) {
    return counts.getOrDefault(workspaceId, 0L);
  }

  /**
   * Returns the workspaces with running requests.
   *
   * @return a snapshot
   */
  public Set<String> getWorkspaces() {
    return Set.copyOf(counts.keySet());
  }

  /**
   * Adds to the count.
   *
   * @param workspaceId the workspace
   * @param change 1 when a request starts, -1 when it ends
   */
  public void add(String workspaceId, long change) {
    counts.merge(
        workspaceId,
        change,
        (before, more) -> {
          long after = before + more;
          return after == 0 ? null : after;
        });
  }
}
