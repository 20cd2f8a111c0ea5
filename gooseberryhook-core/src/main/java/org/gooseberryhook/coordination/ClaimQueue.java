package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;

/**
 * Claims about members that still have to be sent, one per address. A claim is sent a number of
 * times that grows with the logarithm of the number of members, and is then removed. Not
 * thread-safe.
 */
final class ClaimQueue {

  /** Sends of a claim per doubling of the number of members. */
  private static final int SENDS_PER_DOUBLING = 2;

  /** A claim sent less often than this is gossiped in messages of its own besides the probes. */
  private static final int GOSSIPED_SENDS = 6;

  private final Map<String, QueuedClaim> claimsByAddress = new LinkedHashMap<>();

  private static final class QueuedClaim {
    private final Member claim;
    private int sends;

    QueuedClaim(Member claim) {
      this.claim = claim;
    }
  }

  void add(Member claim) {
    claimsByAddress.remove(claim.address());
    claimsByAddress.put(claim.address(), new QueuedClaim(claim.toClaim()));
  }

  void remove(String address) {
    claimsByAddress.remove(address);
  }

  /** Removes claims that members are suspect or dead. */
  void removeSuspectAndDead() {
    claimsByAddress
        .values()
        .removeIf(queued -> queued.claim.status().compareTo(MemberStatus.SUSPECT) >= 0);
  }

  boolean isEmpty() {
    return claimsByAddress.isEmpty();
  }

  boolean hasClaimsToGossip() {
    for (QueuedClaim queued : claimsByAddress.values()) {
      if (queued.sends < GOSSIPED_SENDS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the claims that were sent least often, the newest first, and counts them as sent. After
   * a partition hundreds of claims are queued, and a refutation that waits behind them comes too
   * late.
   */
  List<Member> selectToSend(int limit, int memberCount) {
    if (claimsByAddress.isEmpty() || limit == 0) {
      return List.of();
    }
    int maxSends = SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(memberCount));
    List<QueuedClaim> chosen = new ArrayList<>(claimsByAddress.values());
    if (chosen.size() > limit) {
      Collections.reverse(chosen);
      chosen.sort(Comparator.comparingInt(queued -> queued.sends));
      chosen = chosen.subList(0, limit);
    }
    List<Member> claims = new ArrayList<>(chosen.size());
    for (QueuedClaim queued : chosen) {
      queued.sends++;
      claims.add(queued.claim);
      if (queued.sends >= maxSends) {
        claimsByAddress.remove(queued.claim.address());
      }
    }
    return claims;
  }
}
