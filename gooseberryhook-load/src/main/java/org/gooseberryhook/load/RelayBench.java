package org.gooseberryhook.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmTarget;
import org.gooseberryhook.standin.EngineFleet;
import org.gooseberryhook.standin.EngineStandin;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.StandinPlatform;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.transport.CallerKeys;
import org.gooseberryhook.transport.NodeService;
import org.gooseberryhook.transport.NodeSettings;

/**
 * Measures the latency that one entry node adds to streams, in milliseconds, and the processor time
 * and heap that it takes. The roles engine, node and load run in separate processes, which must be
 * started in this order; {@code load --direct} calls the engine stand-in without the node, for
 * comparison.
 *
 * @since 0.1
 */
public final class RelayBench {

  static final String MODEL_ID = "relay";
  static final String MODEL_VERSION = "v1";
  static final int LAYER_COUNT = 32;
  static final int PIPELINE_COUNT = 30;
  static final int STAGE_COUNT = 4;
  static final String CALLER_KEY = "relay-caller-key";
  private static final int MAX_RUNNING = 256;
  private static final int MAX_CACHED_BLOCKS = 4_096;
  private static final long PREFILL_MICROS_PER_TOKEN = 100;
  private static final long LAYER_BYTES = 1L << 30;
  private static final int MAX_CONCURRENT = 8_000;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final double UNLIMITED = 1e9;
  private static final long REPORT_SECONDS = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int EXIT_USAGE = 2;

  /** Offset of the caller port from the base port; those of the peer and admin ports follow. */
  private static final int CALLER_PORT = 10;

  private static final int PEER_PORT = 11;
  private static final int ADMIN_PORT = 12;

  enum Role {
    ENGINE,
    NODE,
    LOAD
  }

  @Parameter(names = "--role", required = true, description = "engine, node or load")
  private Role role;

  @Parameter(names = "--base-port", description = "First of 13 loopback ports")
  private int basePort = 9_400;

  @Parameter(names = "--requests-per-second", description = "Streams started per second")
  private int requestsPerSecond = 200;

  @Parameter(names = "--tokens", description = "Tokens per stream")
  private int tokens = 300;

  @Parameter(names = "--step-ms", description = "Time between tokens in the engine, in ms")
  private int stepMs = 50;

  @Parameter(names = "--seconds", description = "Seconds during which streams are started")
  private int seconds = 40;

  @Parameter(names = "--direct", description = "Call the engine stand-in without the node")
  private boolean isDirect;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  private RelayBench() {}

