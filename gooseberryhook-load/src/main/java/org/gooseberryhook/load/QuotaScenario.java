package org.gooseberryhook.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.coordination.HeldLease;
import org.gooseberryhook.coordination.OutgoingMessage;
import org.gooseberryhook.coordination.QuotaAdmission;
import org.gooseberryhook.coordination.QuotaDecision;
import org.gooseberryhook.coordination.QuotaGrantor;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.QuotaShard;
import org.gooseberryhook.coordination.RunningRequests;
import org.gooseberryhook.coordination.ShardNodeRanking;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.QuotaMessage.QuotaAsk;
import org.gooseberryhook.protocol.QuotaMessage.QuotaGiven;
import org.gooseberryhook.protocol.QuotaMessage.QuotaTerms;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PriorityClass;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * One run of {@link QuotaUtilization}. Leases are not simulated: another node takes over the shards
 * of a stopped grantor after a fixed time.
 */
final class QuotaScenario {

  /**
   * Stands for a node that never reports, as in the node itself: a grantor then waits until all
   * grants of earlier lease holders have expired.
   */
  private static final List<NodeId> UNKNOWN_NODES = List.of(NodeId.of("unknown", 0));

  /** The behaviour of demand and nodes during a run. */
  enum Pattern {
    SKEWED,
    MOVING,
    CHURN,
    PARTITION
  }

  /**
   * The measurements of one run. A share is relative to the request or token bound, whichever
   * limits the workspace.
   */
  record Report(
      double usedShare,
      double lowestShare,
      long waitP99Ms,
      double meanBytesPerSecond,
      double maxBytesPerSecond,
      double messagesPerSecond) {}

  private static final long MS = 1_000_000L;
  private static final long STEP_NANOS = 5 * MS;
  private static final long TICK_NANOS = 10 * MS;
  private static final long MEAN_DELAY_NANOS = MS;
  private static final int WARM_UP_SECONDS = 6;

  /** A request that waits longer is dropped, as an entry node would reject it. */
  private static final long MAX_WAIT_NANOS = 1_000 * MS;

  /** Quotient of 17M tokens/s and 48,000 requests/s. */
  private static final int TOKENS_PER_REQUEST = 354;

  private static final double ZIPF_EXPONENT = 1.1;
  private static final long MOVE_EVERY_NANOS = 5_000 * MS;
  private static final long KILL_EVERY_NANOS = 8_000 * MS;

  /** Sum of the time to live of a lease (3 s) and one read interval. */
  private static final long TAKEOVER_NANOS = 3_500 * MS;

  private static final long PARTITION_NANOS = 10_000 * MS;
  private static final int FRAME_BYTES = 4;

  private record Event(long atNanos, long order, Runnable action) {}

  private record Waiting(long sinceNanos, long tokens, long estimate) {}

  private static final class Node {
    NodeId id;
    QuotaGrantor grantor;
    QuotaHolder holder;
    final Map<String, HeldLease> leases = new HashMap<>();
    final Map<Integer, ArrayDeque<Waiting>> waiting = new HashMap<>();
    final Map<Integer, Long> retryAtNanos = new HashMap<>();
    long bytes;
    boolean isStopped;
    boolean isPartitioned;
  }

  private static final class Workspace {
    Contract contract;
    double offeredPerSecond;
    double backlog;
    boolean isTokenBound;
    long requests;
    long tokens;
    final List<Integer> ranking = new ArrayList<>();
  }

  private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final Histogram waitMs = new Histogram(60_000, 2);
  private final List<Node> nodes = new ArrayList<>();
  private final List<Workspace> workspaces = new ArrayList<>();
  private final Map<Integer, Node> grantorOf = new HashMap<>();
  private final Set<Integer> shards = new TreeSet<>();
  private final Map<NodeId, Node> byId = new HashMap<>();
  private final Random random;
  private final Pattern pattern;
  private final int spread;
  private final double[] zipf;
  private long nowNanos;
  private long order;
  private long lastTerm;
  private long incarnations;
  private long messages;
  private boolean isMeasuring;

  QuotaScenario(
      int nodeCount,
      int spread,
      int workspaceCount,
      double requestsPerSecondPerNode,
      double overload,
      Pattern pattern,
      long seed) {
    this.random = new Random(seed);
    this.pattern = pattern;
    this.spread = spread;
    this.zipf = toCumulativeZipf(spread, ZIPF_EXPONENT);
    double[] sizes = toCumulativeZipf(workspaceCount, 1.0);
    for (int index = 0; index < workspaceCount; index++) {
      double share = sizes[index] - (index == 0 ? 0 : sizes[index - 1]);
      addWorkspace(index, share * requestsPerSecondPerNode * nodeCount, overload, nodeCount);
    }
    for (int index = 0; index < nodeCount; index++) {
      nodes.add(start("10.0." + index / 250 + "." + index % 250 + ":7000"));
    }
    shards.forEach(shard -> takeOver(shard, List.of()));
  }

