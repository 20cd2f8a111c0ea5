package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.MembershipMessage.Gossip;
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
 * Detects failures and keeps the list of entry nodes with the SWIM protocol: each node probes one
 * member a second, directly and then through peers; a member that does not respond is suspect, and
 * dead if it does not refute this in time. Probes carry claims about the status of members. The
 * caller sends the returned messages. Thread-safe.
 *
 * @since 0.1
 */
public final class Membership {

  /** Time between two calls of {@link #onTick}, in nanoseconds. */
  public static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long PROBE_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Period of gossip messages besides the probes; one short message takes about 300 bytes. */
  private static final long GOSSIP_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** A tick that comes later than this shows a pause of this node, not of others. */
  private static final long OWN_PAUSE_NANOS = 3 * TICK_NANOS;

  private static final long RECONNECT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** A whole list takes about 25 KB at 390 nodes, so lists are requested rarely after a while. */
  private static final long MAX_SYNC_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long MIN_SYNC_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long JOIN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int INDIRECT_PEERS = 3;
  private static final int LEAVE_NOTICES = 5;

  /**
   * Maximum nodes notified of an ended run; this covers all nodes of a small cluster, in which few
   * nodes have a connection to the ended one.
   */
  private static final int MAX_ENDED_NOTICES = 8;

  /** At 35 to 65 bytes a claim, probes and gossip together stay below 2 KB/s in each direction. */
  private static final int CLAIMS_PER_PROBE = 10;

  private static final int CLAIMS_PER_GOSSIP = 6;

  private final MemberView view;
  private final MemberTable table;
  private final ProbeTracker probes = new ProbeTracker();
  private List<String> seeds;
  private long configurationVersion = MembershipMessage.NO_VERSION;
  private boolean hasTicked;
  private long lastTickNanos;
  private long nextProbeNanos;
  private long nextGossipNanos;
  private long nextReconnectNanos;
  private long nextSyncNanos;
  private long syncPeriodNanos = MIN_SYNC_PERIOD_NANOS;
  private long nextJoinNanos;

  /**
   * Creates a membership with only this node in it.
   *
   * @param self this node, alive and with refutation number 0
   * @param seeds peer addresses to join through; the own address is ignored
   */
  public Membership(Member self, Collection<String> seeds) {
    this.view = new MemberView(self);
    this.table = view.getTable();
    this.seeds = withoutSelf(seeds);
  }

