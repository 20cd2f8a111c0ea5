package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.ConfigurationSync;
import org.gooseberryhook.coordination.Membership;
import org.gooseberryhook.protocol.ConfigurationMessage;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.protocol.PeerCodec;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;

/**
 * Simulates a cluster of entry nodes in one process. Messages are encoded and decoded as on the
 * wire and may be lost; nodes pause, crash and restart, and regions can be partitioned.
 */
final class SimulatedCluster {

  /** TCP/IP and Ethernet overhead of a segment, in bytes. */
  private static final int FRAMING_BYTES = 66;

  private static final int LENGTH_BYTES = 4;
  private static final int SEGMENT_BYTES = 1_448;

  static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int DATA_CENTRE_COUNT = 8;
  private static final int SEED_COUNT = 9;
  private static final int MAX_PAUSE_MS = 1_500;

  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> nodesByAddress = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final PeerCodec codec = new PeerCodec();
  private final SplittableRandom random;
  private final double lossRate;
  private final double pauseSeconds;
  private final List<String> seeds = new ArrayList<>();
  private final Map<String, Long> deathNanos = new HashMap<>();
  private final List<Long> detectionNanos = new ArrayList<>();
  private final Map<Long, Long> acceptedNanos = new HashMap<>();
  private final List<Long> inForceNanos = new ArrayList<>();
  private final Map<Long, Long> everywhereNanos = new HashMap<>();
  private long eventCount;
  private long nowNanos;
  private boolean isPartitioned;
  private int falseAlarms;

  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** One entry node. */
  private static final class Node {
    private final int index;
    private final String address;
    private final String place;
    private final String region;
    private NodeId id;
    private Membership membership;
    private ConfigurationStore store;
    private ConfigurationSync sync;
    private boolean isUp;
    private long pausedUntilNanos;
    private long seenVersion;
    private long seenChangeCount;
    private final Map<String, MemberStatus> seen = new HashMap<>();
    private long bytesOut;
    private long bytesIn;
    private long messagesOut;

    Node(int index) {
      this.index = index;
      this.address = "10.1." + index / 250 + "." + (1 + index % 250) + ":7000";
      this.place = "place-" + index % DATA_CENTRE_COUNT;
      this.region = index % DATA_CENTRE_COUNT < DATA_CENTRE_COUNT / 2 ? "khomas" : "nord-italia";
    }
  }

  SimulatedCluster(
      int nodeCount, double lossRate, double pauseSeconds, Configuration configuration, long seed) {
    this.random = new SplittableRandom(seed);
    this.lossRate = lossRate;
    this.pauseSeconds = pauseSeconds;
    for (int i = 0; i < nodeCount; i++) {
      Node node = new Node(i);
      nodes.add(node);
      nodesByAddress.put(node.address, node);
      if (i < SEED_COUNT) {
        seeds.add(node.address);
      }
    }
    for (Node node : nodes) {
      start(node, 1);
      node.store.applySnapshot(configuration);
      node.sync.onHeadRead(configuration.version());
      node.seenVersion = configuration.version();
    }
  }

  /**
   * Traffic since the last reset.
   *
   * @param meanBytesOutPerSecond mean bytes sent per node and second
   * @param maxBytesPerSecond bytes sent and received per second by the node with the most
   * @param messagesPerSecond mean messages sent per node and second
   */
  record Traffic(
      double meanBytesOutPerSecond, double maxBytesPerSecond, double messagesPerSecond) {}

  void runFor(long durationNanos) {
    long endNanos = nowNanos + durationNanos;
    while (!events.isEmpty() && events.peek().atNanos <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos;
      event.action.run();
    }
    nowNanos = endNanos;
  }

  /**
   * Runs until all live nodes agree which nodes are live.
   *
   * @param limitNanos simulated time after which the run stops, in nanoseconds
   * @return simulated time that it took, in nanoseconds, or -1 after the limit
   */
  long runUntilAgreed(long limitNanos) {
    long startNanos = nowNanos;
    while (nowNanos - startNanos < limitNanos) {
      if (isAgreed()) {
        return nowNanos - startNanos;
      }
      runFor(SECOND_NANOS / 2);
    }
    return -1;
  }

  void resetTraffic() {
    for (Node node : nodes) {
      node.bytesOut = 0;
      node.bytesIn = 0;
      node.messagesOut = 0;
    }
  }

