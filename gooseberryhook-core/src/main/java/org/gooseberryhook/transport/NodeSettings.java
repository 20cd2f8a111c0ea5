package org.gooseberryhook.transport;

import java.util.List;

/**
 * Settings of an entry node.
 *
 * @param node addresses and location of this node
 * @param platform base URLs of the platform's systems
 * @param operators who may use the administration API
 * @param targetGroups groups of targets, with distinct {@code serves}
 * @param limits bounds of this node
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
   * Tells whether the targets of a model or service refuse an old fencing number.
   *
   * @param serves model id or service name
   * @return false also if no group is declared, because waiting for old orders is always safe
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
   * @param region the region of the place
   * @param places all places of the region
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
   * Who may use the administration API.
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
   * Bounds of a node.
   *
   * @param maxConcurrentRequests requests of callers that run at the same time
   * @param maxBodyBytes length of a request body
   * @param maxHeaderBytes length of all headers of a request
   * @param maxConcurrentLoads loads of weights under way at once over all nodes, so that engines do
   *     not share the weight store's rate among too many; the same at all nodes
   * @since 0.1
   */
  public record Limits(
      int maxConcurrentRequests, int maxBodyBytes, int maxHeaderBytes, int maxConcurrentLoads) {

    /** Loads under way at once if the settings do not say. */
    public static final int DEFAULT_CONCURRENT_LOADS = 4;

    /**
     * Creates limits with the default number of loads.
     *
     * @param maxConcurrentRequests requests of callers that run at the same time
     * @param maxBodyBytes length of a request body
     * @param maxHeaderBytes length of all headers of a request
     */
    public Limits(int maxConcurrentRequests, int maxBodyBytes, int maxHeaderBytes) {
      this(maxConcurrentRequests, maxBodyBytes, maxHeaderBytes, DEFAULT_CONCURRENT_LOADS);
    }
  }
}
