package org.gooseberryhook.state;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The contract of one workspace: the only source of every limit its callers meet.
 *
 * @param workspaceId the workspace
 * @param priorityClass the highest class its requests may ask for
 * @param requestsPerSecond refill rate of the request budget, above 0
 * @param requestBurst size of the request budget, at least 1
 * @param tokensPerSecond refill rate of the token budget, above 0
 * @param tokenBurst size of the token budget, at least 1
 * @param maxConcurrentRequests requests that may run at the same time over all nodes
 * @param models model ids that may be called
 * @param services plain services that may be called
 * @param firstTokenGoalMs goal for the first token, in milliseconds
 * @param tokenGapGoalMs goal for the gap between tokens, in milliseconds
 * @param retryBudgetPercent retries allowed per hundred requests, beyond the first five of a
 *     workspace at a node
 * @param maxDeadlineMs longest deadline a request may ask for, in milliseconds
 * @param callerKeyDigests SHA-256 digests of the caller keys, lower-case hex
 * @since 0.1
 */
public record Contract(
    String workspaceId,
    PriorityClass priorityClass,
    double requestsPerSecond,
    double requestBurst,
    double tokensPerSecond,
    double tokenBurst,
    int maxConcurrentRequests,
    Set<String> models,
    Set<String> services,
    int firstTokenGoalMs,
    int tokenGapGoalMs,
    int retryBudgetPercent,
    int maxDeadlineMs,
    List<String> callerKeyDigests) {

  /**
   * Creates a contract; collections are copied and a missing collection is empty.
   *
   * @throws IllegalArgumentException if a rate, burst or bound is not positive
   */
  public Contract {
    Objects.requireNonNull(workspaceId, "workspaceId");
    Objects.requireNonNull(priorityClass, "priorityClass");
    models = models == null ? Set.of() : Set.copyOf(models);
    services = services == null ? Set.of() : Set.copyOf(services);
    callerKeyDigests = callerKeyDigests == null ? List.of() : List.copyOf(callerKeyDigests);
    requirePositive("requestsPerSecond", requestsPerSecond);
    requirePositive("requestBurst", requestBurst);
    requirePositive("tokensPerSecond", tokensPerSecond);
    requirePositive("tokenBurst", tokenBurst);
    requirePositive("maxConcurrentRequests", maxConcurrentRequests);
    requirePositive("maxDeadlineMs", maxDeadlineMs);
    if (retryBudgetPercent < 0) {
      throw new IllegalArgumentException(
          "retryBudgetPercent is "
              + retryBudgetPercent
              + "; use 0 for no retries or a positive number");
    }
  }

  private static void requirePositive(String field, double value) {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + " is " + value + "; use a number above 0");
    }
  }
}