  Traffic getTraffic(double seconds) {
    long totalOut = 0;
    long totalMessages = 0;
    long maxBoth = 0;
    for (Node node : nodes) {
      totalOut += node.bytesOut;
      totalMessages += node.messagesOut;
      maxBoth = Math.max(maxBoth, node.bytesOut + node.bytesIn);
    }
    double nodeSeconds = nodes.size() * seconds;
    return new Traffic(totalOut / nodeSeconds, maxBoth / seconds, totalMessages / nodeSeconds);
  }

  /** Hands an accepted entry to a random live node, which distributes it. */
  void distribute(ConfigurationLogEntry entry) {
    Node node = randomLiveNode();
    acceptedNanos.put(entry.version(), nowNanos);
    send(node, node.sync.onEntries(List.of(entry), nowNanos, random));
    recordVersions(node);
  }

  /** Stops a random live node without notice. */
  void stopRandomNode() {
    Node node = randomLiveNode();
    node.isUp = false;
    deathNanos.put(node.address, nowNanos);
  }

  /**
   * Restarts a random live node with an empty configuration.
   *
   * @param limitNanos simulated time after which the run stops, in nanoseconds
   * @return simulated time until the node is ready, in nanoseconds, or -1 after the limit
   */
  long restartRandomNode(long limitNanos) {
    Node node = randomLiveNode();
    start(node, node.id.incarnation() + 1);
    long startNanos = nowNanos;
    while (nowNanos - startNanos < limitNanos) {
      runFor(SECOND_NANOS / 20);
      if (node.sync.isReady()) {
        return nowNanos - startNanos;
      }
    }
    return -1;
  }

  void setPartitioned(boolean partitioned) {
    isPartitioned = partitioned;
  }

  /** Returns how often a node marked a live and reachable node dead. */
  int getFalseAlarms() {
    return falseAlarms;
  }

  /** Returns the times from a crash until each live node marked the crashed node dead. */
  List<Long> getDetectionNanos() {
    return detectionNanos;
  }

  /** Returns the times from the acceptance of an entry until each node had it in force. */
  List<Long> getInForceNanos() {
    return inForceNanos;
  }

  /** Returns, for each entry, the time from its acceptance until the last node had it in force. */
  List<Long> getEverywhereNanos() {
    return new ArrayList<>(everywhereNanos.values());
  }

  /** Returns whether all live nodes have the same configuration version in force. */
  boolean isSameVersion() {
    return nodes.stream().filter(n -> n.isUp).map(n -> n.store.get().version()).distinct().count()
        == 1;
  }

  private boolean isAgreed() {
    long up = nodes.stream().filter(n -> n.isUp).count();
    for (Node node : nodes) {
      if (!node.isUp) {
        continue;
      }
      long present = 1;
      for (Member member : node.membership.getMembers()) {
        Node other = nodesByAddress.get(member.address());
        if (member.status() == MemberStatus.ALIVE && other.isUp && other.id.equals(member.id())) {
          present++;
        } else if (member.isPresent()) {
          return false;
        }
      }
      if (present != up) {
        return false;
      }
    }
    return true;
  }

  private void start(Node node, long incarnation) {
    node.id = NodeId.of(node.address, incarnation);
    String callerAddress = node.address.replace(":7000", ":8080");
    Member self =
        new Member(node.id, node.place, node.region, callerAddress, MemberStatus.ALIVE, 0);
    node.membership = new Membership(self, seeds);
    node.store = new ConfigurationStore();
    node.sync = new ConfigurationSync(node.membership, node.store);
    node.seen.clear();
    node.seenChangeCount = 0;
    node.isUp = true;
    NodeId incarnationId = node.id;
    schedule(nowNanos + random.nextLong(Membership.TICK_NANOS), () -> tick(node, incarnationId));
  }

