package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.protocol.MembershipMessage.MemberList;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;

/**
 * View of the cluster at one node: its own member, the other members, and the claims to send to
 * others. A claim is the status of a member as one node has observed it or the member has announced
 * it; a member refutes the claim that it is suspect or dead by raising its refutation number. Not
 * thread-safe.
 */
final class MemberView {

  private static final int MEMBERS_PER_LIST = 100;

  private final MemberTable table;
  private final ClaimQueue claims = new ClaimQueue();
  private final Suspicions suspicions = new Suspicions();
  private final Map<String, Member> claimsToVerify = new LinkedHashMap<>();
  private Member self;
  private long replacingIncarnation;

  MemberView(Member self) {
    this.self = self;
    this.table = new MemberTable(self);
    claims.add(self);
  }

  Member getSelf() {
    return self;
  }

  MemberTable getTable() {
    return table;
  }

  Suspicions getSuspicions() {
    return suspicions;
  }

  long getReplacingIncarnation() {
    return replacingIncarnation;
  }

  int getHash() {
    return table.getHash() + MemberTable.hashOf(self);
  }

  /**
   * Returns whether no claim, suspicion or check is pending that would explain the different view
   * of another node.
   */
  boolean isStable() {
    return claims.isEmpty() && suspicions.isEmpty() && claimsToVerify.isEmpty();
  }

  boolean hasClaimsToGossip() {
    return claims.hasClaimsToGossip();
  }

  void leave() {
    self = self.with(MemberStatus.LEAVING, self.refutation() + 1);
    claims.add(self);
  }

  /** Marks a member suspect that did not respond to this node. */
  void markSuspect(String address, long nowNanos) {
    Member member = table.get(address);
    if (member == null || !member.isPresent()) {
      return;
    }
    if (member.status() != MemberStatus.SUSPECT) {
      store(member.with(MemberStatus.SUSPECT, member.refutation()), true, nowNanos);
    }
    suspicions.addOwn(address, nowNanos);
  }

  /**
   * Settles expired suspicions. A member that this node suspects is declared dead. A member whose
   * suspicion was only reported is probed first, because its refutation may have been lost among
   * many claims.
   */
  void settleExpired(long nowNanos) {
    for (String address : suspicions.getExpired(nowNanos)) {
      Member member = table.get(address);
      boolean isOwn = suspicions.isOwn(address);
      suspicions.remove(address);
      if (member != null && isOwn) {
        store(member.with(MemberStatus.DEAD, member.refutation()), true, nowNanos);
      } else if (member != null) {
        suspicions.addReported(address, nowNanos);
        claimsToVerify.put(address, member);
      }
    }
  }

  /** Declares a run of a member dead that is proved to have ended. */
  void declareEnded(NodeId id, long nowNanos) {
    Member member = table.get(id.address());
    if (member != null && member.id().equals(id) && member.status() != MemberStatus.DEAD) {
      suspicions.remove(id.address());
      store(member.with(MemberStatus.DEAD, member.refutation()), true, nowNanos);
    }
  }

  /**
   * Applies claims; returns whether one called this node suspect or dead, so that the sender must
   * get the refutation.
   */
  boolean applyAll(List<Member> received, boolean isList, long nowNanos) {
    boolean hasRefuted = false;
    for (Member claim : received) {
      if (claim.address().equals(self.address())) {
        hasRefuted |= refute(claim);
      } else {
        apply(claim, isList, nowNanos);
      }
    }
    return hasRefuted;
  }

  /**
   * Returns the claims for a message. A receiver that is held suspect or dead gets that claim each
   * time, because only it can refute it.
   */
  List<Member> selectClaims(String address, int limit, boolean withSelf) {
    List<Member> selected = new ArrayList<>();
    Member receiver = table.get(address);
    if (receiver != null && receiver.status().compareTo(MemberStatus.SUSPECT) >= 0) {
      selected.add(receiver.toClaim());
    }
    if (withSelf) {
      selected.add(self);
    }
    selected.addAll(claims.selectToSend(limit, table.getPresentCount() + 1));
    return selected;
  }

  /**
   * Returns the whole view in parts, this node first. The receiver is left out unless it is held
   * dead.
   */
  List<MemberList> toMemberLists(String address) {
    List<Member> all = new ArrayList<>();
    all.add(self);
    for (Member member : table.all()) {
      if (!member.address().equals(address) || !member.isPresent()) {
        all.add(member);
      }
    }
    List<MemberList> parts = new ArrayList<>();
    for (int from = 0; from < all.size(); from += MEMBERS_PER_LIST) {
      parts.add(new MemberList(all.subList(from, Math.min(all.size(), from + MEMBERS_PER_LIST))));
    }
    return parts;
  }

  /** Returns the next claim to verify by probing its member, or null if there is none. */
  Member nextClaimToVerify() {
    Iterator<Member> iterator = claimsToVerify.values().iterator();
    while (iterator.hasNext()) {
      Member claim = iterator.next();
      iterator.remove();
      Member known = table.get(claim.address());
      boolean isUndecided =
          known != null
              && known.id().equals(claim.id())
              && known.refutation() <= claim.refutation();
      if (isUndecided) {
        return claim;
      }
    }
    return null;
  }

  private void apply(Member received, boolean isList, long nowNanos) {
    Member known = table.get(received.address());
    Member claim = received;
    if (received.isBrief()) {
      if (known == null || !known.id().equals(received.id())) {
        // The comparison of whole views adds members whose introduction was lost.
        return;
      }
      claim = known.with(received.status(), received.refutation());
    }
    if (known == null) {
      // Whole lists and old deaths are not new to others, so they are not sent on.
      store(claim, !isList && claim.isPresent(), nowNanos);
      return;
    }
    boolean isSameRun = known.id().equals(claim.id());
    if (!claim.isOverriding(known)) {
      boolean isAliveForSender = claim.isPresent() && !known.isPresent();
      if (isList && isSameRun && isAliveForSender && known.refutation() == claim.refutation()) {
        claimsToVerify.put(known.address(), known);
      }
      return;
    }
    boolean isReportedDead = claim.status() == MemberStatus.DEAD && isSameRun;
    if (isReportedDead && known.status().compareTo(MemberStatus.SUSPECT) < 0) {
      // The node that made the claim may have been cut off itself, so this node probes the member.
      claimsToVerify.put(claim.address(), claim);
      return;
    }
    store(claim, true, nowNanos);
  }

  private void store(Member member, boolean isNew, long nowNanos) {
    if (!table.put(member, nowNanos)) {
      return;
    }
    if (isNew) {
      claims.add(member);
    }
    if (member.status() == MemberStatus.SUSPECT) {
      suspicions.addReported(member.address(), nowNanos);
    } else {
      suspicions.remove(member.address());
    }
  }

  private boolean refute(Member claim) {
    if (claim.id().incarnation() > self.id().incarnation()) {
      replacingIncarnation = Math.max(replacingIncarnation, claim.id().incarnation());
      return false;
    }
    boolean isSuspectOrDead = claim.status().compareTo(MemberStatus.SUSPECT) >= 0;
    if (!claim.id().equals(self.id()) || !isSuspectOrDead) {
      return false;
    }
    if (!claim.isOverriding(self)) {
      // It was refuted before, but the sender has not received the refutation.
      return true;
    }
    if (claim.status() == MemberStatus.DEAD) {
      // Others lost contact with this node, so its claims that others are suspect or dead are in
      // doubt.
      claims.removeSuspectAndDead();
    }
    self = self.with(self.status(), claim.refutation() + 1);
    claims.add(self);
    return true;
  }
}