  private static double[] toCumulativeZipf(int count, double exponent) {
    double[] cumulative = new double[count];
    double sum = 0;
    for (int index = 0; index < count; index++) {
      sum += Math.pow(index + 1, -exponent);
      cumulative[index] = sum;
    }
    for (int index = 0; index < count; index++) {
      cumulative[index] /= sum;
    }
    return cumulative;
  }

  private void addWorkspace(int index, double rate, double overload, int nodeCount) {
    Workspace workspace = new Workspace();
    workspace.isTokenBound = index % 2 == 1;
    double requestRate = workspace.isTokenBound ? rate * 2 : rate;
    double tokenRate = (workspace.isTokenBound ? rate : rate * 2) * TOKENS_PER_REQUEST;
    workspace.contract =
        new Contract(
            String.format("workspace-%04d", index),
            PriorityClass.INTERACTIVE,
            requestRate,
            Math.max(4, requestRate),
            tokenRate,
            Math.max(20 * TOKENS_PER_REQUEST, tokenRate),
            (int) (rate * 8) + 50,
            null,
            null,
            1,
            1,
            0,
            30_000,
            null);
    workspace.offeredPerSecond = rate * overload;
    for (int node = 0; node < nodeCount; node++) {
      workspace.ranking.add(node);
    }
    Collections.shuffle(workspace.ranking, random);
    workspaces.add(workspace);
    shards.add(QuotaShard.of(workspace.contract.workspaceId()).index());
  }

  private Node start(String address) {
    Node node = new Node();
    node.id = NodeId.of(address, ++incarnations);
    RunningRequests running = new RunningRequests();
    node.grantor = new QuotaGrantor(node.id, running);
    node.holder =
        new QuotaHolder(node.id, node.grantor, running, shard -> getFirstRanked(shard.index()));
    for (Workspace workspace : workspaces) {
      node.grantor.setContract(workspace.contract, nowNanos);
      node.holder.setContract(workspace.contract);
    }
    byId.put(node.id, node);
    return node;
  }

  private NodeId getFirstRanked(int shard) {
    List<ShardNodeRanking.PlacedNode> live =
        nodes.stream()
            .filter(node -> !node.isStopped)
            .map(node -> new ShardNodeRanking.PlacedNode(node.id, ""))
            .toList();
    return ShardNodeRanking.rank(new QuotaShard(shard), live, "", 1).get(0);
  }

  private void takeOver(int shard, List<NodeId> earlierHolders) {
    Node node = byId.get(getFirstRanked(shard));
    grantorOf.put(shard, node);
    node.leases.put(new QuotaShard(shard).toLeaseKey(), new HeldLease(++lastTerm, Long.MAX_VALUE));
    node.grantor.setHeldLeases(node.leases, earlierHolders, UNKNOWN_NODES, nowNanos);
  }