  private Node randomLiveNode() {
    Node node;
    do {
      node = nodes.get(random.nextInt(nodes.size()));
    } while (!node.isUp);
    return node;
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, eventCount++, action));
  }

  private void tick(Node node, NodeId incarnationId) {
    if (!node.isUp || !node.id.equals(incarnationId)) {
      return;
    }
    send(node, node.membership.onTick(nowNanos, random));
    send(node, node.sync.onTick(nowNanos));
    recordDetections(node);
    long nextNanos = nowNanos + Membership.TICK_NANOS + random.nextLong(2 * MS);
    double ticksBetweenPauses = pauseSeconds * SECOND_NANOS / Membership.TICK_NANOS;
    if (random.nextDouble() < 1 / ticksBetweenPauses) {
      node.pausedUntilNanos = nowNanos + random.nextInt(MAX_PAUSE_MS) * MS;
      nextNanos = Math.max(nextNanos, node.pausedUntilNanos);
    }
    schedule(nextNanos, () -> tick(node, incarnationId));
  }

  private void send(Node from, List<Outgoing> messages) {
    for (Outgoing outgoing : messages) {
      byte[] frame = codec.encode(from.id, eventCount, outgoing.message());
      Node to = nodesByAddress.get(outgoing.address());
      from.bytesOut += wireBytes(frame);
      from.messagesOut++;
      boolean isOtherRegion = !to.region.equals(from.region);
      if (random.nextDouble() >= lossRate && !(isOtherRegion && isPartitioned)) {
        schedule(nowNanos + delayNanos(from, to), () -> deliver(to, frame));
      }
    }
  }

  /**
   * Returns the delay of a message: 0.3 ms within a data centre, 1 ms within a region, 20 ms
   * between regions, and up to half of that more at random.
   */
  private long delayNanos(Node from, Node to) {
    long baseNanos = 20 * MS;
    if (to.place.equals(from.place)) {
      baseNanos = 3 * MS / 10;
    } else if (to.region.equals(from.region)) {
      baseNanos = MS;
    }
    return baseNanos + random.nextLong(baseNanos / 2);
  }

  private void deliver(Node to, byte[] frame) {
    if (!to.isUp) {
      return;
    }
    if (to.pausedUntilNanos > nowNanos) {
      schedule(to.pausedUntilNanos + random.nextLong(MS), () -> deliver(to, frame));
      return;
    }
    to.bytesIn += wireBytes(frame);
    PeerCodec.Decoded.Received received = (PeerCodec.Decoded.Received) codec.decode(frame);
    NodeId sender = received.sender();
    if (received.message() instanceof ConfigurationMessage configuration) {
      send(to, to.sync.onMessage(sender, configuration, nowNanos, random));
    } else if (received.message() instanceof MembershipMessage membership) {
      send(to, to.sync.onPeerVersion(sender, versionOf(membership), nowNanos));
      send(to, to.membership.onMessage(sender, membership, nowNanos, random));
    }
    recordVersions(to);
  }

  private static int wireBytes(byte[] frame) {
    int bytes = frame.length + LENGTH_BYTES;
    int segments = (bytes + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
    return bytes + segments * FRAMING_BYTES;
  }

  private static long versionOf(MembershipMessage message) {
    if (message instanceof MembershipMessage.Probe probe) {
      return probe.configurationVersion();
    }
    return message instanceof MembershipMessage.ProbeAnswer answer
        ? answer.configurationVersion()
        : MembershipMessage.NO_VERSION;
  }

  private void recordVersions(Node node) {
    long version = node.store.get().version();
    while (node.seenVersion < version) {
      node.seenVersion++;
      Long accepted = acceptedNanos.get(node.seenVersion);
      if (accepted != null) {
        long waitedNanos = nowNanos - accepted;
        inForceNanos.add(waitedNanos);
        everywhereNanos.merge(node.seenVersion, waitedNanos, Math::max);
      }
    }
  }

  private void recordDetections(Node node) {
    if (node.membership.getChangeCount() == node.seenChangeCount) {
      return;
    }
    node.seenChangeCount = node.membership.getChangeCount();
    for (Member member : node.membership.getMembers()) {
      MemberStatus before = node.seen.put(member.address(), member.status());
      if (member.status() != MemberStatus.DEAD || before == MemberStatus.DEAD) {
        continue;
      }
      Node other = nodesByAddress.get(member.address());
      boolean isCutOff = isPartitioned && !other.region.equals(node.region);
      if (!other.isUp) {
        detectionNanos.add(nowNanos - deathNanos.get(other.address));
      } else if (other.id.equals(member.id()) && !isCutOff) {
        falseAlarms++;
      }
    }
  }
}
