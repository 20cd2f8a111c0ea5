import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * A request crashes each replica that runs it. It comes again at any machine, also after all
 * processes of the system were killed once. Checks the rule BUDGET for such requests: no more than
 * three of its sends reach replicas later than stability-window-ms after it has crashed the third.
 */
final class CrashCase {
  private static final int NODES = 5;
  private static final int REPLICAS = 8;
  private static final double STABLE_S = 3.0;
  private static final double REPLICA_DOWN_S = 3.0;
  private static final double WORK_S = 0.043;

  /** When the request reached a replica, which crashed. */
  private static final List<Double> arrivals = new ArrayList<>();

  private static int orders;
  private static int lostOrders;
  private static volatile boolean isOver;

  private CrashCase() {}

  public static void main(String[] args) {
    Run.play(args, CrashCase::play);
  }

  private static int play(Path repository) throws Exception {
    Store store = new Store();
    store.put("op", "config", Config.of(3, 1500));
    for (int i = 0; i < REPLICAS; i++) {
      new Replica(store, "desk", "r" + (i + 1), CrashCase::run);
    }
    try (Nodes nodes = new Nodes(repository, store, NODES)) {
      nodes.startAll();
      if (!nodes.awaitReady(30)) {
        return 2;
      }
      Record.sleep(STABLE_S + 1);
      if (!play(nodes)) {
        return 2;
      }
    }
    long late = countLate();
    Run.report(late + " sends of the request reached replicas later than 3 s after its third crash, "
        + arrivals.size() + " in all; " + lostOrders + " of " + orders + " orders were lost");
    return late > 3 ? 1 : 0;
  }

  private static boolean play(Nodes nodes) throws Exception {
    for (int i = 0; i < 4; i++) {
      int client = i;
      Replica.daemon(() -> runOrders(nodes, client));
    }
    comeAgain(nodes, 0, 1);
    Record.sleep(4);
    comeAgain(nodes, 1, 1);
    Record.sleep(4);
    if (Run.isTrouble()) {
      nodes.all.forEach(Nodes.Node::kill);
      Record.sleep(0.5);
      nodes.startAll();
      if (!nodes.awaitReady(30)) {
        return false;
      }
    }
    Record.sleep(STABLE_S + 1);
    comeAgain(nodes, 2, NODES);
    Record.sleep(4);
    isOver = true;
    return true;
  }

  /** Sends the request at some machines at the same time, once at each. */
  private static void comeAgain(Nodes nodes, int round, int machines) throws Exception {
    CountDownLatch answered = new CountDownLatch(machines);
    for (int i = 0; i < machines; i++) {
      Nodes.Node node = nodes.all.get((round + i) % NODES);
      String attempt = "crash-" + round + "-" + i;
      Replica.daemon(() -> {
        Reply reply =
            Client.send(node.port, "GET", "/stock/crash", attempt, new byte[0], 1500, "");
        Record.line("client: " + attempt + " at " + node.name + ": " + reply);
        answered.countDown();
      });
    }
    answered.await();
  }

  /** Sends orders one after another, as the other callers of the replicas do. */
  private static void runOrders(Nodes nodes, int client) {
    for (int i = 0; !isOver; i++) {
      Nodes.Node node = nodes.all.get((client + i) % NODES);
      String attempt = "order-" + client + "-" + i;
      Reply reply =
          Client.send(node.port, "POST", "/order/" + attempt, attempt, "x".getBytes(), 1500, "");
      if (reply.status != 0) {
        synchronized (arrivals) {
          orders++;
          lostOrders += reply.status == 502 ? 1 : 0;
        }
      }
      if (reply.status != 200) {
        Record.line("client: " + attempt + " at " + node.name + ": " + reply);
      }
      Record.sleep(0.02);
    }
  }

  private static long countLate() {
    synchronized (arrivals) {
      return arrivals.size() < 3 ? 0
          : arrivals.stream().filter(at -> at > arrivals.get(2) + STABLE_S).count();
    }
  }

  private static byte[] run(Replica replica, Http request) {
    if (request.path().equals("/stock/crash")) {
      synchronized (arrivals) {
        arrivals.add(Record.now());
        Record.line("replica " + replica.name + " runs the request "
            + request.header("gooseberryhook-attempt-id") + " and crashes, " + arrivals.size());
      }
      if (replica.crash()) {
        replica.startLater(REPLICA_DOWN_S);
      }
      return null;
    }
    Record.sleep(WORK_S);
    return ("done " + request.header("gooseberryhook-attempt-id")).getBytes();
  }
}
