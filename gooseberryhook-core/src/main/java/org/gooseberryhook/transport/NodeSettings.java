package org.gooseberryhook.transport;

import java.util.List;

/**
 * Settings of an entry node.
 *
 * @param node addresses and location of this node
 * @param platform base URLs of the platform's systems
 * @param operators keys that give access to the administration API
 * @param targetGroups groups of targets, with distinct {@code serves}
 * @param limits limits of this node
 * @since 0.1
 */
public record NodeSettings(
    Node node,
    Platform platform,
    Operators operators,
    List<TargetGroup> targetGroups,
    Limits limits) {

  /** Creates settings; the groups are copied. */
  public NodeSettings {
    targetGroups = List.copyOf(targetGroups);
  }

  /**
   * Returns whether the targets of a model or service refuse an old fencing number.
   *
   * @param serves model id or service name
   * @return true if they do; false also if no group is declared, because waiting for old orders is
   *     always safe
   */
  public boolean isFencingChecked(String serves) {
    return targetGroups.stream()
        .anyMatch(group -> group.serves().equals(serves) && group.checksFencing());
  }

  /**
   * Addresses and location of a node.
   *
   * @param callerAddress {@code ip:port} that callers connect to
   * @param peerAddress {@code ip:port} that other nodes connect to
   * @param adminAddress {@code ip:port} that operators connect to
   * @param place the data centre of this node, one of {@code places}
   * @param region the region of the data centre
   * @param places all data centres of the region
   * @param seeds {@code ip:port} of nodes to join; may be empty and may contain this node
   * @param drainTimeoutMs time for streams to finish in a planned stop, in milliseconds
   * @since 0.1
   */
  public record Node(
      String callerAddress,
      String peerAddress,
      String adminAddress,
      String place,
      String region,
      List<String> places,
      List<String> seeds,
      long drainTimeoutMs) {

    /** Creates the record; the lists are copied. */
    public Node {
      places = List.copyOf(places);
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * Base URLs of the platform's systems.
   *
   * @param tableService the table service
   * @param objectStore the object store
   * @param weightStore the weight store
   * @param vmList the VM list
   * @since 0.1
   */
  public record Platform(
      String tableService, String objectStore, String weightStore, String vmList) {}

  /**
   * Operators, who may use the administration API.
   *
   * @param keyDigests SHA-256 of each key in lower-case hexadecimal, at least one
   * @since 0.1
   */
  public record Operators(List<String> keyDigests) {

    /** Creates the record; the list is copied. */
    public Operators {
      keyDigests = List.copyOf(keyDigests);
    }
  }

  /**
   * A group of targets.
   *
   * @param name unique name
   * @param serves model id or service name
   * @param checksFencing whether the targets refuse orders that carry an old fencing number
   * @since 0.1
   */
  public record TargetGroup(String name, String serves, boolean checksFencing) {}

  /**
   * Limits of a node.
   *
   * @param maxConcurrentRequests maximum number of callers' requests that run at the same time
   * @param maxBodyBytes maximum length of a request body, in bytes
   * @param maxHeaderBytes maximum length of all headers of a request, in bytes
   * @param maxConcurrentLoads maximum number of weight loads in progress at once over all nodes, so
   *     that not too many engines share the weight store's rate; must be the same at all nodes
   * @since 0.1
   */
  public record Limits(
      int maxConcurrentRequests, int maxBodyBytes, int maxHeaderBytes, int maxConcurrentLoads) {

    /** Default number of weight loads in progress at once. */
    public static final int DEFAULT_CONCURRENT_LOADS = 4;

    /**
     * Creates limits with the default number of loads.
     *
     * @param maxConcurrentRequests maximum number of callers' requests that run at the same time
     * @param maxBodyBytes maximum length of a request body, in bytes
     * @param maxHeaderBytes maximum length of all headers of a request, in bytes
     */
    public Limits(int maxConcurrentRequests, int maxBodyBytes, int maxHeaderBytes) {
      this(maxConcurrentRequests, maxBodyBytes, maxHeaderBytes, DEFAULT_CONCURRENT_LOADS);
    }
  }
}
