package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;

/**
 * A randomly generated fleet of engine pipelines with the true times of its stages and links. The
 * same seed gives the same fleet.
 */
final class BenchFleet {

  static final String MODEL_ID = "model";
  static final String MODEL_VERSION = "1";
  static final int LAYER_COUNT = 64;
  static final Map<String, Integer> LAYER_COUNT_BY_MODEL = Map.of(MODEL_ID, LAYER_COUNT);

  private static final int DATA_CENTRE_COUNT = 8;
  private static final int ACCELERATOR_KINDS = 6;
  private static final double FASTEST_STEP_NANOS_PER_LAYER = 200_000;
  private static final double FASTEST_LINK_NANOS = 50_000;
  private static final double LINK_SPREAD = 100;

  /** One replica in this many has the second half of its stages in another data centre. */
  private static final int SPLIT_REPLICA_DIVISOR = 8;

  private final List<Target> targets = new ArrayList<>();
  private final Map<String, Double> linkNanos = new HashMap<>();
  private final Random random;

  BenchFleet(int replicas, int stages, long seed) {
    random = new Random(seed);
    for (int i = 0; i < replicas; i++) {
      String accelerator = "kind-" + random.nextInt(ACCELERATOR_KINDS);
      int place = random.nextInt(DATA_CENTRE_COUNT);
      for (int stage = 0; stage < stages; stage++) {
        boolean isRemote = i % SPLIT_REPLICA_DIVISOR == 0 && stage >= stages / 2;
        int dataCentre =
            isRemote
                ? (place + 1 + random.nextInt(DATA_CENTRE_COUNT - 1)) % DATA_CENTRE_COUNT
                : place;
        targets.add(target(i, stage, stages, "place-" + dataCentre, accelerator));
      }
    }
  }

  List<Target> targets() {
    return targets;
  }

  /**
   * Returns the true time of one token step on an empty batch over all stages, without links, in
   * nanoseconds.
   */
  double stageNanos(Pipeline pipeline) {
    double sum = 0;
    for (Target stage : pipeline.stages()) {
      int kind = stage.accelerator().charAt(stage.accelerator().length() - 1) - '0';
      sum += stage.layers().layerCount() * FASTEST_STEP_NANOS_PER_LAYER * (1 + 0.4 * kind);
    }
    return sum;
  }

  /**
   * Returns the true time of all links that one token crosses, in nanoseconds. The link from the
   * last stage back to the head is included.
   */
  double linkNanos(Pipeline pipeline) {
    double sum = 0;
    Target previous = pipeline.stages().get(pipeline.stages().size() - 1);
    for (Target stage : pipeline.stages()) {
      String key = previous.place() + ">" + stage.place();
      boolean isLocal = previous.place().equals(stage.place());
      sum +=
          linkNanos.computeIfAbsent(
              key,
              k -> FASTEST_LINK_NANOS * (isLocal ? 1 : Math.pow(LINK_SPREAD, random.nextDouble())));
      previous = stage;
    }
    return sum;
  }

  private static Target target(
      int replica, int stage, int stages, String place, String accelerator) {
    int layersPerStage = LAYER_COUNT / stages;
    String id = String.format("t%05d-%d", replica, stage);
    int endLayer = stage == stages - 1 ? LAYER_COUNT : (stage + 1) * layersPerStage;
    return new Target(
        id,
        "vm-" + id,
        place,
        "region",
        TargetKind.ENGINE,
        "http://" + id,
        MODEL_ID,
        MODEL_VERSION,
        LayerRange.of(stage * layersPerStage, endLayer),
        accelerator,
        true,
        false);
  }
}
