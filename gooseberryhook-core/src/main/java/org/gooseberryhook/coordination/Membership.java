package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.MembershipMessage.IndirectAnswer;
import org.gooseberryhook.protocol.MembershipMessage.IndirectProbe;
import org.gooseberryhook.protocol.MembershipMessage.Join;
import org.gooseberryhook.protocol.MembershipMessage.MemberList;
import org.gooseberryhook.protocol.MembershipMessage.Probe;
import org.gooseberryhook.protocol.MembershipMessage.ProbeAnswer;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;

/**
 * Failure detection and the list of entry nodes, after SWIM: each node probes one member a second,
 * directly and then through peers; an unanswered member is suspect and dead if it does not refute
 * this in time. Claims travel inside the probes. The caller sends the returned messages. All
 * methods may be called from any thread.
 *
 * @since 0.1
 */
public final class Membership {

  /** Time between two calls of {@link #onTick}, in nanoseconds. */
  public static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time from suspicion to death, in nanoseconds. */
  public static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long PROBE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long DIRECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** A tick that comes later than this shows a pause of this node, not of others. */
  private static final long OWN_PAUSE_NANOS = 3 * TICK_NANOS;

  private static final long RECONNECT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** A whole list takes about 25 KB at 390 nodes, so lists are asked for rarely. */
  private static final long SYNC_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long JOIN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int INDIRECT_PEERS = 3;
  private static final int MAX_RELAYS = 256;
  private static final int RECHECKS_PER_TICK = 2;
  private static final int LEAVING_PROBES = 5;
  private static final int MEMBERS_PER_LIST = 100;

  private final MemberTable table;
  private final ClaimQueue claims = new ClaimQueue();
  private final Map<Long, PendingProbe> pending = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Map<String, Member> rechecks = new LinkedHashMap<>();
  private List<String> seeds;
  private Member self;
  private long sequence;
  private long configurationVersion = MembershipMessage.NO_VERSION;
  private long replacingIncarnation;
  private boolean hasTicked;
  private long lastTickNanos;
  private long nextProbeNanos;
  private long nextReconnectNanos;
  private long nextSyncNanos;
  private long nextJoinNanos;

  private record PendingProbe(String address, long sentNanos, boolean isIndirect) {}

  private record Relay(String askerAddress, long askerSequence, long expiresNanos) {}

  private record Suspicion(long deadlineNanos, boolean isOwn) {}

  /**
   * Creates a view with only this node in it.
   *
   * @param self this node, alive and with refutation number 0
   * @param seeds peer addresses to join through; the own address is ignored
   */
  public Membership(Member self, Collection<String> seeds) {
    this.self = self;
    this.seeds = withoutSelf(seeds);
    this.table = new MemberTable(self.place());
    claims.add(self);
  }

