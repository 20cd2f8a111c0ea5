package org.gooseberryhook.router.configuration;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace.
 *
 * @param name name of the workspace
 * @param apiKeys its valid keys
 * @param priority rank that goes before the route's, if stated
 */
public record Workspace(String name, Set<String> apiKeys, OptionalInt priority) {

  /** Creates a workspace with an immutable copy of its keys. */
  public Workspace {
    apiKeys = Set.copyOf(apiKeys);
  }
}
