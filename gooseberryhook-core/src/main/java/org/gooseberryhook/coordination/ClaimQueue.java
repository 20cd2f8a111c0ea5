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
 * Claims about members that still have to be sent, one per address. Each is sent a number of times
 * that grows with the logarithm of the number of members. Not safe for use by several threads.
 */
final class ClaimQueue {

  /** Sends of a claim per doubling of the members. */
  private static final int SENDS_PER_DOUBLING = 2;

  /** A claim that was sent less often is worth a message of its own. */
  private static final int URGENT_SENDS = 6;

  private final Map<String, Waiting> waitingByAddress = new LinkedHashMap<>();

  private static final class Waiting {
    private final Member claim;
    private int sends;

    Waiting(Member claim) {
      this.claim = claim;
    }
  }

  void add(Member claim) {
    waitingByAddress.remove(claim.address());
    waitingByAddress.put(claim.address(), new Waiting(claim.toClaim()));
  }

  void remove(String address) {
    waitingByAddress.remove(address);
  }

  /** Removes claims that others are suspect or dead. */
  void removeAccusations() {
    waitingByAddress
        .values()
        .removeIf(waiting -> waiting.claim.status().compareTo(MemberStatus.SUSPECT) >= 0);
  }

  boolean isEmpty() {
    return waitingByAddress.isEmpty();
  }

  boolean hasUrgent() {
    for (Waiting waiting : waitingByAddress.values()) {
      if (waiting.sends < URGENT_SENDS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the least sent claims, of these the newest, and counts them as sent. After a partition
   * hundreds of claims wait, and a refutation that waits behind them comes too late.
   */
  List<Member> take(int limit, int memberCount) {
    if (waitingByAddress.isEmpty() || limit == 0) {
      return List.of();
    }
    int maxSends = SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(memberCount));
    List<Waiting> chosen = new ArrayList<>(waitingByAddress.values());
    if (chosen.size() > limit) {
      Collections.reverse(chosen);
      chosen.sort(Comparator.comparingInt(waiting -> waiting.sends));
      chosen = chosen.subList(0, limit);
    }
    List<Member> claims = new ArrayList<>(chosen.size());
    for (Waiting waiting : chosen) {
      waiting.sends++;
      claims.add(waiting.claim);
      if (waiting.sends >= maxSends) {
        waitingByAddress.remove(waiting.claim.address());
      }
    }
    return claims;
  }
}
