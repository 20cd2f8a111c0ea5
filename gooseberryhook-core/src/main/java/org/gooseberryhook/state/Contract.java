package org.gooseberryhook.state;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Contract of one workspace: the only source of the limits that apply to its callers.
 *
 * @param workspaceId id of the workspace
 * @param priorityClass the highest class that its requests may have
 * @param requestsPerSecond refill rate of the request budget, in requests per second, above 0
 * @param requestBurst capacity of the request budget, in requests; should be at least 1
 * @param tokensPerSecond refill rate of the token budget, in tokens per second, above 0
 * @param tokenBurst capacity of the token budget, in tokens; should be at least 1
 * @param maxConcurrentRequests maximum number of requests that run at the same time over all nodes
 * @param models ids of the models that may be called
 * @param services names of the plain services that may be called
 * @param firstTokenGoalMs goal for the time until the first token, in milliseconds
 * @param tokenGapGoalMs goal for the time between two tokens, in milliseconds
 * @param retryBudgetPercent retries allowed per hundred requests, beyond the first five of a
 *     workspace at a node
 * @param maxDeadlineMs maximum time from the arrival of a request to its deadline, in milliseconds
 * @param callerKeyDigests SHA-256 digests of the caller keys in lower-case hexadecimal digits
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
   * Creates a contract; collections are copied, and a null collection becomes an empty one.
   *
   * @throws IllegalArgumentException if a rate, burst, concurrency limit or deadline is not a
   *     positive finite number, or if the retry budget is negative
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
