package org.gooseberryhook.coordination;

import java.util.ArrayList;
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

  /** Claims in one message; at about 60 bytes each they stay below 512 bytes. */
  static final int MAX_CLAIMS_PER_MESSAGE = 8;

  /** Sends of a claim per doubling of the members. */
  private static final int SENDS_PER_DOUBLING = 3;

  private final Map<String, Waiting> waitingByAddress = new LinkedHashMap<>();

  private static final class Waiting {
    private final Member claim;
    private int sends;

    Waiting(Member claim) {
      this.claim = claim;
    }
  }

  void add(Member claim) {
    waitingByAddress.put(claim.address(), new Waiting(claim));
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

  /** Returns the least sent claims and counts them as sent. */
  List<Member> take(int memberCount) {
    if (waitingByAddress.isEmpty()) {
      return List.of();
    }
    int maxSends = SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(memberCount));
    List<Waiting> chosen = new ArrayList<>(waitingByAddress.values());
    if (chosen.size() > MAX_CLAIMS_PER_MESSAGE) {
      chosen.sort(Comparator.comparingInt(waiting -> waiting.sends));
      chosen = chosen.subList(0, MAX_CLAIMS_PER_MESSAGE);
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
