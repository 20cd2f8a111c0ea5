package org.gooseberryhook.router.configuration;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A workspace, identified by its API keys.
 *
 * @param name name of the workspace
 * @param apiKeys its valid API keys
 * @param priority rank that overrides the route's; empty if none is stated
 */
public record Workspace(String name, Set<String> apiKeys, OptionalInt priority) {

  /** Creates a workspace with an immutable copy of its keys. */
  public Workspace {
    apiKeys = Set.copyOf(apiKeys);
  }
}