  Report run(int seconds) {
    long warmUp = WARM_UP_SECONDS * 1000 * MS;
    long end = warmUp + seconds * 1000L * MS;
    if (pattern == Pattern.PARTITION) {
      schedule(warmUp + 2000 * MS, () -> setPartitioned(true));
      schedule(warmUp + 2000 * MS + PARTITION_NANOS, () -> setPartitioned(false));
    }
    while (nowNanos < end) {
      nowNanos += STEP_NANOS;
      isMeasuring = nowNanos > warmUp;
      while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
        events.poll().action().run();
      }
      applyPattern();
      workspaces.forEach(this::offer);
      for (int index = 0; index < nodes.size(); index++) {
        serve(nodes.get(index), index);
      }
    }
    return toReport(seconds);
  }

  private void applyPattern() {
    if (pattern == Pattern.MOVING && nowNanos % MOVE_EVERY_NANOS == 0) {
      workspaces.forEach(workspace -> Collections.shuffle(workspace.ranking, random));
    }
    if (pattern == Pattern.CHURN && nowNanos % KILL_EVERY_NANOS == 0) {
      kill(random.nextInt(nodes.size()));
    }
  }

  private void kill(int index) {
    Node killed = nodes.get(index);
    killed.isStopped = true;
    schedule(
        nowNanos + TAKEOVER_NANOS,
        () -> {
          nodes.set(index, start(killed.id.address()));
          List<NodeId> all = nodes.stream().map(node -> node.id).toList();
          nodes.forEach(node -> node.grantor.removeHolder(killed.id, nowNanos));
          shards.stream()
              .filter(shard -> grantorOf.get(shard) == killed)
              .toList()
              .forEach(shard -> takeOver(shard, all));
        });
  }

  private void setPartitioned(boolean isPartitioned) {
    for (int index = 0; index < nodes.size(); index += 3) {
      nodes.get(index).isPartitioned = isPartitioned;
    }
  }

  private void offer(Workspace workspace) {
    workspace.backlog += workspace.offeredPerSecond * STEP_NANOS / 1e9 * 2 * random.nextDouble();
    int number = workspaces.indexOf(workspace);
    while (workspace.backlog >= 1) {
      workspace.backlog--;
      int rank = Arrays.binarySearch(zipf, random.nextDouble());
      rank = Math.min(spread - 1, rank < 0 ? -rank - 1 : rank);
      Node node = nodes.get(workspace.ranking.get(rank));
      // Like max_tokens, the estimate exceeds the true count by up to that count.
      long tokens = TOKENS_PER_REQUEST / 2 + random.nextInt(TOKENS_PER_REQUEST);
      node.waiting
          .computeIfAbsent(number, key -> new ArrayDeque<>())
          .add(new Waiting(nowNanos, tokens, tokens + random.nextInt((int) tokens)));
    }
  }

  private void serve(Node node, int index) {
    if (node.isStopped) {
      node.waiting.clear();
      return;
    }
    node.waiting.forEach((number, queue) -> admit(node, number, queue));
    if ((nowNanos / STEP_NANOS + index) % (TICK_NANOS / STEP_NANOS) == 0) {
      node.grantor.tick(nowNanos).forEach(message -> send(node, message));
      node.holder.tick(nowNanos).forEach(message -> send(node, message));
    }
  }

  private void admit(Node node, int number, ArrayDeque<Waiting> queue) {
    Workspace workspace = workspaces.get(number);
    while (!queue.isEmpty() && nowNanos - queue.peek().sinceNanos() > MAX_WAIT_NANOS) {
      queue.poll();
    }
    if (node.retryAtNanos.getOrDefault(number, 0L) > nowNanos) {
      return;
    }
    while (!queue.isEmpty()) {
      Waiting request = queue.peek();
      QuotaDecision decision =
          node.holder.tryAdmit(workspace.contract.workspaceId(), 1, request.estimate(), nowNanos);
      if (decision instanceof QuotaDecision.Limited limited) {
        node.retryAtNanos.put(number, nowNanos + Math.min(20, limited.retryAfterMs()) * MS);
        return;
      }
      queue.poll();
      start(node, workspace, request, ((QuotaDecision.Admitted) decision).admission());
    }
  }

  private void start(Node node, Workspace workspace, Waiting request, QuotaAdmission admission) {
    if (isMeasuring) {
      workspace.requests++;
      workspace.tokens += request.tokens();
      waitMs.recordValue((nowNanos - request.sinceNanos()) / MS);
    }
    long duration = (200 + random.nextInt(2000)) * MS;
    schedule(
        nowNanos + duration,
        () -> {
          if (!node.isStopped) {
            node.holder.settle(admission, true, request.tokens(), nowNanos);
          }
        });
  }

  private void send(Node from, OutgoingMessage message) {
    count(from, message.message());
    Node to = byId.get(message.to());
    long delay = (long) (MEAN_DELAY_NANOS * (0.5 + random.nextDouble()));
    schedule(
        nowNanos + delay,
        () -> {
          if (!to.isStopped && !from.isStopped && to.isPartitioned == from.isPartitioned) {
            receive(to, from, message.message());
          }
        });
  }

  private void receive(Node to, Node from, PeerMessage message) {
    if (message instanceof QuotaAsk ask) {
      send(to, new OutgoingMessage(from.id, to.grantor.onQuotaAsk(from.id, ask, nowNanos)));
    } else if (message instanceof QuotaGiven given) {
      to.holder.onQuotaGiven(from.id, given, nowNanos);
    } else if (message instanceof QuotaTerms terms) {
      to.holder.onQuotaTerms(from.id, terms);
    }
  }

  private void count(Node from, PeerMessage message) {
    if (!isMeasuring) {
      return;
    }
    try {
      from.bytes += mapper.writeValueAsBytes(message).length + FRAME_BYTES;
      messages++;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode message " + message, e);
    }
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, order++, action));
  }

  private Report toReport(int seconds) {
    double used = 0;
    double bound = 0;
    double lowestShare = Double.MAX_VALUE;
    for (Workspace workspace : workspaces) {
      Contract contract = workspace.contract;
      double share =
          workspace.isTokenBound
              ? workspace.tokens / contract.tokensPerSecond() / seconds
              : workspace.requests / contract.requestsPerSecond() / seconds;
      double weight = workspace.offeredPerSecond;
      used += share * weight;
      bound += weight;
      lowestShare = Math.min(lowestShare, share);
    }
    long maxBytes = 0;
    long sum = 0;
    for (Node node : byId.values()) {
      maxBytes = Math.max(maxBytes, node.bytes);
      sum += node.bytes;
    }
    return new Report(
        used / bound,
        lowestShare,
        waitMs.getValueAtPercentile(99),
        (double) sum / nodes.size() / seconds,
        (double) maxBytes / seconds,
        (double) messages / nodes.size() / seconds);
  }
}
