package org.gooseberryhook.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.Versioned;

/**
 * Finds the contract of a caller key. Keys are looked up by their digest, so that the time of a
 * lookup reveals nothing about a valid key.
 *
 * @since 0.1
 */
public final class KeyIndex {

  private final Map<String, String> workspaceByDigest = new ConcurrentHashMap<>();
  private final Map<String, Versioned<Contract>> indexedContracts = new HashMap<>();

  /**
   * Brings the index up to date with a configuration. Only contracts that changed are indexed
   * again.
   *
   * @param configuration the configuration in force
   */
  public synchronized void update(Configuration configuration) {
    Map<String, Versioned<Contract>> contracts = configuration.contracts();
    contracts.forEach(
        (workspaceId, entry) -> {
          Versioned<Contract> previous = indexedContracts.get(workspaceId);
          if (previous == null || previous.version() != entry.version()) {
            forget(workspaceId, previous);
            indexedContracts.put(workspaceId, entry);
            digestsOf(entry).forEach(digest -> workspaceByDigest.put(digest, workspaceId));
          }
        });
    List<String> removed =
        indexedContracts.keySet().stream().filter(id -> !contracts.containsKey(id)).toList();
    removed.forEach(workspaceId -> forget(workspaceId, indexedContracts.remove(workspaceId)));
  }

  /**
   * Returns the contract that a key belongs to.
   *
   * @param key the key as the caller sent it
   * @param configuration the configuration in force
   * @return the contract, or empty if no contract has this key
   */
  public Optional<Contract> find(String key, Configuration configuration) {
    String digest = CallerKeys.digestOf(key);
    return configuration
        .getContract(workspaceByDigest.get(digest))
        .filter(
            contract ->
                contract.callerKeyDigests().stream()
                    .anyMatch(known -> CallerKeys.isSame(known, digest)));
  }

  private void forget(String workspaceId, Versioned<Contract> previous) {
    if (previous != null) {
      digestsOf(previous).forEach(digest -> workspaceByDigest.remove(digest, workspaceId));
    }
  }

  private static List<String> digestsOf(Versioned<Contract> entry) {
    return entry.value().callerKeyDigests();
  }
}
