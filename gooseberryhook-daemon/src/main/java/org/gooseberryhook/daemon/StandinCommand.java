package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmTarget;
import org.gooseberryhook.standin.EngineFleet;
import org.gooseberryhook.standin.EngineStandin;
import org.gooseberryhook.standin.SimulatedEngine;
import org.gooseberryhook.standin.StandinPlatform;
import org.gooseberryhook.standin.StandinPlatform.Part;
import org.gooseberryhook.state.LayerRange;

/** Runs the stand-ins for the platform and a small set of targets on loopback ports. */
@Parameters(commandDescription = "Run stand-ins of the platform and a small fleet on loopback")
final class StandinCommand implements Command {

  private static final String REGION = "khomas";
  private static final List<String> PLACES = List.of("khomas-a", "khomas-b", "khomas-c");
  private static final String MODEL_ID = "ramp-drafts";
  private static final String MODEL_VERSION = "v1";
  private static final String SERVICE_NAME = "booking";
  private static final int LAYER_COUNT = 32;
  private static final int STAGE_COUNT = 4;
  private static final int MAX_RUNNING = 32;
  private static final int MAX_CACHED_BLOCKS = 4_096;
  private static final long PREFILL_MICROS_PER_TOKEN = 50;

  @Parameter(names = "--table-port", description = "Port of the table service")
  private int tablePort = 7001;

  @Parameter(names = "--object-port", description = "Port of the object store")
  private int objectPort = 7002;

  @Parameter(names = "--weight-port", description = "Port of the weight store")
  private int weightPort = 7003;

  @Parameter(names = "--vm-port", description = "Port of the VM list")
  private int vmPort = 7004;

  @Parameter(names = "--service-port", description = "Port of the plain services")
  private int servicePort = 7005;

  @Parameter(names = "--engine-port", description = "Port of the engines")
  private int enginePort = 7010;

  @Parameter(names = "--pipelines", description = "Pipelines of model ramp-drafts")
  private int pipelineCount = 4;

  @Parameter(names = "--service-replicas", description = "Targets of service booking")
  private int serviceReplicas = 3;

  @Parameter(names = "--step-micros", description = "Time of one token step, in microseconds")
  private long stepMicros = 8_000;

  @Parameter(
      names = "--restart-ms",
      description = "Time until a target that a prompt crashed is back empty; 0 for never")
  private long restartDelayMs = 0;

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  @Override
  public boolean isHelp() {
    return isHelp;
  }

  @Override
  public int run() {
    EngineFleet fleet = new EngineFleet(stepMicros, PREFILL_MICROS_PER_TOKEN, restartDelayMs);
    EngineStandin engines = new EngineStandin(fleet, enginePort);
    StandinPlatform platform =
        StandinPlatform.of(
            Map.of(
                Part.TABLE, tablePort,
                Part.OBJECTS, objectPort,
                Part.WEIGHTS, weightPort,
                Part.VMS, vmPort,
                Part.SERVICES, servicePort));
    try {
      engines.start();
      platform.start();
      addTargets(fleet, platform);
      for (Part part : Part.values()) {
        System.out.printf("%-9s %s%n", part.name().toLowerCase(), platform.getBaseUrl(part));
      }
      System.out.printf("%-9s %s/targets/t0-0 and others%n", "engines", engineUrl());
      System.out.println("Press Ctrl-C to stop.");
      new CountDownLatch(1).await();
      return 0;
    } catch (IllegalStateException e) {
      System.err.println("standin: " + e.getMessage());
      engines.stop();
      return Main.EXIT_FAILURE;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private String engineUrl() {
    return "http://127.0.0.1:" + enginePort;
  }

  private void addTargets(EngineFleet fleet, StandinPlatform platform) {
    for (int number = 0; number < pipelineCount; number++) {
      for (int stage = 0; stage < STAGE_COUNT; stage++) {
        addEngine(fleet, platform, number, stage);
      }
    }
    for (int number = 0; number < serviceReplicas; number++) {
      VmTarget target =
          new VmTarget(
              SERVICE_NAME + "-" + number,
              VmTarget.SERVICE,
              platform.getBaseUrl(Part.SERVICES),
              SERVICE_NAME,
              "",
              0,
              0,
              "",
              false);
      put(platform, number, target);
    }
  }

  private void addEngine(EngineFleet fleet, StandinPlatform platform, int number, int stage) {
    String targetId = "t" + number + "-" + stage;
    int layersPerStage = LAYER_COUNT / STAGE_COUNT;
    LayerRange layers = LayerRange.of(stage * layersPerStage, (stage + 1) * layersPerStage);
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
    put(platform, number, target);
  }

  private static void put(StandinPlatform platform, int number, VmTarget target) {
    String place = PLACES.get(number % PLACES.size());
    String vmId = "vm-" + target.targetId();
    platform.getVms().put(new VmEntry(vmId, place, REGION, VmEntry.LIVE, List.of(target)));
  }
}
