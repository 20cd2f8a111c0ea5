import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Stand-ins for the platform, replicas and clients, on loopback and the real clock. */
final class Standins {

  static final ObjectMapper JSON = new ObjectMapper();

  private Standins() {}

  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  static void sleepMs(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** The record of a run: one line for each event, with the time since the start. */
  static final class Recorder {
    private final PrintStream out;
    private final long startMs = nowMs();
    private boolean isClosed;

    Recorder(Path file) throws IOException {
      out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
    }

    synchronized void line(String text) {
      if (!isClosed) {
        out.printf("%8.3f %s%n", (nowMs() - startMs) / 1000.0, text);
      }
    }

    /** Writes the last line; what clients see after it belongs to the end of the processes. */
    synchronized void lastLine(String text) {
      line(text);
      isClosed = true;
    }
  }

  /** The platform's store: versioned rows, conditional writes and a feed of changes. */
  static final class Store implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version;

    private record Row(String value, long version, boolean isDeleted) {}

    Store() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
      server.setExecutor(threads);
      server.createContext("/rows-get", this::get);
      server.createContext("/rows-feed", this::feed);
      server.createContext("/rows-tx", this::transact);
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String table, String key, String value) {
      String text =
          value == null
              ? null
              : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
      table(table).put(key, new Row(text, ++version, value == null));
      notifyAll();
    }

