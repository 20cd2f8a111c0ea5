import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A stream crashes each replica that begins to run it: the replica sends the first event that it
 * makes, and ends. The stream comes again at any machine. Checks the rule BUDGET for such requests:
 * no more than three of its sends reach replicas later than stability-window-ms after it has
 * crashed the third.
 */
final class StreamCrashCase {
  private static final int NODES = 3;
  private static final int REPLICAS = 9;
  private static final double STABLE_S = 3.0;
  private static final double REPLICA_DOWN_S = 3.0;
  private static final double EVENT_S = 0.04;
  private static final int EVENTS = 40;
  private static final int ROUNDS = 6;
  private static final double PAUSE_S = 5.0;

  private static final List<Double> arrivals = new ArrayList<>();
  private static int crashes;
  private static double thirdCrash = Double.MAX_VALUE;
  private static int streams;
  private static int brokenStreams;
  private static volatile boolean isOver;

  private StreamCrashCase() {}

  public static void main(String[] args) {
    Run.play(args, StreamCrashCase::play);
  }

  private static int play(Path repository) throws Exception {
    Store store = new Store();
    store.put("op", "config", Config.withModel(3, 1500));
    for (int i = 0; i < REPLICAS; i++) {
      new Replica(store, "writer", "w" + (i + 1), (r, q) -> new byte[0], StreamCrashCase::run);
    }
    new Replica(store, "desk", "d1", (r, q) -> new byte[0]);
    try (Nodes nodes = new Nodes(repository, store, NODES)) {
      nodes.startAll();
      if (!nodes.awaitReady(30)) {
        return 2;
      }
      Record.sleep(STABLE_S + 2);
      play(nodes);
    }
    long late = countLate();
    Run.report(late + " sends of the stream reached replicas later than 3 s after its third crash, "
        + crashes + " crashes in all; " + brokenStreams + " of " + streams
        + " other streams were broken off or refused");
    return late > 3 ? 1 : 0;
  }

  private static void play(Nodes nodes) {
    for (int i = 0; i < 3; i++) {
      int client = i;
      Replica.daemon(() -> {
        for (int n = 0; !isOver; n++) {
          String outcome = stream(nodes.all.get((client + n) % NODES), "/draft/sound",
              "sound-" + client + "-" + n);
          synchronized (arrivals) {
            streams++;
            brokenStreams += outcome.startsWith("200, whole") ? 0 : 1;
          }
          Record.sleep(0.2);
        }
      });
    }
    for (int round = 0; round < ROUNDS; round++) {
      stream(nodes.all.get(round % NODES), "/draft/crash", "crash-" + round);
      Record.sleep(PAUSE_S);
    }
    isOver = true;
    Record.sleep(4);
  }

  /** Sends a stream and reads it to its end; returns what came. */
  private static String stream(Nodes.Node node, String path, String attempt) {
    String outcome;
    int events = 0;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port), 1_000);
      socket.setSoTimeout(5_000);
      byte[] body = path.getBytes(StandardCharsets.UTF_8);
      OutputStream out = socket.getOutputStream();
      out.write(("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nGooseberryhook-Attempt-Id: "
          + attempt + "\r\nGooseberryhook-Deadline-Ms: 20000\r\nApi-Key: key-1\r\n"
          + "Gooseberryhook-Model: m\r\nGooseberryhook-Token-Counts: 800,120\r\n"
          + "Gooseberryhook-Prompt-Prefix: 5c1e07a2:40," + Integer.toHexString(path.hashCode())
          + ":760\r\nContent-Length: " + body.length + "\r\n\r\n")
          .getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      if (answer == null) {
        outcome = "no answer";
      } else {
        events = answer.text().split("id: ").length - 1;
        outcome = answer.status() + (answer.whole ? ", whole" : ", broken off");
        if (answer.status() != 200) {
          outcome += " " + answer.text();
        }
      }
    } catch (IOException e) {
      outcome = e.toString();
    }
    Record.line("client: " + attempt + " at " + node.name + ": " + outcome + ", " + events
        + " events");
    return outcome;
  }

  private static long countLate() {
    synchronized (arrivals) {
      return arrivals.stream().filter(at -> at > thirdCrash + STABLE_S).count();
    }
  }

  private static boolean run(Replica replica, Http request, OutputStream out) throws Exception {
    String attempt = request.header("gooseberryhook-attempt-id");
    boolean isCrashing = Run.isTrouble() && request.path().equals("/draft/crash");
    String last = request.header("last-event-id");
    if (request.path().equals("/draft/crash")) {
      synchronized (arrivals) {
        arrivals.add(Record.now());
      }
      Record.line("replica " + replica.name + " runs " + attempt
          + (last.isEmpty() ? "" : " after event " + last));
    }
    String own = replica.id();
    Record.sleep(EVENT_S);
    Replica.startStream(out, attempt, own);
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
      if (replica.missingPart(request) != null) {
        Record.sleep(2.5);
        return false;
      }
      Replica.writeChunk(out, "id: " + i + "\ndata: tokens of " + attempt + " " + i + "\n\n");
      Record.sleep(EVENT_S);
      if (isCrashing && replica.crash()) {
        synchronized (arrivals) {
          crashes++;
          thirdCrash = crashes == 3 ? Record.now() : thirdCrash;
        }
        Record.line("replica " + replica.name + " crashes, " + crashes);
        replica.startLater(REPLICA_DOWN_S);
        return false;
      }
    }
    Replica.writeChunk(out, "");
    return true;
  }
}
