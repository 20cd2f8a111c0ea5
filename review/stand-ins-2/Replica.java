import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A replica. It registers in the store and runs requests: whole ones, or streams if it holds layers
 * of a model.
 */
final class Replica {
  static final double HEARTBEAT_S = 1.2;

  /** What a replica does with a request that begins to run. */
  interface Work {
    /** Returns the body of the answer, or null if the connection ends without an answer. */
    byte[] run(Replica replica, Http request) throws Exception;
  }

  /** What a replica does with a stream of which it is the first part. */
  interface Stream {
    /** Writes the answer; returns false if the connection ends. */
    boolean run(Replica replica, Http request, OutputStream out) throws Exception;
  }

  /** Time to load all layers, of which a replica loads a share. */
  private static final double LOAD_S = 14.0;

  private static final int LAYERS = 80;

  /** Replicas with layers by address, so that the first part of a path knows the others. */
  private static final Map<String, Replica> ENGINES = new ConcurrentHashMap<>();

  private final Store store;
  private final String service;
  private final Work work;
  private final Stream stream;
  final String name;
  private final int port;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private ServerSocket listener;
  private int starts;
  private volatile String lostEntry;
  private volatile String id;
  private long sequence;
  private volatile String state = "ready";
  private volatile boolean losesNextBeat;
  private volatile Runnable onLostBeat = () -> {};
  private long born;
  private volatile double nextBeat;
  private volatile boolean isSilent;

  private int from;
  private int to;
  private boolean isLoading;
  private int orders;
  private long highestFence;

  Replica(Store store, String service, String name, Work work) throws IOException {
    this(store, service, name, work, null);
  }

  /** Creates a replica of a model; {@code stream} runs the requests. */
  Replica(Store store, String service, String name, Work work, Stream stream) throws IOException {
    this.stream = stream;
    this.store = store;
    this.service = service;
    this.name = name;
    this.work = work;
    port = Ports.find(1);
    start();
  }

  synchronized boolean isUp() {
    return !listener.isClosed();
  }

  String id() {
    return id;
  }

