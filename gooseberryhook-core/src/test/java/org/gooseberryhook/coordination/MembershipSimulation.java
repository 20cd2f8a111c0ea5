package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.ConfigurationMessage;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.protocol.PeerCodec;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;

/**
 * Runs the membership and configuration synchronization of several nodes in simulated time, with
 * lost, delayed and duplicated messages, pauses and a partition between the regions.
 */
final class MembershipSimulation {

  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int PLACES = 4;

  final List<Node> nodes = new ArrayList<>();
  final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final PeerCodec codec = new PeerCodec();
  private final double lossRate;
  private long eventCount;
  long nowNanos;
  boolean isPartitioned;

  /** Whether a node makes up for the ticks of a pause with their old times. */
  boolean isCatchingUpTicks;

  boolean isDroppingRefutations;
  boolean isDroppingPulls;

  /** Whether a node drops its configuration if a pushed entry does not follow its version. */
  boolean isResettingOnGaps;

  /** Ticks at which a node held a reachable running node dead, counted for each such pair. */
  int falseDeaths;

  private record Event(long atNanos, long order, Runnable step) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** A node and its present run. */
  final class Node {
    final int index;
    NodeId id;
    Membership membership;
    ConfigurationStore store;
    ConfigurationSync sync;
    boolean isUp = true;
    long pausedUntilNanos;
    long highestVersion;

    Node(int index) {
      this.index = index;
      start(1);
    }

    void start(long incarnation) {
      id = NodeId.of("10.0.0." + index + ":7000", incarnation);
      String place = "p" + index % PLACES;
      Member self =
          new Member(id, place, region(), "10.0.0." + index + ":80", MemberStatus.ALIVE, 0);
      membership = new Membership(self, List.of("10.0.0.0:7000", "10.0.0.1:7000"));
      store = new ConfigurationStore();
      sync = new ConfigurationSync(membership, store);
      highestVersion = 0;
      isUp = true;
      scheduleTick(this, id);
    }

    String region() {
      return index % PLACES < PLACES / 2 ? "khomas" : "nord-italia";
    }
  }

