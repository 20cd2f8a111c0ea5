import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store resets the connections of three machines of nine, among them the one that read the list
 * of replicas at first, and serves the others. Meanwhile replicas are replaced: the new one starts first, then
 * the entry of the old one is removed, which serves on for some seconds. Checks the rule DRAIN for
 * the requests that the other machines take and send.
 */
final class GoneCase {
  private static final double OUTAGE_S = 9.0;
  private static final double PAUSE_S = 3.5;
  private static final int OUTAGES = 6;
  private static final int REPLICAS = 7;
  private static final double REPLACE_AFTER_S = 2.7;
  private static final double REPLACE_EACH_S = 0.8;
  private static final int REPLACED = 3;
  private static final int RELEASES = 2;
  private static final double SERVES_ON_S = 5.0;
  private static final double DRAIN_S = 2.0;
  private static final double WORK_S = 0.02;
  private static final int NODES = 9;
  private static final int AWAY = 3;
  private static final int CLIENTS = 20;

  /** When the store acknowledged the removal of an entry, by id of the replica. */
  private static final Map<String, Double> removed = new ConcurrentHashMap<>();

  /** Times since the removal of requests that reached a replica late, by attempt id. */
  private static final Map<String, Double> late = new ConcurrentHashMap<>();

  /** The machines that the store turns away in this outage. */
  private static volatile List<Nodes.Node> away = List.of();
  private static int requests;
  private static volatile boolean isOver;

  private GoneCase() {}

  public static void main(String[] args) {
    Run.play(args, GoneCase::play);
  }

  private static int play(Path repository) throws Exception {
    Store store = new Store();
    store.put("op", "config", Config.of(3, 1500));
    Deque<Replica> replicas = new ArrayDeque<>();
    for (int i = 0; i < REPLICAS; i++) {
      replicas.add(new Replica(store, "desk", "r" + (i + 1), GoneCase::run));
    }
    List<Proxy> proxies = new ArrayList<>();
    try (Nodes nodes = new Nodes(repository, store, NODES)) {
      for (Nodes.Node node : nodes.all) {
        Proxy proxy = new Proxy(store.address());
        proxies.add(proxy);
        node.storeAddress = proxy.address();
      }
      nodes.startAll();
      if (!nodes.awaitReady(30)) {
        return 2;
      }
      Record.sleep(4);
      int reader = findReader(proxies);
      Record.line("the lists are read by " + nodes.all.get(reader).name);
      away = choose(nodes, reader, 0);
      for (int i = 0; i < CLIENTS; i++) {
        int client = i;
        Replica.daemon(() -> runClient(nodes, client));
      }
      for (int i = 0; i < OUTAGES; i++) {
        away = choose(nodes, reader, i);
        Record.sleep(0.2);
        if (Run.isTrouble()) {
          away.forEach(node -> proxies.get(nodes.all.indexOf(node)).setResetting(true));
          Record.line("store: resets the connections of "
              + away.stream().map(node -> node.name).toList());
        }
        replaceReplicas(store, replicas, OUTAGE_S);
        proxies.forEach(proxy -> proxy.setResetting(false));
        Record.line("store: serves all machines");
        Record.sleep(PAUSE_S);
      }
      isOver = true;
      Record.sleep(1);
      // A request that another machine has sent on may have come from one that is turned away.
      List<String> relayed = nodes.logLines("\"event\":\"relay\"");
      late.keySet().removeIf(
          attempt -> relayed.stream().anyMatch(line -> line.contains("\"" + attempt + "\"")));
    }
    synchronized (removed) {
      double longest = late.values().stream().mapToDouble(s -> s).max().orElse(0);
      Run.report(late.size() + " of " + requests + " requests reached a replica later than drain-ms "
          + "after its removal, at most " + String.format("%.3f", longest) + " s after it");
      return late.isEmpty() ? 0 : 1;
    }
  }

  /** Chooses the machines of an outage: the reader, and two others that differ each time. */
  private static List<Nodes.Node> choose(Nodes nodes, int reader, int outage) {
    List<Nodes.Node> chosen = new ArrayList<>();
    chosen.add(nodes.all.get(reader));
    for (int k = 1; k < AWAY; k++) {
      int other = (outage * (AWAY - 1) + k - 1) % (NODES - 1);
      chosen.add(nodes.all.get((reader + 1 + other) % NODES));
    }
    return chosen;
  }

  /** Returns the machine that gets most from the store, which reads the lists for the others. */
  private static int findReader(List<Proxy> proxies) {
    long[] before = proxies.stream().mapToLong(Proxy::bytes).toArray();
    Record.sleep(2);
    int reader = 0;
    for (int i = 0; i < before.length; i++) {
      boolean isMore = proxies.get(i).bytes() - before[i]
          > proxies.get(reader).bytes() - before[reader];
      reader = isMore ? i : reader;
    }
    return reader;
  }

  private static void replaceReplicas(Store store, Deque<Replica> replicas, double seconds)
      throws Exception {
    double end = Record.now() + seconds;
    Record.sleep(REPLACE_AFTER_S);
    for (int i = 0; i < RELEASES * REPLACED; i++) {
      Replica old = replicas.remove();
      replicas.add(
          new Replica(store, "desk", "r" + (removed.size() + REPLICAS + 1), GoneCase::run));
      Record.sleep(REPLACE_EACH_S);
      old.removeEntry();
      removed.put(old.id(), Record.now());
      Replica.daemon(() -> {
        Record.sleep(SERVES_ON_S);
        old.leave();
      });
    }
    Record.sleep(end - Record.now());
  }

  /** Sends requests to the machines that the store serves. */
  private static void runClient(Nodes nodes, int client) {
    for (int i = 0; !isOver; i++) {
      Nodes.Node node = nodes.all.get((client + i) % nodes.all.size());
      if (away.contains(node)) {
        continue;
      }
      String attempt = "c" + client + "-" + i + "-" + node.name;
      Reply reply =
          Client.send(node.port, "GET", "/stock/" + attempt, attempt, new byte[0], 1500, "");
      if (reply.status != 200) {
        Record.line("client: " + attempt + ": " + reply);
      }
      Record.sleep(0.04);
    }
  }

  private static byte[] run(Replica replica, Http request) {
    String attempt = request.header("gooseberryhook-attempt-id");
    Double at = removed.get(replica.id());
    double since = at == null ? 0 : Record.now() - at;
    synchronized (removed) {
      requests++;
    }
    if (since > DRAIN_S) {
      late.put(attempt, since);
    }
    if (since > 0.5) {
      Record.line(String.format("replica %s runs %s, %.3f s after its removal", replica.id(),
          attempt, since));
    }
    Record.sleep(WORK_S);
    return ("done " + attempt).getBytes();
  }
}
