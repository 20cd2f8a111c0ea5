package org.gooseberryhook.state;

import java.util.Set;

/**
 * A declared plain service.
 *
 * @param serviceName name that callers use
 * @param onceOnlyOperations operations that must run at most once for each idempotency key; every
 *     other operation is idempotent
 * @param hasLookup whether the service can tell if it has run a key
 * @since 0.1
 */
public record ServiceSpec(String serviceName, Set<String> onceOnlyOperations, boolean hasLookup) {

  /** Creates a specification; a missing set of operations is empty. */
  public ServiceSpec {
    onceOnlyOperations = onceOnlyOperations == null ? Set.of() : Set.copyOf(onceOnlyOperations);
  }

  /**
   * Tells whether an operation must run at most once.
   *
   * @param operation the operation name
   * @return true for a once-only operation
   */
  public boolean isOnceOnly(String operation) {
    return onceOnlyOperations.contains(operation);
  }
}