  /**
   * Returns due probes and gossip, and settles expired probes and suspicions. Must be called every
   * {@link #TICK_NANOS}.
   *
   * @param nowNanos monotonic time
   * @param random random source for the choice of members and times
   * @return messages to send
   */
  public synchronized List<Outgoing> onTick(long nowNanos, RandomGenerator random) {
    List<Outgoing> out = new ArrayList<>();
    if (!hasTicked) {
      startTimers(nowNanos, random);
    } else if (nowNanos - lastTickNanos > OWN_PAUSE_NANOS) {
      onOwnPause(nowNanos);
    }
    lastTickNanos = nowNanos;
    checkProbes(nowNanos, random, out);
    view.settleExpired(nowNanos);
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = nowNanos + PROBE_PERIOD_NANOS;
      probeNext(nowNanos, random, out);
    }
    if (nowNanos - nextGossipNanos >= 0 && view.hasClaimsToGossip()) {
      nextGossipNanos = nowNanos + GOSSIP_PERIOD_NANOS;
      gossip(random, out);
    }
    sendVerification(nowNanos, out);
    if (nowNanos - nextReconnectNanos >= 0) {
      nextReconnectNanos = nowNanos + RECONNECT_PERIOD_NANOS;
      table.removeExpired(nowNanos);
      reconnect(nowNanos, random, out);
    }
    return out;
  }

  /**
   * Handles a message.
   *
   * @param sender the run that sent it
   * @param message the message
   * @param nowNanos monotonic time
   * @param random random source for the choice of members and times
   * @return messages to send
   */
  public synchronized List<Outgoing> onMessage(
      NodeId sender, MembershipMessage message, long nowNanos, RandomGenerator random) {
    Member known = table.get(sender.address());
    if (sender.address().equals(view.getSelf().address())) {
      return List.of();
    }
    if (known != null && known.id().isReplacing(sender)) {
      // A run whose clock was behind at its start must be informed why it is ignored.
      return List.of(new Outgoing(sender.address(), new Gossip(List.of(known.toClaim()))));
    }
    List<Outgoing> out = new ArrayList<>();
    if (message instanceof Probe probe) {
      onProbe(sender, probe, nowNanos, out);
    } else if (message instanceof ProbeAnswer response) {
      onProbeAnswer(sender, response, nowNanos, out);
    } else if (message instanceof IndirectProbe request) {
      view.applyAll(request.claims(), false, nowNanos);
      relay(sender, request, nowNanos, out);
    } else if (message instanceof IndirectAnswer response) {
      probes.onIndirectResponse(response.sequence());
    } else if (message instanceof Gossip gossip) {
      applyAndRefute(sender, gossip.claims(), nowNanos, out);
    } else if (message instanceof Join join) {
      if (join.self().id().equals(sender)) {
        view.applyAll(List.of(join.self()), false, nowNanos);
      }
      view.toMemberLists(sender.address()).forEach(l -> out.add(new Outgoing(sender.address(), l)));
    } else if (message instanceof MemberList list) {
      view.applyAll(list.members(), true, nowNanos);
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
   * @param random random source for the choice of members
   * @return messages to send
   */
  public synchronized List<Outgoing> leave(RandomGenerator random) {
    view.leave();
    List<Outgoing> out = new ArrayList<>();
    for (String address : table.choosePresent(LEAVE_NOTICES, null, random)) {
      out.add(new Outgoing(address, newProbe(probes.nextSequence(), address, CLAIMS_PER_PROBE)));
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
   * Sets the configuration version that probes carry.
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
    return view.getSelf();
  }

  /**
   * Handles the proof that a run has ended, for example a refused connection to its address. The
   * member is declared dead at once; a later run at the address is not affected.
   *
   * @param id the run
   * @param nowNanos monotonic time
   * @return messages that notify others, so that they look for a proof themselves
   */
  public synchronized List<Outgoing> onRunEnded(NodeId id, long nowNanos) {
    view.declareEnded(id, nowNanos);
    List<Outgoing> out = new ArrayList<>();
    // Others get the claim by gossip within seconds; those notified now may be the next lease
    // holders.
    for (Member member : table.all()) {
      if (member.status() == MemberStatus.ALIVE && out.size() < MAX_ENDED_NOTICES) {
        String address = member.address();
        out.add(new Outgoing(address, newProbe(probes.nextSequence(), address, CLAIMS_PER_GOSSIP)));
      }
    }
    return out;
  }

  /**
   * Returns the other members, including suspect, leaving and dead ones.
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
   * Returns the incarnation of a later run at this node's address. Others then ignore this node,
   * for example because its clock was behind at the start; the process must restart with a higher
   * incarnation.
   *
   * @return the incarnation, or 0 if there is none
   */
  public synchronized long getReplacingIncarnation() {
    return view.getReplacingIncarnation();
  }

  private void startTimers(long nowNanos, RandomGenerator random) {
    hasTicked = true;
    nextProbeNanos = nowNanos + random.nextLong(PROBE_PERIOD_NANOS);
    nextGossipNanos = nowNanos;
    nextReconnectNanos = nowNanos + random.nextLong(RECONNECT_PERIOD_NANOS);
    nextSyncNanos = nowNanos + random.nextLong(MIN_SYNC_PERIOD_NANOS);
    nextJoinNanos = nowNanos;
  }

  /** Discards open probes and restarts suspicions: responses may be unread after a pause. */
  private void onOwnPause(long nowNanos) {
    probes.clear();
    view.getSuspicions().restartTimers(nowNanos);
  }

  private void checkProbes(long nowNanos, RandomGenerator random, List<Outgoing> out) {
    for (ProbeTracker.OverdueProbe probe : probes.markOverdue(nowNanos)) {
      for (String peer : table.choosePresent(INDIRECT_PEERS, probe.address(), random)) {
        List<Member> claims = view.selectClaims(peer, CLAIMS_PER_GOSSIP, false);
        out.add(new Outgoing(peer, new IndirectProbe(probe.sequence(), probe.address(), claims)));
      }
    }
    for (String address : probes.removeFailed(nowNanos)) {
      view.markSuspect(address, nowNanos);
    }
  }

  private void probeNext(long nowNanos, RandomGenerator random, List<Outgoing> out) {
    String next = table.chooseProbeTarget(random);
    if (next == null) {
      if (!seeds.isEmpty()) {
        join(seeds.get(random.nextInt(seeds.size())), nowNanos, out);
      }
      return;
    }
    probe(next, nowNanos, out);
    // The node that raised a suspicion also probes the suspect, so that it can refute the claim.
    for (String suspect : view.getSuspicions().getOwn()) {
      if (!suspect.equals(next)) {
        probe(suspect, nowNanos, out);
      }
    }
  }

  private void probe(String address, long nowNanos, List<Outgoing> out) {
    long number = probes.addOwn(address, nowNanos);
    out.add(new Outgoing(address, newProbe(number, address, CLAIMS_PER_PROBE)));
  }

  private void gossip(RandomGenerator random, List<Outgoing> out) {
    for (String peer : table.choosePresent(1, null, random)) {
      out.add(new Outgoing(peer, new Gossip(view.selectClaims(peer, CLAIMS_PER_GOSSIP, false))));
    }
  }

  /**
   * Probes the member of at most one disputed claim in each tick, which bounds the traffic of a
   * rejoin.
   */
  private void sendVerification(long nowNanos, List<Outgoing> out) {
    Member claim = view.nextClaimToVerify();
    if (claim == null) {
      return;
    }
    boolean isPresent = table.get(claim.address()).isPresent();
    long number = isPresent ? probes.addOwn(claim.address(), nowNanos) : probes.nextSequence();
    Probe probe = new Probe(number, configurationVersion, view.getHash(), List.of(claim.toClaim()));
    out.add(new Outgoing(claim.address(), probe));
  }

  /** Contacts a dead member or a seed that is not a member, so that separated groups join again. */
  private void reconnect(long nowNanos, RandomGenerator random, List<Outgoing> out) {
    List<String> missingSeeds = new ArrayList<>();
    for (String seed : seeds) {
      if (table.get(seed) == null) {
        missingSeeds.add(seed);
      }
    }
    String dead = table.chooseDead(random);
    if (dead != null && (missingSeeds.isEmpty() || random.nextBoolean())) {
      // Other claims are left out: after an isolation they would call live members dead.
      out.add(new Outgoing(dead, newProbe(probes.nextSequence(), dead, 0)));
    } else if (!missingSeeds.isEmpty()) {
      join(missingSeeds.get(random.nextInt(missingSeeds.size())), nowNanos, out);
    }
  }

  private void onProbe(NodeId sender, Probe probe, long nowNanos, List<Outgoing> out) {
    boolean hasRefuted = view.applyAll(probe.claims(), false, nowNanos);
    List<Member> claims = view.selectClaims(sender.address(), CLAIMS_PER_PROBE, hasRefuted);
    ProbeAnswer response =
        new ProbeAnswer(probe.sequence(), configurationVersion, view.getHash(), claims);
    out.add(new Outgoing(sender.address(), response));
    compareViews(sender, probe.viewHash(), nowNanos, out);
  }

  private void onProbeAnswer(
      NodeId sender, ProbeAnswer response, long nowNanos, List<Outgoing> out) {
    ProbeTracker.RelayedProbe relay = probes.onResponse(response.sequence(), sender.address());
    if (relay != null) {
      out.add(
          new Outgoing(relay.requesterAddress(), new IndirectAnswer(relay.requesterSequence())));
    }
    applyAndRefute(sender, response.claims(), nowNanos, out);
    compareViews(sender, response.viewHash(), nowNanos, out);
  }

  /**
   * Applies claims and responds to those that call this node suspect or dead. A newly refuted claim
   * is answered by a join, because the sender may be of a group that was separated; its whole list
   * takes 25 KB, so repetitions of the claim are answered by the refutation only.
   */
  private void applyAndRefute(
      NodeId sender, List<Member> claims, long nowNanos, List<Outgoing> out) {
    long refutationBefore = view.getSelf().refutation();
    if (!view.applyAll(claims, false, nowNanos)) {
      return;
    }
    if (view.getSelf().refutation() != refutationBefore) {
      join(sender.address(), nowNanos, out);
    } else {
      out.add(new Outgoing(sender.address(), new Gossip(List.of(view.getSelf().toClaim()))));
    }
  }

  private void relay(NodeId sender, IndirectProbe request, long nowNanos, List<Outgoing> out) {
    long number = probes.addRelayed(sender.address(), request.sequence(), nowNanos);
    if (number != 0) {
      Probe probe = newProbe(number, request.targetAddress(), CLAIMS_PER_GOSSIP);
      out.add(new Outgoing(request.targetAddress(), probe));
    }
  }

  /**
   * Requests the whole view of a node whose view differs. Pending claims explain a difference, but
   * a node that has just started, or has just met many others, has made few such requests yet and
   * does not wait for the claims.
   */
  private void compareViews(NodeId sender, int otherHash, long nowNanos, List<Outgoing> out) {
    boolean isSyncingOften = syncPeriodNanos < MAX_SYNC_PERIOD_NANOS;
    if (otherHash == view.getHash() || nowNanos - nextSyncNanos < 0) {
      return;
    }
    if (isSyncingOften || view.isStable()) {
      nextSyncNanos = nowNanos + syncPeriodNanos;
      syncPeriodNanos = Math.min(MAX_SYNC_PERIOD_NANOS, 2 * syncPeriodNanos);
      out.add(new Outgoing(sender.address(), new Join(view.getSelf())));
    }
  }

  private void join(String address, long nowNanos, List<Outgoing> out) {
    if (nowNanos - nextJoinNanos >= 0) {
      nextJoinNanos = nowNanos + JOIN_PERIOD_NANOS;
      out.add(new Outgoing(address, new Join(view.getSelf())));
    }
  }

  private Probe newProbe(long number, String address, int claimLimit) {
    List<Member> claims = view.selectClaims(address, claimLimit, false);
    return new Probe(number, configurationVersion, view.getHash(), claims);
  }

  private List<String> withoutSelf(Collection<String> addresses) {
    List<String> others = new ArrayList<>();
    for (String address : addresses) {
      if (!address.equals(view.getSelf().address())) {
        others.add(address);
      }
    }
    return others;
  }
}
