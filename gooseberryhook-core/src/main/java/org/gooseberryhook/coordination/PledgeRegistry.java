package org.gooseberryhook.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.protocol.PledgeMessage.PledgedLease;
import org.gooseberryhook.state.NodeId;

/**
 * Pledges that this node has given as a deputy, at most one per lease. A pledge is the promise not
 * to acquire a lease until its holder releases the pledge or has ended. Pledges are kept in memory
 * only, because a restarted node has another incarnation and is no elector. Not thread-safe.
 */
final class PledgeRegistry {

  private record Pledge(NodeId holder, long fencingNumber, long renewal, long sequence) {}

  private final Map<String, Pledge> pledges = new HashMap<>();
  private final Map<NodeId, Long> releasedSequences = new HashMap<>();

  /** Records a pledge; returns false if the request is older than a release or another pledge. */
  boolean tryPledge(NodeId holder, long sequence, PledgedLease lease) {
    if (sequence <= releasedSequences.getOrDefault(holder, Long.MIN_VALUE)) {
      return false;
    }
    Pledge present = pledges.get(lease.leaseKey());
    if (present != null
        && (present.fencingNumber() > lease.fencingNumber()
            || present.holder().equals(holder) && present.sequence() > sequence)) {
      return false;
    }
    pledges.put(
        lease.leaseKey(), new Pledge(holder, lease.fencingNumber(), lease.renewal(), sequence));
    return true;
  }

  void release(NodeId holder, long sequence, List<String> leaseKeys) {
    releasedSequences.merge(holder, sequence, Math::max);
    for (String key : leaseKeys) {
      Pledge present = pledges.get(key);
      if (present != null && present.holder().equals(holder) && present.sequence() <= sequence) {
        pledges.remove(key);
      }
    }
  }

  /** Removes a pledge if the record proves that the holder no longer relies on it. */
  void onRecordRead(String key, DutyLease lease) {
    Pledge present = pledges.get(key);
    if (present == null) {
      return;
    }
    boolean hasEnded =
        lease.holder() == null
            || lease.fencingNumber() > present.fencingNumber()
            || !lease.frozen() && lease.renewal() > present.renewal();
    if (hasEnded) {
      pledges.remove(key);
    }
  }

  /** Returns whether a pledge to a run that has not ended forbids acquiring the lease. */
  boolean isPledged(String key, Set<NodeId> endedNodes) {
    Pledge present = pledges.get(key);
    return present != null && !endedNodes.contains(present.holder());
  }

  void removeHolder(NodeId node) {
    pledges.values().removeIf(pledge -> pledge.holder().equals(node));
    releasedSequences.remove(node);
  }
}