  /**
   * Sends probes, and moves suspicions and timeouts on.
   *
   * @param nowNanos monotonic time
   * @param random source of choices
   * @return messages to send
   */
  public synchronized List<Outgoing> onTick(long nowNanos, RandomGenerator random) {
    List<Outgoing> out = new ArrayList<>();
    if (!hasTicked) {
      start(nowNanos, random);
    } else if (nowNanos - lastTickNanos > OWN_PAUSE_NANOS) {
      onOwnPause(nowNanos);
    }
    lastTickNanos = nowNanos;
    relays.values().removeIf(relay -> nowNanos - relay.expiresNanos >= 0);
    checkPending(nowNanos, random, out);
    checkSuspicions(nowNanos);
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = nowNanos + PROBE_PERIOD_NANOS;
      probeNext(nowNanos, random, out);
    }
    sendRechecks(nowNanos, out);
    if (nowNanos - nextReconnectNanos >= 0) {
      nextReconnectNanos = nowNanos + RECONNECT_PERIOD_NANOS;
      table.forgetExpired(nowNanos);
      reconnect(nowNanos, random, out);
    }
    return out;
  }

  /**
   * Takes a message.
   *
   * @param sender the run that sent it
   * @param message the message
   * @param nowNanos monotonic time
   * @param random source of choices
   * @return messages to send
   */
  public synchronized List<Outgoing> onMessage(
      NodeId sender, MembershipMessage message, long nowNanos, RandomGenerator random) {
    Member known = table.get(sender.address());
    if (sender.address().equals(self.address())
        || (known != null && known.id().isReplacing(sender))) {
      return List.of();
    }
    List<Outgoing> out = new ArrayList<>();
    if (message instanceof Probe probe) {
      boolean hasRefuted = applyAll(probe.claims(), false, nowNanos);
      List<Member> carried = claimsFor(sender.address(), true, hasRefuted);
      out.add(
          new Outgoing(
              sender.address(),
              new ProbeAnswer(probe.sequence(), configurationVersion, viewHash(), carried)));
      compareViews(sender, probe.viewHash(), nowNanos, out);
    } else if (message instanceof ProbeAnswer answer) {
      onAnswer(sender, answer, nowNanos, out);
    } else if (message instanceof IndirectProbe asked) {
      applyAll(asked.claims(), false, nowNanos);
      relay(sender, asked, nowNanos, out);
    } else if (message instanceof IndirectAnswer answer) {
      pending.remove(answer.sequence());
    } else if (message instanceof Join join) {
      if (join.self().id().equals(sender)) {
        apply(join.self(), false, nowNanos);
      }
      sendList(sender.address(), out);
    } else if (message instanceof MemberList list) {
      applyAll(list.members(), true, nowNanos);
    }
    Member now = table.get(sender.address());
    if (now == null || sender.isReplacing(now.id())) {
      join(sender.address(), nowNanos, out);
    }
    return out;
  }

  /**
   * Announces that this node is stopping.
   *
   * @param random source of choices
   * @return messages to send
   */
  public synchronized List<Outgoing> leave(RandomGenerator random) {
    self = self.with(MemberStatus.LEAVING, self.refutation() + 1);
    claims.add(self);
    List<Outgoing> out = new ArrayList<>();
    for (String address : table.randomPresent(LEAVING_PROBES, null, random)) {
      out.add(new Outgoing(address, newProbe(++sequence, address, true)));
    }
    return out;
  }

  /**
   * Replaces the seeds, for example after a change of the VM list.
   *
   * @param newSeeds peer addresses; a hint only
   */
  public synchronized void setSeeds(Collection<String> newSeeds) {
    seeds = withoutSelf(newSeeds);
  }

  /**
   * Sets the version that probes carry.
   *
   * @param version version in force, or {@link MembershipMessage#NO_VERSION}
   */
  public synchronized void setConfigurationVersion(long version) {
    configurationVersion = version;
  }

  /**
   * Returns this node as others should see it.
   *
   * @return the member, never null
   */
  public synchronized Member getSelf() {
    return self;
  }

  /**
   * Returns the other members, also suspect, leaving and dead ones.
   *
   * @return a copy in no particular order
   */
  public synchronized List<Member> getMembers() {
    return List.copyOf(table.all());
  }

  /**
   * Returns a number that grows with each change of the other members.
   *
   * @return the number of changes so far
   */
  public synchronized long getChangeCount() {
    return table.getChangeCount();
  }

  /**
   * Returns the incarnation of a later run at this node's address. Others ignore this node then,
   * for example because its clock was behind at the start; the process must start again with a
   * higher incarnation.
   *
   * @return the incarnation, or 0 if there is none
   */
  public synchronized long getReplacingIncarnation() {
    return replacingIncarnation;
  }

  private void start(long nowNanos, RandomGenerator random) {
    hasTicked = true;
    nextProbeNanos = nowNanos + random.nextLong(PROBE_PERIOD_NANOS);
    nextReconnectNanos = nowNanos + random.nextLong(RECONNECT_PERIOD_NANOS);
    nextSyncNanos = nowNanos + random.nextLong(SYNC_PERIOD_NANOS);
    nextJoinNanos = nowNanos;
  }

  /** Answers and refutations may wait unread after a pause, so no verdict counts the pause. */
  private void onOwnPause(long nowNanos) {
    pending.clear();
    relays.clear();
    suspicions.replaceAll(
        (address, suspicion) -> new Suspicion(nowNanos + SUSPICION_NANOS, suspicion.isOwn));
  }

  private void checkPending(long nowNanos, RandomGenerator random, List<Outgoing> out) {
    Iterator<Map.Entry<Long, PendingProbe>> probes = pending.entrySet().iterator();
    List<Map.Entry<Long, PendingProbe>> turnedIndirect = new ArrayList<>();
    while (probes.hasNext()) {
      Map.Entry<Long, PendingProbe> entry = probes.next();
      PendingProbe probe = entry.getValue();
      long waitedNanos = nowNanos - probe.sentNanos;
      if (waitedNanos >= PROBE_TIMEOUT_NANOS) {
        probes.remove();
        suspect(probe.address, nowNanos);
      } else if (waitedNanos >= DIRECT_TIMEOUT_NANOS && !probe.isIndirect) {
        entry.setValue(new PendingProbe(probe.address, probe.sentNanos, true));
        turnedIndirect.add(entry);
      }
    }
    for (Map.Entry<Long, PendingProbe> entry : turnedIndirect) {
      String target = entry.getValue().address;
      for (String peer : table.randomPresent(INDIRECT_PEERS, target, random)) {
        List<Member> carried = claimsFor(peer, true, false);
        out.add(new Outgoing(peer, new IndirectProbe(entry.getKey(), target, carried)));
      }
    }
  }

  private void suspect(String address, long nowNanos) {
    Member member = table.get(address);
    if (member == null || member.status().compareTo(MemberStatus.SUSPECT) >= 0) {
      return;
    }
    Member suspect = member.with(MemberStatus.SUSPECT, member.refutation());
    store(suspect, nowNanos);
    suspicions.put(address, new Suspicion(nowNanos + SUSPICION_NANOS, true));
  }

  private void checkSuspicions(long nowNanos) {
    List<String> expired = new ArrayList<>();
    suspicions.forEach(
        (address, suspicion) -> {
          if (nowNanos - suspicion.deadlineNanos >= 0) {
            expired.add(address);
          }
        });
    for (String address : expired) {
      Member member = table.get(address);
      store(member.with(MemberStatus.DEAD, member.refutation()), nowNanos);
    }
  }

  private void probeNext(long nowNanos, RandomGenerator random, List<Outgoing> out) {
    String next = table.nextToProbe(random);
    if (next == null) {
      if (!seeds.isEmpty()) {
        join(seeds.get(random.nextInt(seeds.size())), nowNanos, out);
      }
      return;
    }
    probe(next, nowNanos, out);
    // The node that raised a suspicion makes sure that the suspect hears of it.
    suspicions.forEach(
        (address, suspicion) -> {
          if (suspicion.isOwn && !address.equals(next)) {
            probe(address, nowNanos, out);
          }
        });
  }

  private void probe(String address, long nowNanos, List<Outgoing> out) {
    sequence++;
    pending.put(sequence, new PendingProbe(address, nowNanos, false));
    out.add(new Outgoing(address, newProbe(sequence, address, true)));
  }

  private void sendRechecks(long nowNanos, List<Outgoing> out) {
    Iterator<Member> claimed = rechecks.values().iterator();
    for (int i = 0; i < RECHECKS_PER_TICK && claimed.hasNext(); i++) {
      Member claim = claimed.next();
      claimed.remove();
      Member known = table.get(claim.address());
      if (known != null && known.id().equals(claim.id()) && !isSettled(known, claim)) {
        sequence++;
        if (known.isPresent()) {
          pending.put(sequence, new PendingProbe(claim.address(), nowNanos, false));
        }
        Probe probe = new Probe(sequence, configurationVersion, viewHash(), List.of(claim));
        out.add(new Outgoing(claim.address(), probe));
      }
    }
  }

  private static boolean isSettled(Member known, Member claim) {
    return known.refutation() > claim.refutation();
  }

  /** Tries a dead member or a seed that is not a member, so that separated groups meet again. */
  private void reconnect(long nowNanos, RandomGenerator random, List<Outgoing> out) {
    List<String> missingSeeds = new ArrayList<>();
    for (String seed : seeds) {
      if (table.get(seed) == null) {
        missingSeeds.add(seed);
      }
    }
    String dead = table.randomDead(random);
    if (dead != null && (missingSeeds.isEmpty() || random.nextBoolean())) {
      // Other claims are kept back: after an isolation they would accuse live members.
      out.add(new Outgoing(dead, newProbe(++sequence, dead, false)));
    } else if (!missingSeeds.isEmpty()) {
      join(missingSeeds.get(random.nextInt(missingSeeds.size())), nowNanos, out);
    }
  }

  private void onAnswer(NodeId sender, ProbeAnswer answer, long nowNanos, List<Outgoing> out) {
    PendingProbe probe = pending.get(answer.sequence());
    if (probe != null && probe.address.equals(sender.address())) {
      pending.remove(answer.sequence());
    }
    Relay relay = relays.remove(answer.sequence());
    if (relay != null) {
      out.add(new Outgoing(relay.askerAddress, new IndirectAnswer(relay.askerSequence)));
    }
    if (applyAll(answer.claims(), false, nowNanos)) {
      join(sender.address(), nowNanos, out);
    }
    compareViews(sender, answer.viewHash(), nowNanos, out);
  }

  private void relay(NodeId sender, IndirectProbe asked, long nowNanos, List<Outgoing> out) {
    if (relays.size() >= MAX_RELAYS) {
      return;
    }
    sequence++;
    long expiresNanos = nowNanos + PROBE_TIMEOUT_NANOS;
    relays.put(sequence, new Relay(sender.address(), asked.sequence(), expiresNanos));
    out.add(new Outgoing(asked.targetAddress(), newProbe(sequence, asked.targetAddress(), true)));
  }

  private void compareViews(NodeId sender, int otherHash, long nowNanos, List<Outgoing> out) {
    boolean isQuiet = claims.isEmpty() && suspicions.isEmpty() && rechecks.isEmpty();
    if (otherHash != viewHash() && isQuiet && nowNanos - nextSyncNanos >= 0) {
      nextSyncNanos = nowNanos + SYNC_PERIOD_NANOS;
      out.add(new Outgoing(sender.address(), new Join(self)));
    }
  }

  private void join(String address, long nowNanos, List<Outgoing> out) {
    if (nowNanos - nextJoinNanos >= 0) {
      nextJoinNanos = nowNanos + JOIN_PERIOD_NANOS;
      out.add(new Outgoing(address, new Join(self)));
    }
  }

  private void sendList(String address, List<Outgoing> out) {
    List<Member> part = new ArrayList<>();
    part.add(self);
    for (Member member : table.all()) {
      if (!member.address().equals(address)) {
        part.add(member);
      } else if (!member.isPresent()) {
        part.add(member);
      }
      if (part.size() == MEMBERS_PER_LIST) {
        out.add(new Outgoing(address, new MemberList(part)));
        part.clear();
      }
    }
    if (!part.isEmpty()) {
      out.add(new Outgoing(address, new MemberList(part)));
    }
  }

  private Probe newProbe(long number, String address, boolean withOthers) {
    List<Member> carried = claimsFor(address, withOthers, false);
    return new Probe(number, configurationVersion, viewHash(), carried);
  }

  /** A member that is thought suspect or dead is told so each time, because only it can refute. */
  private List<Member> claimsFor(String address, boolean withOthers, boolean withSelf) {
    List<Member> carried = new ArrayList<>();
    Member receiver = table.get(address);
    if (receiver != null && receiver.status().compareTo(MemberStatus.SUSPECT) >= 0) {
      carried.add(receiver);
    }
    if (withSelf) {
      carried.add(self);
    }
    if (withOthers) {
      carried.addAll(claims.take(table.getPresentCount() + 1));
    }
    return carried;
  }

  private int viewHash() {
    return table.getHash() + MemberTable.hashOf(self);
  }

  private boolean applyAll(List<Member> heard, boolean isList, long nowNanos) {
    boolean hasRefuted = false;
    for (Member claim : heard) {
      hasRefuted |= apply(claim, isList, nowNanos);
    }
    return hasRefuted;
  }

  /** Returns whether this node refuted the claim. */
  private boolean apply(Member claim, boolean isList, long nowNanos) {
    if (claim.address().equals(self.address())) {
      return refute(claim);
    }
    Member known = table.get(claim.address());
    if (known == null) {
      // Whole lists and old deaths are not news, so they are not passed on.
      store(claim, !isList && claim.isPresent(), nowNanos);
      return false;
    }
    boolean isSameRun = known.id().equals(claim.id());
    if (!claim.isOverriding(known)) {
      boolean isDoubtful = known.refutation() == claim.refutation() && claim.isPresent();
      if (isList && isSameRun && isDoubtful && !known.isPresent()) {
        rechecks.put(known.address(), known);
      }
      return false;
    }
    boolean isAccused = claim.status() == MemberStatus.DEAD && isSameRun;
    if (isAccused && known.status().compareTo(MemberStatus.SUSPECT) < 0) {
      // The accuser may have been cut off itself, so the member gets the time to refute.
      if (isList) {
        rechecks.put(claim.address(), claim);
      } else {
        store(claim.with(MemberStatus.SUSPECT, claim.refutation()), nowNanos);
      }
      return false;
    }
    store(claim, nowNanos);
    return false;
  }

  private void store(Member member, long nowNanos) {
    store(member, true, nowNanos);
  }

  private void store(Member member, boolean isNews, long nowNanos) {
    if (!table.put(member, nowNanos)) {
      return;
    }
    if (isNews) {
      claims.add(member);
    }
    if (member.status() == MemberStatus.SUSPECT) {
      suspicions.put(member.address(), new Suspicion(nowNanos + SUSPICION_NANOS, false));
    } else {
      suspicions.remove(member.address());
    }
  }

  private boolean refute(Member claim) {
    if (claim.id().incarnation() > self.id().incarnation()) {
      replacingIncarnation = Math.max(replacingIncarnation, claim.id().incarnation());
      return false;
    }
    boolean isWrong = claim.id().equals(self.id()) && claim.isOverriding(self);
    if (!isWrong) {
      return false;
    }
    if (claim.status() == MemberStatus.DEAD) {
      // Others lost contact with this node, so its own accusations are in doubt.
      claims.removeAccusations();
    }
    self = self.with(self.status(), claim.refutation() + 1);
    claims.add(self);
    return true;
  }

  private List<String> withoutSelf(Collection<String> addresses) {
    List<String> others = new ArrayList<>();
    for (String address : addresses) {
      if (!address.equals(self.address())) {
        others.add(address);
      }
    }
    return others;
  }
}