  /** Starts a new incarnation after a time. */
  void startLater(double seconds) {
    daemon(() -> {
      Record.sleep(seconds);
      try {
        start();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
  }

  /** Starts a new incarnation at the same address, with a new id. */
  synchronized void start() throws IOException {
    id = "i-" + name + "-" + ++starts;
    sequence = 0;
    born = System.currentTimeMillis();
    state = "ready";
    nextBeat = 0;
    from = 0;
    to = 0;
    isLoading = false;
    orders = 0;
    highestFence = 0;
    if (stream != null) {
      ENGINES.put(address(), this);
    }
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
    final ServerSocket accepting = listener;
    final String own = id;
    daemon(() -> accept(accepting, own));
    daemon(() -> {
      while (own.equals(id) && !accepting.isClosed()) {
        double waitS = nextBeat - Record.now();
        if (waitS <= 0) {
          beat(own);
        } else {
          Record.sleep(Math.min(waitS, 0.05));
        }
      }
    });
  }

  /** Writes the entry, with the next number. */
  private synchronized void beat(String own) {
    nextBeat = Record.now() + HEARTBEAT_S;
    if (isSilent) {
      return;
    }
    String entry = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
        + "\",\"cold-remaining-ms\":0,\"born\":" + born + ",\"sequence\":" + ++sequence + engine() + "}";
    if (losesNextBeat) {
      losesNextBeat = false;
      lostEntry = entry;
      Record.line("store: no answer to the beat of " + own + ": " + state + ", sequence " + sequence);
      onLostBeat.run();
      return;
    }
    store.put("servers", own, entry);
    if (!state.equals("ready")) {
      Record.line("store: acknowledges the beat of " + own + ": " + state + ", sequence " + sequence);
    }
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  private String engine() {
    return stream == null ? ""
        : ",\"kind\":\"a100\",\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
            + "\"adapters\":[]}],\"layers\":" + (to == 0 ? "null"
                : "{\"from\":" + from + ",\"to\":" + to + ",\"version\":1}");
  }

  /** Returns whether the replica is up and holds a part of a path. */
  private synchronized boolean holds(int first, int end) {
    return !listener.isClosed() && !isLoading && from <= first && end <= to;
  }

  private synchronized String report() {
    return "{\"busy\":" + isLoading + ",\"sequence\":" + orders + ",\"queue-depth\":0,"
        + "\"active-requests\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"pace\":1.0,"
        + "\"stalled\":[],\"born\":" + born + engine() + "}";
  }

  /** Carries out an order; returns the status of the answer. */
  private synchronized String order(String text) {
    Matcher fence = Pattern.compile("\"fencing-token\":(\\d+)").matcher(text);
    if (fence.find()) {
      long token = Long.parseLong(fence.group(1));
      if (token < highestFence) {
        return "412 Precondition Failed";
      }
      highestFence = token;
    }
    Matcher place =
        Pattern.compile("\"op\":\"place\",\"from\":(\\d+),\"to\":(\\d+)").matcher(text);
    Matcher expected = Pattern.compile("\"expected-revision\":(\\d+)").matcher(text);
    if (!place.find()) {
      return "404 Not Found";
    }
    if (isLoading || (expected.find() && Integer.parseInt(expected.group(1)) != orders)) {
      return "409 Conflict";
    }
    int newFrom = Integer.parseInt(place.group(1));
    int newTo = Integer.parseInt(place.group(2));
    if (newFrom == from && newTo == to) {
      return "200 OK";
    }
    orders++;
    isLoading = true;
    final String own = id;
    final boolean isFirst = orders == 1 && Record.now() < 25;
    daemon(() -> {
      Record.sleep(LOAD_S * (newTo - newFrom) / LAYERS * (isFirst ? 0.1 : 1));
      synchronized (this) {
        if (own.equals(id)) {
          from = newFrom;
          to = newTo;
          isLoading = false;
        }
      }
      if (own.equals(id)) {
        Record.line("replica " + name + " holds the layers " + newFrom + " to " + newTo);
        beat(own);
      }
    });
    return "202 Accepted";
  }

  /** Returns the address of a part of a path that is missing, null if there is none. */
  String missingPart(Http request) {
    for (String part : request.header("gooseberryhook-hop-count").split(",")) {
      String[] words = part.trim().split("[=-]");
      Replica holder = ENGINES.get(words[0]);
      if (holder == null
          || !holder.holds(Integer.parseInt(words[1]), Integer.parseInt(words[2]))) {
        return words[0];
      }
    }
    return null;
  }

  /** Makes the store leave the next beat unanswered; {@code onLost} runs when that happens. */
  void loseNextBeat(Runnable onLost) {
    onLostBeat = onLost;
    losesNextBeat = true;
  }

  /** Carries the lost beat out in the store. */
  void carryOutLostBeat() {
    store.put("servers", id, lostEntry);
    Record.line("store: carries out the lost beat of " + id);
  }

  /** Reports that the replica is about to leave. */
  void drain() {
    state = "draining";
    beat(id);
  }

  /**
   * Begins a planned shutdown without a report: the entry is removed, and no beat follows. The
   * replica serves on until it exits.
   */
  synchronized void removeEntry() {
    isSilent = true;
    store.put("servers", id, null);
    Record.line("store: acknowledges the removal of the entry of " + id);
  }

  /** Ends after a planned shutdown: the entry is removed, requests in progress are cut. */
  synchronized void leave() {
    Record.line("replica " + name + " exits");
    store.put("servers", id, null);
    close();
  }

  /**
   * Crashes: all connections are reset, new ones are refused, the entry stays for a while. Returns
   * false if it is down already.
   */
  synchronized boolean crash() {
    if (listener.isClosed()) {
      return false;
    }
    final String own = id;
    close();
    daemon(() -> {
      Record.sleep(3 * HEARTBEAT_S);
      store.put("servers", own, null);
    });
    return true;
  }

  private void close() {
    try {
      listener.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    for (Socket connection : connections) {
      try {
        connection.setSoLinger(true, 0);
        connection.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
    connections.clear();
  }

  private void accept(ServerSocket accepting, String own) {
    while (!accepting.isClosed()) {
      try {
        Socket socket = accepting.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        daemon(() -> serve(socket, own));
      } catch (IOException e) {
        // The replica has crashed.
      }
    }
  }

  private void serve(Socket socket, String own) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http request = Http.read(in); request != null; request = Http.read(in)) {
        String expected = request.header("gooseberryhook-expect-replica");
        String attempt = request.header("gooseberryhook-attempt-id");
        if (!expected.isEmpty() && !expected.equals(own)) {
          answer(out, "421 Misdirected Request", "Gooseberryhook-Attempt-Id: " + attempt
              + "\r\nGooseberryhook-Replica-Id: " + own + "\r\n", new byte[0]);
        } else if (request.path().equals("/report") && stream != null) {
          answer(out, "200 OK", "Content-Type: application/json\r\n", report().getBytes());
        } else if (request.path().equals("/order") && stream != null) {
          answer(out, order(request.text()), "Content-Type: application/json\r\n",
              "{}".getBytes());
        } else if (stream != null && !attempt.isEmpty()) {
          String missing = missingPart(request);
          if (missing != null) {
            answer(out, "503 Service Unavailable", "Gooseberryhook-Attempt-Id: " + attempt
                + "\r\nGooseberryhook-Not-Executed: 1\r\nAt-Server: " + missing + "\r\n",
                new byte[0]);
          } else if (!stream.run(this, request, out)) {
            return;
          }
        } else if (request.path().equals("/healthz")) {
          answer(out, "200 OK", "Gooseberryhook-Replica-Id: " + own + "\r\n", new byte[0]);
        } else if (attempt.isEmpty()) {
          answer(out, "400 Bad Request", "Gooseberryhook-Not-Executed: 1\r\n", new byte[0]);
        } else {
          byte[] body = work.run(this, request);
          if (body == null) {
            return;
          }
          answer(out, "200 OK", "Gooseberryhook-Attempt-Id: " + attempt
              + "\r\nGooseberryhook-Replica-Signature: s." + own + "\r\n", body);
        }
      }
    } catch (Exception e) {
      // The caller has left, or this replica has crashed.
    } finally {
      connections.remove(socket);
    }
  }

  private static void answer(OutputStream out, String status, String headers, byte[] body)
      throws IOException {
    out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
        + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  /** Writes the head of a stream. */
  static void startStream(OutputStream out, String attempt, String own) throws IOException {
    out.write(("HTTP/1.1 200 OK\r\nGooseberryhook-Attempt-Id: " + attempt
        + "\r\nGooseberryhook-Replica-Signature: s." + own
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes a piece of a stream; an empty one ends it. */
  static void writeChunk(OutputStream out, String text) throws IOException {
    out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  static Thread daemon(Runnable step) {
    Thread thread = new Thread(step);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