  MembershipSimulation(int nodeCount, double lossRate, long seed) {
    this.random = new SplittableRandom(seed);
    this.lossRate = lossRate;
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node(i));
    }
  }

  void runFor(long milliseconds) {
    long endNanos = nowNanos + milliseconds * MS;
    while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos;
      event.step.run();
    }
    nowNanos = endNanos;
  }

  void pause(int index, long milliseconds) {
    Node node = nodes.get(index);
    node.pausedUntilNanos = Math.max(node.pausedUntilNanos, nowNanos + milliseconds * MS);
  }

  void applyEntry(int index, ConfigurationLogEntry entry) {
    Node node = nodes.get(index);
    send(node, node.sync.onEntries(List.of(entry), nowNanos, random));
  }

  /** Returns whether all running nodes hold exactly the other running nodes alive. */
  boolean doViewsAgree() {
    for (Node node : nodes) {
      for (Node other : nodes) {
        if (node.isUp && node != other && isSeenAlive(node, other) != other.isUp) {
          return false;
        }
      }
    }
    return true;
  }

  private static boolean isSeenAlive(Node node, Node other) {
    return node.membership.getMembers().stream()
        .anyMatch(m -> m.id().equals(other.id) && m.status() == MemberStatus.ALIVE);
  }

  private void schedule(long atNanos, Runnable step) {
    events.add(new Event(atNanos, eventCount++, step));
  }

  private void scheduleTick(Node node, NodeId run) {
    schedule(nowNanos + Membership.TICK_NANOS + random.nextLong(5 * MS), () -> tick(node, run));
  }

  private void tick(Node node, NodeId run) {
    if (!node.isUp || !node.id.equals(run)) {
      return;
    }
    if (node.pausedUntilNanos > nowNanos) {
      long startNanos = nowNanos;
      schedule(node.pausedUntilNanos, () -> resume(node, run, startNanos));
      return;
    }
    send(node, node.membership.onTick(nowNanos, random));
    send(node, node.sync.onTick(nowNanos));
    countFalseDeaths(node);
    scheduleTick(node, run);
  }

  /** Continues after a pause; can first make up for the missed ticks, as a naive timer does. */
  private void resume(Node node, NodeId run, long startNanos) {
    for (long t = startNanos; isCatchingUpTicks && t < nowNanos; t += Membership.TICK_NANOS) {
      send(node, node.membership.onTick(t, random));
    }
    tick(node, run);
  }

  private void countFalseDeaths(Node node) {
    for (Member member : node.membership.getMembers()) {
      Node other = nodes.get(Integer.parseInt(member.address().split("[.:]")[3]));
      boolean isCutOff = isPartitioned && !other.region().equals(node.region());
      if (member.status() == MemberStatus.DEAD && other.isUp && other.id.equals(member.id())) {
        falseDeaths += isCutOff ? 0 : 1;
      }
    }
  }

  private void send(Node from, List<Outgoing> messages) {
    for (Outgoing outgoing : messages) {
      byte[] frame = codec.encode(from.id, 0, outgoing.message());
      Node to = nodes.get(Integer.parseInt(outgoing.address().split("[.:]")[3]));
      boolean isFar = !to.region().equals(from.region());
      int copies = random.nextInt(50) == 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        if (random.nextDouble() >= lossRate && !(isFar && isPartitioned)) {
          long delayNanos = MS / 5 + random.nextLong(isFar ? 40 * MS : 3 * MS);
          schedule(nowNanos + delayNanos, () -> deliver(to, frame));
        }
      }
    }
  }

  private void deliver(Node to, byte[] frame) {
    if (!to.isUp) {
      return;
    }
    if (to.pausedUntilNanos > nowNanos) {
      schedule(to.pausedUntilNanos + random.nextLong(MS), () -> deliver(to, frame));
      return;
    }
    PeerCodec.Decoded.Received received = (PeerCodec.Decoded.Received) codec.decode(frame);
    PeerMessage message = received.message();
    if (message instanceof ConfigurationMessage configuration) {
      if (isDroppingPulls && message instanceof ConfigurationMessage.ConfigPull) {
        return;
      }
      if (isResettingOnGaps
          && message instanceof ConfigurationMessage.ConfigPush push
          && push.entry().version() > to.store.get().version() + 1) {
        to.store = new ConfigurationStore();
        to.sync = new ConfigurationSync(to.membership, to.store);
      }
      send(to, to.sync.onMessage(received.sender(), configuration, nowNanos, random));
    } else if (message instanceof MembershipMessage membership) {
      if (isDroppingRefutations) {
        membership = withoutRefutations(membership);
      }
      long senderVersion = versionOf(membership);
      send(to, to.sync.onPeerVersion(received.sender(), senderVersion, nowNanos));
      send(to, to.membership.onMessage(received.sender(), membership, nowNanos, random));
    }
    long version = to.store.get().version();
    if (version < to.highestVersion) {
      throw new AssertionError(to.id + " went back to the lower version " + version);
    }
    to.highestVersion = version;
  }

  private static long versionOf(MembershipMessage message) {
    if (message instanceof MembershipMessage.Probe probe) {
      return probe.configurationVersion();
    }
    return message instanceof MembershipMessage.ProbeAnswer response
        ? response.configurationVersion()
        : MembershipMessage.NO_VERSION;
  }

  private static MembershipMessage withoutRefutations(MembershipMessage message) {
    if (message instanceof MembershipMessage.ProbeAnswer a) {
      List<Member> kept = a.claims().stream().filter(m -> m.refutation() == 0).toList();
      return new MembershipMessage.ProbeAnswer(
          a.sequence(), a.configurationVersion(), a.viewHash(), kept);
    }
    if (message instanceof MembershipMessage.Probe p) {
      List<Member> kept = p.claims().stream().filter(m -> m.refutation() == 0).toList();
      return new MembershipMessage.Probe(
          p.sequence(), p.configurationVersion(), p.viewHash(), kept);
    }
    return message;
  }
}