  /**
   * Runs a role.
   *
   * @param args see {@code --help}
   * @throws IOException if the node does not become ready in time
   * @throws InterruptedException if the process is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    RelayBench bench = new RelayBench();
    JCommander commander =
        JCommander.newBuilder().programName("RelayBench").addObject(bench).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage() + "; see --help");
      System.exit(EXIT_USAGE);
    }
    if (bench.isHelp) {
      commander.usage();
      return;
    }
    switch (bench.role) {
      case ENGINE -> bench.runEngine();
      case NODE -> bench.runNode();
      case LOAD -> bench.runLoad();
      default -> throw new IllegalStateException("unknown role " + bench.role);
    }
  }

  private void runEngine() throws InterruptedException {
    StandinPlatform platform = StandinPlatform.of(platformPorts()).start();
    EngineFleet fleet =
        new EngineFleet(TimeUnit.MILLISECONDS.toMicros(stepMs), PREFILL_MICROS_PER_TOKEN);
    for (int pipeline = 0; pipeline < PIPELINE_COUNT; pipeline++) {
      for (int stage = 0; stage < STAGE_COUNT; stage++) {
        addTarget(fleet, platform, pipeline, stage);
      }
    }
    new EngineStandin(fleet, basePort).start();
    System.out.println("engine stand-in is up at " + engineUrl());
    printUsageForever("engine");
  }

  private void addTarget(EngineFleet fleet, StandinPlatform platform, int pipeline, int stage) {
    int perStage = LAYER_COUNT / STAGE_COUNT;
    String targetId = targetId(pipeline, stage);
    LayerRange layers = LayerRange.of(stage * perStage, (stage + 1) * perStage);
    fleet.add(
        new SimulatedEngine(
            targetId, MODEL_ID, MODEL_VERSION, layers, MAX_RUNNING, MAX_CACHED_BLOCKS));
    VmTarget target =
        new VmTarget(
            targetId,
            VmTarget.ENGINE,
            engineUrl() + "/targets/" + targetId,
            MODEL_ID,
            MODEL_VERSION,
            layers.firstLayer(),
            layers.endLayer(),
            "accelerator-" + stage,
            true);
    platform
        .getVms()
        .put(new VmEntry("vm-" + targetId, "a", "relay", VmEntry.LIVE, List.of(target)));
  }

  private void runNode() throws IOException, InterruptedException {
    NodeService node = new NodeService(newSettings());
    node.start();
    LocalCluster.await("the node to be ready", node::isReady);
    AdminClient admin = new AdminClient(address(ADMIN_PORT), LocalCluster.OPERATOR_KEY);
    if (!admin.get("models/" + MODEL_ID).isOk()) {
      admin.put(
          "models/" + MODEL_ID,
          new ModelSpec(MODEL_ID, MODEL_VERSION, LAYER_COUNT, LAYER_BYTES, PIPELINE_COUNT),
          0);
      admin.put("contracts/relay", newContract(), 0);
    }
    LocalCluster.await("pipelines", () -> node.getPipelineCount() == PIPELINE_COUNT);
    System.out.println("node is up at " + address(CALLER_PORT));
    printUsageForever("node");
  }

  private void runLoad() throws InterruptedException {
    String url = isDirect ? engineUrl() : "http://" + address(CALLER_PORT) + "/v1/completions";
    System.out.print(
        new RelayLoad(url, isDirect, requestsPerSecond, tokens, stepMs, seconds).run());
  }

  /**
   * Prints processor time, heap and threads of this process every {@link #REPORT_SECONDS}, so that
   * no monitoring tool is needed. Does not return.
   */
  private static void printUsageForever(String name) throws InterruptedException {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long lastCpuNanos = system.getProcessCpuTime();
    long lastNanos = System.nanoTime();
    while (true) {
      TimeUnit.SECONDS.sleep(REPORT_SECONDS);
      long cpuNanos = system.getProcessCpuTime();
      long nowNanos = System.nanoTime();
      Runtime runtime = Runtime.getRuntime();
      System.out.printf(
          "%s: %.2f cores, %d MB heap in use, %d threads%n",
          name,
          (cpuNanos - lastCpuNanos) / (double) (nowNanos - lastNanos),
          (runtime.totalMemory() - runtime.freeMemory()) >> 20,
          ManagementFactory.getThreadMXBean().getThreadCount());
      lastCpuNanos = cpuNanos;
      lastNanos = nowNanos;
    }
  }

  private Map<StandinPlatform.Part, Integer> platformPorts() {
    Map<StandinPlatform.Part, Integer> ports = new EnumMap<>(StandinPlatform.Part.class);
    for (StandinPlatform.Part part : StandinPlatform.Part.values()) {
      ports.put(part, basePort + 1 + part.ordinal());
    }
    return ports;
  }

  private NodeSettings newSettings() {
    Map<StandinPlatform.Part, Integer> ports = platformPorts();
    return new NodeSettings(
        new NodeSettings.Node(
            address(CALLER_PORT),
            address(PEER_PORT),
            address(ADMIN_PORT),
            "a",
            "relay",
            List.of("a"),
            List.of(),
            TimeUnit.SECONDS.toMillis(REPORT_SECONDS)),
        new NodeSettings.Platform(
            "http://127.0.0.1:" + ports.get(StandinPlatform.Part.TABLE),
            "http://127.0.0.1:" + ports.get(StandinPlatform.Part.OBJECTS),
            "http://127.0.0.1:" + ports.get(StandinPlatform.Part.WEIGHTS),
            "http://127.0.0.1:" + ports.get(StandinPlatform.Part.VMS)),
        new NodeSettings.Operators(List.of(CallerKeys.digestOf(LocalCluster.OPERATOR_KEY))),
        List.of(new NodeSettings.TargetGroup("models", MODEL_ID, true)),
        new NodeSettings.Limits(MAX_CONCURRENT, MAX_BODY_BYTES, MAX_HEADER_BYTES));
  }

  private static Contract newContract() {
    return new Contract(
        "relay",
        PriorityClass.INTERACTIVE,
        UNLIMITED,
        UNLIMITED,
        UNLIMITED,
        UNLIMITED,
        MAX_CONCURRENT,
        Set.of(MODEL_ID),
        Set.of(),
        0,
        0,
        0,
        (int) TimeUnit.MINUTES.toMillis(2),
        List.of(CallerKeys.digestOf(CALLER_KEY)));
  }

  private String engineUrl() {
    return "http://" + address(0);
  }

  private String address(int offset) {
    return "127.0.0.1:" + (basePort + offset);
  }

  static String targetId(int pipeline, int stage) {
    return "t" + pipeline + "-" + stage;
  }
}
