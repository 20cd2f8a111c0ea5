import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's router processes, started with the command of the deploy file. */
final class Nodes implements AutoCloseable {
  private final Path repository;
  private final Path folder;
  private final Store store;
  private final List<String> command;
  final List<Node> all = new ArrayList<>();

  final class Node {
    final String name;
    final int port;
    String storeAddress = store.address();
    Process process;
    int starts;

    Node(String name, int port) {
      this.name = name;
      this.port = port;
    }

    void start() throws IOException {
      Path settings = folder.resolve(name + ".json");
      Files.writeString(settings, settings(this));
      ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile());
      builder.environment().put("GOOSEBERRYHOOK_NODE_FILE", settings.toString());
      Path log = folder.resolve(name + "-" + ++starts + ".log");
      process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
      Record.line("process " + name + " starts, pid " + process.pid());
    }

    void kill() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      Record.line("process " + name + " is killed");
    }

    boolean isReady() {
      Reply reply = Client.send(port + 1, "GET", "/ready", "", new byte[0], 1_000, "");
      return reply.status == 200;
    }
  }

  Nodes(Path repository, Store store, int count) throws IOException {
    this.repository = repository;
    this.store = store;
    folder = Files.createTempDirectory("review-2-");
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
        .matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    command = List.of(run.group(1).split(" "));
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    for (int i = 0; i < count; i++) {
      all.add(new Node("front-" + (i + 1), Ports.find(6)));
    }
  }

  private String settings(Node node) {
    int port = node.port;
    String ip = "127.0.0.1";
    return "{\"node-name\":\"" + node.name + "\",\"role\":\"router\",\"machine-class\":\"front\","
        + "\"serves\":[\"front\",\"directory\"],\"ip\":\"" + ip + "\",\"zone\":\"zone-a\","
        + "\"region\":\"region-a\",\"zones\":{\"zone-a\":\"region-a\"},\"listen\":{"
        + "\"front\":\"" + ip + ":" + port + "\",\"readiness\":\"" + ip + ":" + (port + 1) + "\","
        + "\"directory\":\"" + ip + ":" + (port + 2) + "\"},"
        + "\"internal-ports\":[" + (port + 3) + "," + (port + 5) + "],\"seeds\":[],"
        + "\"bootstrap\":" + (node.starts == 0) + ",\"loss-counts\":false,"
        + "\"limits\":{\"cpu-share\":0.75,\"cores\":1,\"memory-mb\":430,\"max-fds\":4100,"
        + "\"link-mbps\":1000.0,\"disk-mb\":0},\"data-dir\":null,\"discovery\":\"platform\","
        + "\"entry\":\"directory\",\"heartbeat-ms\":1200,"
        + "\"fault-tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},"
        + "\"bounds\":{\"seed-lag-s\":3,\"reuse-after-s\":2,\"stability-window-ms\":3000,"
        + "\"ack-ms\":4000,\"catch-up-s\":4,\"drain-ms\":2000,\"grace-s\":8,\"loss-slack-ms\":200,"
        + "\"config-apply-ms\":2000,\"rollback-slack-ms\":250,\"max-skew-ms\":5000,"
        + "\"retry-budget-ratio\":0.2,\"budget-window-s\":10,\"retry-budget-slack\":202,"
        + "\"recovery-s\":12,\"pass-ms\":120,\"retry-after-s\":0,\"stall_ms\":2500,"
        + "\"fencing\":true,\"ttl_max_s\":5},"
        + "\"platform\":{\"address\":\"" + node.storeAddress + "\",\"form\":\"table\","
        + "\"writes-per-s\":400,\"reads-per-s\":2000,\"tx-ms\":5.0,\"part-writes-per-s\":200,"
        + "\"row-bytes\":65536,\"across\":false,\"history-s\":20}}";
  }

  void startAll() throws IOException {
    for (Node node : all) {
      node.start();
    }
  }

  /** Waits until all nodes are ready; returns whether they are. */
  boolean awaitReady(double seconds) {
    double end = Record.now() + seconds;
    while (Record.now() < end) {
      if (all.stream().allMatch(Node::isReady)) {
        Record.line("all processes are ready");
        return true;
      }
      Record.sleep(0.05);
    }
    return false;
  }

  /** Returns the lines of all logs that contain a text. */
  List<String> logLines(String text) throws IOException {
    List<String> lines = new ArrayList<>();
    try (var files = Files.list(folder)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".log")).toList()) {
        try (var read = Files.lines(file)) {
          read.filter(line -> line.contains(text)).forEach(lines::add);
        }
      }
    }
    return lines;
  }

  @Override
  public void close() {
    for (Node node : all) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs: " + folder);
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // The temporary folder stays.
    }
  }
}
