import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each replica which begins to run it comes again at all machines, while
 * these are stopped and started in turn.
 */
final class CrashAfterRestart {

  private static final int NODES = 7;
  private static final int REPLICAS = 3;
  private static final long STABILITY_WINDOW_MS = 3_000;
  private static final long REPEAT_MS = 1_000;
  private static final long RUN_MS = 96_000;
  private static final int ROLLS = 3;

  /** Time from a machine's return until the next one is stopped. */
  private static final long PAUSE_MS = 200;

  private static final int MAX_LATER_RETRIES = 3;

  /** Longest time from the start of the program to its end. */
  private static final long MAX_MS = 112_000;

  /** Arrivals of the crashing request at replicas. */
  private record Arrival(String attempt, Standins.Node from, long atMs, boolean isInTouch) {}

  private final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  private final Standins.Recorder recorder;
  private final Standins.Deployment deployment;
  private final Map<String, Standins.Node> senders = new ConcurrentHashMap<>();
  private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final AtomicInteger lastReplica = new AtomicInteger();
  private final AtomicInteger lostBookings = new AtomicInteger();
  private final long startMs = Standins.nowMs();
  private volatile boolean isRunning = true;

  private CrashAfterRestart(Path caseFolder, Path work) throws IOException {
    recorder = new Standins.Recorder(caseFolder.resolve("record.txt"));
    deployment = new Standins.Deployment(NODES, work);
  }

  /** A replica of the service of bookings. */
  private final class Desk extends Standins.Replica {
    Desk() throws IOException {
      super(
          deployment.store,
          "i-d" + lastReplica.incrementAndGet(),
          "franchise-desk",
          "khomas-" + "abc".charAt(lastReplica.get() % 3));
    }

    @Override
    void describe(ObjectNode entry) {
      entry.put("slots", 6);
    }

    @Override
    void handle(Standins.Request request, OutputStream out) throws IOException {
      String attempt = request.header("Gooseberryhook-Attempt-Id");
      if (attempt.isEmpty()) {
        int status = request.uri().equals("/healthz") ? 200 : 400;
        respond(out, status, "Gooseberryhook-Replica-Id: " + id + "\r\n", "");
        return;
      }
      if (!request.header("Gooseberryhook-Expect-Replica").equals(id)) {
        respond(out, 421, "Gooseberryhook-Attempt-Id: " + attempt + "\r\n", "");
        return;
      }
      if (request.uri().equals("/sheet/bad")) {
        Standins.Node from = senders.get(attempt);
        long atMs = Standins.nowMs();
        boolean isInTouch = from.ranUndisturbed(STABILITY_WINDOW_MS, atMs);
        arrivals.add(new Arrival(attempt, from, atMs, isInTouch));
        recorder.line(
            "replica " + id + " begins " + attempt + " from machine " + from.number
                + " (in touch: " + isInTouch + ") and crashes");
        replace(this);
        throw new IOException("crashed");
      }
      Standins.sleepMs(43);
      if (!isStopped()) {
        String headers =
            "Gooseberryhook-Attempt-Id: " + attempt + "\r\n"
                + "Gooseberryhook-Replica-Signature: s\r\n";
        respond(out, 200, headers, "done " + attempt);
      }
    }
  }

