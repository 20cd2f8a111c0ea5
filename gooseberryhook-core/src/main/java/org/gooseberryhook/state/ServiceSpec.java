package org.gooseberryhook.state;

import java.util.Set;

/**
 * Plain service as declared by an operator.
 *
 * @param serviceName name that callers use
 * @param onceOnlyOperations operations that must run at most once for each idempotency key; every
 *     other operation is idempotent
 * @param hasLookup whether the service can report if it has run the call with an idempotency key
 * @since 0.1
 */
public record ServiceSpec(String serviceName, Set<String> onceOnlyOperations, boolean hasLookup) {

  /** Creates a specification; a null set of operations becomes an empty one. */
  public ServiceSpec {
    onceOnlyOperations = onceOnlyOperations == null ? Set.of() : Set.copyOf(onceOnlyOperations);
  }

  /**
   * Returns whether an operation must run at most once for each idempotency key.
   *
   * @param operation name of the operation
   * @return true for a once-only operation
   */
  public boolean isOnceOnly(String operation) {
    return onceOnlyOperations.contains(operation);
  }
}