    private TreeMap<String, Row> table(String name) {
      return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private synchronized void get(HttpExchange exchange) throws IOException {
      Map<String, String> query = query(exchange);
      ObjectNode body = JSON.createObjectNode();
      ArrayNode rows = body.putArray("rows");
      int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
      boolean hasMore = false;
      for (Map.Entry<String, Row> entry : table(query.get("table")).entrySet()) {
        String key = entry.getKey();
        boolean isIn =
            key.compareTo(query.getOrDefault("from", "")) >= 0
                && (query.getOrDefault("to", "").isEmpty() || key.compareTo(query.get("to")) < 0);
        if (isIn && !entry.getValue().isDeleted()) {
          if (rows.size() == limit) {
            hasMore = true;
            break;
          }
          addRow(rows, query.get("table"), key, entry.getValue());
        }
      }
      respond(exchange, 200, body.put("has-more", hasMore));
    }

    private synchronized void feed(HttpExchange exchange) throws IOException {
      Map<String, String> query = query(exchange);
      long after = Long.parseLong(query.get("after-revision"));
      long endMs = nowMs() + Long.parseLong(query.get("wait-ms"));
      ObjectNode body = JSON.createObjectNode();
      ArrayNode rows = body.putArray("rows");
      if (after < 0 || after > version) {
        respond(exchange, 410, body);
        return;
      }
      while (true) {
        for (Map.Entry<String, Row> entry : table(query.get("table")).entrySet()) {
          if (entry.getValue().version() > after) {
            addRow(rows, query.get("table"), entry.getKey(), entry.getValue());
          }
        }
        if (!rows.isEmpty() || nowMs() >= endMs) {
          break;
        }
        try {
          wait(Math.max(1, endMs - nowMs()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
      respond(exchange, 200, body);
    }

    private synchronized void transact(HttpExchange exchange) throws IOException {
      JsonNode transaction = JSON.readTree(exchange.getRequestBody());
      ObjectNode body = JSON.createObjectNode();
      boolean holds = true;
      ArrayNode current = JSON.createArrayNode();
      for (JsonNode condition : transaction.path("expected-revision")) {
        String table = condition.path("table").asText();
        Row row = table(table).get(condition.path("key").asText());
        boolean exists = row != null && !row.isDeleted();
        holds &= (exists ? row.version() : 0) == condition.path("ver").asLong();
        if (exists) {
          addRow(current, table, condition.path("key").asText(), row);
        }
      }
      if (!holds) {
        body.set("rows", current);
        respond(exchange, 412, body);
        return;
      }
      version++;
      for (JsonNode write : transaction.path("writes")) {
        table(write.path("table").asText())
            .put(write.path("key").asText(), new Row(write.path("value").asText(), version, false));
      }
      for (JsonNode removal : transaction.path("remove")) {
        table(removal.path("table").asText())
            .put(removal.path("key").asText(), new Row(null, version, true));
      }
      notifyAll();
      respond(exchange, 200, body);
    }

    private static void addRow(ArrayNode rows, String table, String key, Row row) {
      ObjectNode node = rows.addObject();
      node.put("table", table).put("part", "").put("key", key).put("ver", row.version());
      if (row.isDeleted()) {
        node.put("deleted", true);
      } else {
        node.put("value", row.value());
      }
    }

    private void respond(HttpExchange exchange, int status, ObjectNode body) throws IOException {
      body.put("ver", version).put("now-ms", nowMs());
      byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.getResponseHeaders().add("Store-Era", "1");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
      Map<String, String> query = new HashMap<>();
      for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
      return query;
    }

    @Override
    public void close() {
      server.stop(0);
      threads.shutdownNow();
    }
  }

  /** A request that a replica has read. */
  record Request(String method, String uri, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    static Request read(InputStream in) throws IOException {
      String line = readLine(in);
      if (line == null) {
        return null;
      }
      String[] words = line.split(" ");
      Map<String, String> headers = new HashMap<>();
      for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
        int colon = line.indexOf(':');
        headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
      }
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      return new Request(words[0], words[1], headers, in.readNBytes(length));
    }

    private static String readLine(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      for (int c = in.read(); c >= 0; c = in.read()) {
        if (c == '\n') {
          return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
        }
        line.write(c);
      }
      return null;
    }
  }

  /** One start of a replica: listens until it is stopped; registers in the store. */
  abstract static class Replica {
    final Store store;
    final String id;
    final String service;
    final String zone;
    final long bornMs = System.currentTimeMillis();
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean isStopped;

    Replica(Store store, String id, String service, String zone) throws IOException {
      this.store = store;
      this.id = id;
      this.service = service;
      this.zone = zone;
      server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    }

    void start() {
      daemon(this::accept);
      daemon(this::beat);
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds the fields of the entry that depend on the kind of replica. */
    abstract void describe(ObjectNode entry);

    /** Answers a request; an exception closes the connection. */
    abstract void handle(Request request, OutputStream out) throws IOException;

    final synchronized void register(long sequence) {
      if (!isStopped) {
        ObjectNode entry = JSON.createObjectNode();
        entry.put("service", service).put("address", address()).put("zone", zone);
        entry.put("version", "v1").put("state", "ready").put("cold-remaining-ms", 0);
        entry.put("sequence", sequence).put("born", bornMs);
        describe(entry);
        store.put("servers", id, entry.toString());
      }
    }

    private void beat() {
      for (long sequence = 1; !isStopped; sequence++) {
        register(sequence);
        sleepMs(1_200);
      }
    }

    private void accept() {
      while (!isStopped) {
        try {
          Socket socket = server.accept();
          socket.setTcpNoDelay(true);
          connections.add(socket);
          daemon(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Request r = Request.read(in); r != null && !isStopped; r = Request.read(in)) {
          handle(r, socket.getOutputStream());
        }
      } catch (IOException | RuntimeException e) {
        // The connection is closed.
      } finally {
        connections.remove(socket);
      }
    }

    boolean isStopped() {
      return isStopped;
    }

    /** Ends without notice: connections break, new ones are refused, the entry expires later. */
    final void crash() {
      synchronized (this) {
        if (isStopped) {
          return;
        }
        isStopped = true;
      }
      closeQuietly(server);
      connections.forEach(Standins::closeQuietly);
      daemon(
          () -> {
            sleepMs(3_600);
            store.put("servers", id, null);
          });
    }

    static void respond(OutputStream out, int status, String headers, String body)
        throws IOException {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          "HTTP/1.1 " + status + " X\r\nContent-Length: " + bytes.length + "\r\n" + headers;
      out.write((head + "\r\n" + body).getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  /** A replica that holds layers of the model and takes orders; it gets no requests here. */
  static final class Engine extends Replica {
    private JsonNode layers;
    private int orders;

    Engine(Store store, String id, String zone) throws IOException {
      super(store, id, "draft-writer", zone);
    }

    @Override
    synchronized void describe(ObjectNode entry) {
      entry.put("slots", 134).put("kind", "a100").put("stage", "colocated");
      entry.set("layers", layers);
      entry.putArray("models");
    }

    @Override
    synchronized void handle(Request request, OutputStream out) throws IOException {
      if (request.uri().equals("/order")) {
        JsonNode order = JSON.readTree(request.body());
        if (order.path("expected-revision").asInt(orders) != orders) {
          respond(out, 409, "", "{}");
          return;
        }
        orders++;
        layers =
            JSON.createObjectNode()
                .put("from", order.path("from").asInt())
                .put("to", order.path("to").asInt())
                .put("version", 1);
        respond(out, 202, "", "{}");
        daemon(() -> register(1_000 + orders));
      } else {
        ObjectNode report = JSON.createObjectNode();
        report.put("stage", "colocated").put("busy", false).put("sequence", orders);
        report.put("queue-depth", 0).put("active-requests", 0).put("kv-used", 0);
        report.put("kv-total", 90_000).put("handles", 0).put("pace", 1.0).put("born", bornMs);
        report.putArray("models");
        report.set("layers", layers);
        respond(out, 200, "Content-Type: application/json\r\n", report.toString());
      }
    }
  }

  /** The router's processes, started with the command of the deploy file. */
  static final class Node {
    final int number;
    final String ip;
    private final int basePort;
    private final Path folder;
    private String command;
    private Process process;
    private volatile long startedMs = Long.MAX_VALUE;
    private volatile long terminatedMs = Long.MAX_VALUE;

    Node(int number, int basePort, Path folder, String storeAddress, String command)
        throws IOException {
      this.number = number;
      this.ip = "127.0.1." + (10 + number);
      this.basePort = basePort;
      this.folder = folder;
      this.command = command;
      String zone = "khomas-" + "abc".charAt(number % 3);
      ObjectNode settings = JSON.createObjectNode();
      settings.put("node-name", "front-" + zone + "-" + number).put("role", "router");
      settings.put("machine-class", "front").put("ip", ip).put("zone", zone);
      settings.put("region", "khomas").put("bootstrap", true).put("heartbeat-ms", 1_200);
      settings.putArray("serves").add("front").add("directory");
      settings
          .putObject("listen")
          .put("front", ip + ":" + basePort)
          .put("readiness", ip + ":" + (basePort + 1))
          .put("directory", ip + ":" + (basePort + 2));
      settings.putArray("internal-ports").add(basePort + 3).add(basePort + 18);
      settings.putObject("limits").put("cpu-share", 0.75).put("cores", 1).put("memory-mb", 430)
          .put("max-fds", 4_100);
      settings
          .putObject("bounds")
          .put("reuse-after-s", 2).put("stability-window-ms", 3_000).put("drain-ms", 2_000)
          .put("grace-s", 8).put("loss-slack-ms", 200).put("config-apply-ms", 2_000)
          .put("retry-budget-ratio", 0.2).put("budget-window-s", 10)
          .put("retry-budget-slack", 198).put("recovery-s", 12).put("ttl_max_s", 5);
      settings.putObject("platform").put("address", storeAddress).put("form", "table");
      Files.writeString(folder.resolve("node-" + number + ".json"), settings.toString());
    }

    /** Sets the command of the next starts, to run another build. */
    void setCommand(String newCommand) {
      command = newCommand;
    }

    int port() {
      return basePort;
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(command.split(" "));
      builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder
          .environment()
          .put("GOOSEBERRYHOOK_NODE_FILE", folder.resolve("node-" + number + ".json").toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve("node-" + number + ".log").toFile()));
      process = builder.start();
      terminatedMs = Long.MAX_VALUE;
      startedMs = nowMs();
    }

    long pid() {
      return process.pid();
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    /** Sends SIGTERM, and SIGKILL after the grace period. */
    void stopGracefully() throws InterruptedException {
      terminatedMs = nowMs();
      process.destroy();
      if (!process.waitFor(8, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    }

    void kill() {
      if (process != null) {
        process.destroyForcibly();
      }
    }

    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ip, basePort + 1), 500);
        socket.setSoTimeout(1_000);
        String request = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII)
            .endsWith("200");
      } catch (IOException e) {
        return false;
      }
    }

    /** Returns whether the machine had run undisturbed for a time before a moment. */
    boolean ranUndisturbed(long forMs, long atMs) {
      return startedMs + forMs <= atMs && atMs < terminatedMs;
    }
  }

  /** What a client saw of one request. Status 0: no connection, or no complete answer. */
  record Answer(int status, Map<String, String> headers, String body) {}

  /** Sends one request over a new connection and waits for its whole answer. */
  static Answer call(Node node, String method, String path, Map<String, String> headers, String body,
      long deadlineMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(node.ip, node.port()), 1_000);
      socket.setSoTimeout((int) deadlineMs);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      head.append("Host: desk.example\r\nConnection: close\r\n");
      head.append("Gooseberryhook-Deadline-Ms: ").append(deadlineMs).append("\r\n");
      headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.UTF_8));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String line = Request.readLine(in);
      if (line == null) {
        return new Answer(0, Map.of(), "");
      }
      int status = Integer.parseInt(line.split(" ")[1]);
      Map<String, String> answered = new HashMap<>();
      for (line = Request.readLine(in); line != null && !line.isEmpty(); line = Request.readLine(in)) {
        int colon = line.indexOf(':');
        answered.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
      }
      int length = Integer.parseInt(answered.getOrDefault("content-length", "-1"));
      byte[] bytes = length < 0 ? in.readAllBytes() : in.readNBytes(length);
      if (length > bytes.length) {
        return new Answer(0, answered, "");
      }
      return new Answer(status, answered, new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Answer(0, Map.of(), e.toString());
    }
  }

  /** Returns the command that starts the router, as the deploy file has it. */
  static String command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/system.toml has no command");
  }

  /** Returns the first of 20 ports that are free at all addresses of a number of nodes. */
  static int freePorts(int nodes) throws IOException {
    for (int base = 20_000 + (int) (ProcessHandle.current().pid() % 400) * 25; ; base += 25) {
      List<ServerSocket> bound = new ArrayList<>();
      try {
        for (int n = 0; n < nodes; n++) {
          for (int p = 0; p < 6; p++) {
            ServerSocket socket = new ServerSocket();
            bound.add(socket);
            socket.bind(new InetSocketAddress("127.0.1." + (10 + n), base + p));
          }
        }
        return base;
      } catch (IOException e) {
        if (base > 60_000) {
          throw e;
        }
      } finally {
        bound.forEach(Standins::closeQuietly);
      }
    }
  }

  /** Returns a small deployment's configuration with the model and the service of bookings. */
  static String configuration(long version) {
    return """
        {"version": %d,
         "routes": [
          {"name": "draft", "host": "desk.example", "prefix": "/draft/", "kind": "streaming",
           "timeout-ms": 20000, "target-latency-ms": 500, "priority": 1, "service": "draft-writer",
           "max-attempts": 2, "public": false, "sticky-sessions": true, "stream-resume": true,
           "gap-target-ms": 200},
          {"name": "job-sheet", "host": "desk.example", "prefix": "/sheet/", "kind": "idempotent",
           "timeout-ms": 1200, "target-latency-ms": 193, "priority": 2,
           "service": "franchise-desk", "max-attempts": 2, "public": false,
           "sticky-sessions": false, "stream-resume": false},
          {"name": "booking", "host": "desk.example", "prefix": "/book/", "kind": "non_idempotent",
           "timeout-ms": 1200, "target-latency-ms": 193, "priority": 2,
           "service": "franchise-desk", "max-attempts": 1, "public": false,
           "sticky-sessions": false, "stream-resume": false}],
         "services": [
          {"name": "draft-writer", "health-check": "/healthz", "max-connections": 968,
           "engine": {"slots": 134, "kv-capacity-tokens": 69791, "kv-token-bytes": 918000,
            "link-mbps": 400000.0, "stride": 3, "models": [{"name": "m", "load-s": 14.0}],
            "step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956,
            "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512, "loads_at_once": 5,
            "usual": {"prompt": 774, "answer": 204}, "layers": 80, "layer-mb": 1750.0,
            "activation-bytes": 45900, "pipe-mbps": 22000.0,
            "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read-factor": 3.2}]}},
          {"name": "franchise-desk", "health-check": "/healthz", "max-connections": 100}],
         "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
          "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
         "tenants": [{"name": "hule930", "api-keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1},
          {"name": "waterberg", "api-keys": ["q81kskd0pwmfhy2ttzcx"], "priority": 1}]}
        """
        .formatted(version);
  }

  static void await(long forMs, java.util.function.BooleanSupplier condition) {
    long endMs = nowMs() + forMs;
    while (!condition.getAsBoolean()) {
      if (nowMs() > endMs) {
        throw new IllegalStateException("the deployment did not get ready");
      }
      sleepMs(50);
    }
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void closeQuietly(AutoCloseable closed) {
    try {
      closed.close();
    } catch (Exception e) {
      // It is gone.
    }
  }

  /** A deployment of the router's processes before a store and engines. */
  static final class Deployment implements AutoCloseable {
    final Store store = new Store();
    final List<Node> nodes = new ArrayList<>();
    final List<Replica> replicas = new CopyOnWriteArrayList<>();

    Deployment(int nodeCount, Path folder) throws IOException {
      this(nodeCount, folder, 6);
    }

    Deployment(int nodeCount, Path folder, int engines) throws IOException {
      store.put("op", "config", configuration(3));
      int base = freePorts(nodeCount);
      for (int i = 0; i < engines; i++) {
        add(new Engine(store, "i-e" + i, "khomas-" + "abc".charAt(i % 3)));
      }
      for (int i = 0; i < nodeCount; i++) {
        nodes.add(new Node(i, base, folder, store.address(), command()));
      }
    }

    void add(Replica replica) {
      replicas.add(replica);
      replica.start();
    }

    void startNodes() throws IOException {
      for (Node node : nodes) {
        node.start();
      }
      await(30_000, () -> nodes.stream().allMatch(Node::isReady));
    }

    @Override
    public void close() {
      nodes.forEach(Node::kill);
      replicas.forEach(Replica::crash);
      store.close();
    }
  }
}
