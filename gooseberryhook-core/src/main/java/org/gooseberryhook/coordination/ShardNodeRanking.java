package org.gooseberryhook.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.gooseberryhook.state.NodeId;

/**
 * Ranks the live nodes for a shard by rendezvous hashing, so that a join or a death moves only the
 * shards of that node. The first node is the preferred grantor and the first address that callers
 * should use. Only the address is hashed, so a restarted node gets its shards back.
 *
 * @since 0.1
 */
public final class ShardNodeRanking {

  private ShardNodeRanking() {}

  /**
   * A live node.
   *
   * @param id the node
   * @param place its data centre
   * @since 0.1
   */
  public record PlacedNode(NodeId id, String place) {}

  /**
   * Ranks nodes for a shard.
   *
   * @param shard the shard
   * @param liveNodes the live nodes
   * @param preferredPlace nodes of this data centre come first; null or empty for no preference
   * @param limit maximum number of nodes
   * @return the nodes, first choice first; empty if no node is live
   */
  public static List<NodeId> rank(
      QuotaShard shard, Collection<PlacedNode> liveNodes, String preferredPlace, int limit) {
    LongHashFunction hash = LongHashFunction.xx3(shard.index());
    Comparator<PlacedNode> order =
        Comparator.comparing((PlacedNode node) -> !node.place().equals(preferredPlace))
            .thenComparing(node -> hash.hashChars(node.id().address()), Comparator.reverseOrder())
            .thenComparing(node -> node.id().address());
    return liveNodes.stream().sorted(order).limit(limit).map(PlacedNode::id).toList();
  }

  /**
   * Ranks nodes for the shard of a workspace without preferring a data centre, so that every node
   * gets the same result.
   *
   * @param workspaceId id of the workspace, or another key to hash
   * @param liveNodes the live nodes
   * @param limit maximum number of nodes
   * @return the nodes, first choice first; empty if no node is live
   */
  public static List<NodeId> rank(String workspaceId, Collection<PlacedNode> liveNodes, int limit) {
    return rank(QuotaShard.of(workspaceId), liveNodes, null, limit);
  }
}
