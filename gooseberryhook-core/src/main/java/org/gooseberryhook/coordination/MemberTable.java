package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;

/**
 * Table of the other members by address, with a hash of the present ones and the order in which
 * they are probed. Not thread-safe.
 */
final class MemberTable {

  /** Maximum members; at the limit the longest dead is removed, or else the new one is refused. */
  static final int MAX_MEMBERS = 1_000;

  /** Time for which dead members are kept and sometimes probed, because partitions last an hour. */
  private static final long DEAD_RETENTION_NANOS = TimeUnit.HOURS.toNanos(3);

  /** Share of the random probes that go to the own data centre; with the ring it is 0.8 of all. */
  private static final double OWN_PLACE_SHARE = 0.6;

  private static final Comparator<Member> RING_ORDER =
      Comparator.comparing(Member::place).thenComparing(Member::address);

  private final Member self;
  private final String ownPlace;
  private boolean isNextFromRing;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Long> deadSinceNanos = new HashMap<>();
  private final List<String> remainingInOwnPlace = new ArrayList<>();
  private final List<String> remainingElsewhere = new ArrayList<>();
  private int hash;
  private int presentCount;
  private long changeCount;

  MemberTable(Member self) {
    this.self = self;
    this.ownPlace = self.place();
  }

  Member get(String address) {
    return members.get(address);
  }

  Collection<Member> all() {
    return members.values();
  }

  int getHash() {
    return hash;
  }

  int getPresentCount() {
    return presentCount;
  }

  long getChangeCount() {
    return changeCount;
  }

  /** Stores a member; returns false if the table is full of members that are not dead. */
  boolean put(Member member, long nowNanos) {
    Member known = members.get(member.address());
    if (known == null && members.size() >= MAX_MEMBERS && !removeLongestDead()) {
      return false;
    }
    members.put(member.address(), member);
    addToSummary(known, -1);
    addToSummary(member, 1);
    if (member.status() == MemberStatus.DEAD) {
      deadSinceNanos.put(member.address(), nowNanos);
    } else {
      deadSinceNanos.remove(member.address());
    }
    changeCount++;
    return true;
  }

  void removeExpired(long nowNanos) {
    Iterator<Map.Entry<String, Long>> dead = deadSinceNanos.entrySet().iterator();
    while (dead.hasNext()) {
      Map.Entry<String, Long> entry = dead.next();
      if (nowNanos - entry.getValue() > DEAD_RETENTION_NANOS) {
        members.remove(entry.getKey());
        dead.remove();
        changeCount++;
      }
    }
  }

  /** Returns a random dead member, or null if there is none. */
  String chooseDead(RandomGenerator random) {
    if (deadSinceNanos.isEmpty()) {
      return null;
    }
    List<String> dead = new ArrayList<>(deadSinceNanos.keySet());
    Collections.sort(dead);
    return dead.get(random.nextInt(dead.size()));
  }

  /**
   * Returns the next member to probe, or null if no other is present. Every second probe goes to
   * the next member in the ring, that is, in the order of place and address, so that each member is
   * probed at least every two periods; random probes alone left one death in fifty unnoticed for
   * four periods. The other probes visit every member once in random order.
   */
  String chooseProbeTarget(RandomGenerator random) {
    isNextFromRing = !isNextFromRing;
    String successor = isNextFromRing ? getRingSuccessor() : null;
    if (successor != null) {
      return successor;
    }
    boolean isOwn = random.nextDouble() < OWN_PLACE_SHARE;
    String found = nextFromQueue(isOwn, random);
    return found != null ? found : nextFromQueue(!isOwn, random);
  }

  /** Returns the next member in the ring that is not suspect, or null if there is none. */
  private String getRingSuccessor() {
    Member first = null;
    Member following = null;
    for (Member member : members.values()) {
      if (member.status().compareTo(MemberStatus.SUSPECT) >= 0) {
        continue;
      }
      if (first == null || RING_ORDER.compare(member, first) < 0) {
        first = member;
      }
      boolean isAfter = RING_ORDER.compare(member, self) > 0;
      if (isAfter && (following == null || RING_ORDER.compare(member, following) < 0)) {
        following = member;
      }
    }
    if (following == null) {
      following = first;
    }
    return following == null ? null : following.address();
  }

  /** Returns up to {@code limit} random present members other than the excluded one. */
  List<String> choosePresent(int limit, String excludedAddress, RandomGenerator random) {
    List<String> candidates = new ArrayList<>();
    for (Member member : members.values()) {
      if (member.isPresent() && !member.address().equals(excludedAddress)) {
        candidates.add(member.address());
      }
    }
    shuffle(candidates, random);
    return candidates.size() <= limit ? candidates : candidates.subList(0, limit);
  }

  private String nextFromQueue(boolean isOwn, RandomGenerator random) {
    List<String> queue = isOwn ? remainingInOwnPlace : remainingElsewhere;
    for (int round = 0; round < 2; round++) {
      while (!queue.isEmpty()) {
        String address = queue.remove(queue.size() - 1);
        Member member = members.get(address);
        if (member != null && member.isPresent()) {
          return address;
        }
      }
      for (Member member : members.values()) {
        if (member.isPresent() && member.place().equals(ownPlace) == isOwn) {
          queue.add(member.address());
        }
      }
      shuffle(queue, random);
    }
    return null;
  }

  private static void shuffle(List<String> addresses, RandomGenerator random) {
    for (int i = addresses.size() - 1; i > 0; i--) {
      Collections.swap(addresses, i, random.nextInt(i + 1));
    }
  }

  private void addToSummary(Member member, int sign) {
    if (member != null && member.isPresent()) {
      presentCount += sign;
      hash += sign * hashOf(member);
    }
  }

  /**
   * Returns a member's part of the hash. Suspicion is left out, because it is settled within
   * seconds and differs between nodes.
   */
  static int hashOf(Member member) {
    int mixed = member.id().hashCode() * 31 + Long.hashCode(member.refutation());
    mixed = mixed * 31 + (member.status() == MemberStatus.LEAVING ? 1 : 0);
    return (mixed ^ (mixed >>> 15)) * 0x9E3779B9;
  }

  private boolean removeLongestDead() {
    String longest = null;
    for (Map.Entry<String, Long> entry : deadSinceNanos.entrySet()) {
      if (longest == null || entry.getValue() - deadSinceNanos.get(longest) < 0) {
        longest = entry.getKey();
      }
    }
    if (longest == null) {
      return false;
    }
    deadSinceNanos.remove(longest);
    members.remove(longest);
    return true;
  }
}