  /** Crashes a replica; it is back after four seconds as a new incarnation. */
  private void replace(Desk crashed) {
    crashed.crash();
    Standins.daemon(
        () -> {
          Standins.sleepMs(4_000);
          try {
            if (isRunning) {
              deployment.add(new Desk());
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private int run() throws Exception {
    for (int i = 0; i < REPLICAS; i++) {
      deployment.add(new Desk());
    }
    deployment.startNodes();
    Standins.await(10_000, () -> send(0, "POST", "/book/first", "first").status() == 200);
    // All machines know each other by then.
    Standins.sleepMs(4_000);
    recorder.line("all machines are ready");
    long endMs = Math.min(Standins.nowMs() + RUN_MS, startMs + MAX_MS);
    Standins.daemon(this::sendBookings);
    Standins.daemon(this::repeatCrashingRequest);
    if (hasTrouble) {
      Standins.await(40_000, () -> arrivals.size() >= 3);
      Standins.sleepMs(STABILITY_WINDOW_MS + 1_000);
      for (int roll = 0; roll < ROLLS; roll++) {
        rollMachines(endMs - 8_000);
      }
    }
    Standins.sleepMs(endMs - Standins.nowMs());
    isRunning = false;
    return judge();
  }

  /** Stops and starts the machines in turn, one at a time. */
  private void rollMachines(long endMs) throws Exception {
    for (Standins.Node node : deployment.nodes) {
      if (Standins.nowMs() < endMs) {
        recorder.line("SIGTERM to machine " + node.number);
        node.stopGracefully();
        node.start();
        Standins.await(20_000, node::isReady);
        recorder.line("machine " + node.number + " is ready again");
        Standins.sleepMs(PAUSE_MS);
      }
    }
  }

  private Standins.Answer send(int node, String method, String path, String attempt) {
    Standins.Node to = deployment.nodes.get(node);
    senders.put(attempt, to);
    return Standins.call(
        to,
        method,
        path,
        Map.of("Gooseberryhook-Attempt-Id", attempt, "Api-Key", "n2ctnfzs989anu6wsjnb"),
        method.equals("POST") ? "x".repeat(600) : "",
        2_500);
  }

  private void repeatCrashingRequest() {
    for (int i = 0; isRunning; i++) {
      int node = i % NODES;
      String attempt = "bad" + i;
      if (deployment.nodes.get(node).isReady()) {
        Standins.Answer answer = send(node, "GET", "/sheet/bad", attempt);
        recorder.line(
            attempt + " at machine " + node + " answered " + answer.status() + " "
                + answer.body().replaceAll(".*title\":\"([^\"]*)\".*", "$1"));
      }
      Standins.sleepMs(REPEAT_MS);
    }
  }

  private void sendBookings() {
    for (int i = 0; isRunning; i++) {
      int number = i;
      int node = i % NODES;
      if (deployment.nodes.get(node).isReady()) {
        Standins.daemon(
            () -> {
              Standins.Answer answer = send(node, "POST", "/book/" + number, "book" + number);
              boolean isUnknown = answer.status() == 0 || answer.status() == 502;
              if (isUnknown && isRunning) {
                lostBookings.incrementAndGet();
              }
              recorder.line("book" + number + " at machine " + node + " answered "
                  + answer.status());
            });
      }
      Standins.sleepMs(100);
    }
  }

  private int judge() {
    if (arrivals.size() < 3) {
      recorder.line("the request reached replicas " + arrivals.size() + " times only");
      return hasTrouble ? 2 : 0;
    }
    long thirdMs = arrivals.get(2).atMs();
    List<Arrival> later = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      if (arrival.isInTouch() && arrival.atMs() > thirdMs + STABILITY_WINDOW_MS) {
        later.add(arrival);
      }
    }
    recorder.lastLine(
        "the request reached replicas " + arrivals.size() + " times; " + later.size()
            + " of these were sent by machines in touch later than " + STABILITY_WINDOW_MS
            + " ms after the third crash (allowed: " + MAX_LATER_RETRIES + "); bookings without"
            + " a definite answer: " + lostBookings.get());
    return later.size() > MAX_LATER_RETRIES ? 1 : 0;
  }

  public static void main(String[] args) {
    int status = 2;
    try {
      Path work = Files.createTempDirectory("review");
      CrashAfterRestart test = new CrashAfterRestart(Path.of(args[0]), work);
      Runtime.getRuntime().addShutdownHook(new Thread(test.deployment::close));
      try {
        status = test.run();
      } catch (Exception e) {
        test.recorder.line("could not run: " + e);
        e.printStackTrace();
      }
      System.out.println("folder of settings and logs: " + work);
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(status);
  }
}
