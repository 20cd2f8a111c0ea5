import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A beat of a replica gets no answer and is carried out 5.7 s later, after the replica has reported
 * that it is draining. Checks the rule DRAIN for the requests that reach the replica.
 */
final class DrainCase {
  private static final double LATE_S = 5.7;
  private static final double LOSS_S = 0.1;
  private static final double STABLE_S = 3.0;
  private static final double DRAIN_S = 2.0;
  private static final double WORK_S = 0.043;
  private static final int CLIENTS = 6;

  private static volatile Replica leaving;
  private static volatile double acknowledged = Double.MAX_VALUE;
  private static final AtomicInteger late = new AtomicInteger();
  private static final AtomicInteger lost = new AtomicInteger();
  private static volatile boolean isOver;

  private DrainCase() {}

  public static void main(String[] args) {
    Run.play(args, DrainCase::play);
  }

  private static int play(Path repository) throws Exception {
    Store store = new Store();
    store.put("op", "config", Config.of(3, 1500));
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      replicas.add(new Replica(store, "desk", "r" + (i + 1), DrainCase::run));
    }
    try (Nodes nodes = new Nodes(repository, store, 3)) {
      nodes.startAll();
      if (!nodes.awaitReady(30)) {
        return 2;
      }
      Record.sleep(4);
      play(nodes, replicas.get(0), Run.isTrouble());
    }
    Run.report(late.get() + " requests reached the draining replica later than drain-ms; "
        + lost.get() + " of them were cut by its exit");
    return late.get() > 0 ? 1 : 0;
  }

  private static void play(Nodes nodes, Replica replica, boolean isTrouble) {
    leaving = replica;
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      Replica.daemon(() -> runClient(nodes, client));
    }
    Record.sleep(1);
    if (isTrouble) {
      double[] lostAt = {0};
      replica.loseNextBeat(() -> lostAt[0] = Record.now());
      while (lostAt[0] == 0) {
        Record.sleep(0.01);
      }
      double lateAt = lostAt[0] + LATE_S;
      // The store loses answers for 0.1 s and is stable 3 s later.
      Record.sleep(LOSS_S + STABLE_S + 0.1);
      replica.drain();
      acknowledged = Record.now();
      Record.sleep(lateAt - Record.now());
      replica.carryOutLostBeat();
    } else {
      Record.sleep(LOSS_S + STABLE_S + 0.1);
      replica.drain();
      acknowledged = Record.now();
      Record.sleep(LATE_S - LOSS_S - STABLE_S);
    }
    Record.sleep(1.0);
    replica.leave();
    Record.sleep(1);
    isOver = true;
  }

  private static void runClient(Nodes nodes, int client) {
    for (int i = 0; !isOver; i++) {
      String attempt = "c" + client + "-" + i;
      Nodes.Node node = nodes.all.get((client + i) % nodes.all.size());
      Reply reply =
          Client.send(node.port, "POST", "/order/" + attempt, attempt, "x".getBytes(), 1500, "");
      Record.line("client: " + attempt + " at " + node.name + ": " + reply);
      Record.sleep(0.1);
    }
  }

  private static byte[] run(Replica replica, Http request) {
    String attempt = request.header("gooseberryhook-attempt-id");
    double since = Record.now() - acknowledged;
    Record.line("replica " + replica.name + " runs " + attempt
        + (replica == leaving && since > 0 ? String.format(", %.3f s after its leaving was acknowledged", since) : ""));
    if (replica == leaving && since > DRAIN_S) {
      late.incrementAndGet();
    }
    Record.sleep(WORK_S);
    if (replica == leaving && since > DRAIN_S && !replica.isUp()) {
      lost.incrementAndGet();
      Record.line("replica " + replica.name + " has exited while it ran " + attempt);
    }
    return ("done " + attempt).getBytes();
  }
}
