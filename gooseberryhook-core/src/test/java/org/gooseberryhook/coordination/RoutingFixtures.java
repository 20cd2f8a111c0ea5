package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;

/** Small fleets and requests for the routing tests. */
final class RoutingFixtures {

  static final int LAYERS = 24;
  static final Map<String, Integer> LAYER_COUNTS = Map.of("m", LAYERS);

  private RoutingFixtures() {}

  static Target target(String id, String place, int firstLayer, int endLayer) {
    String region = "region-" + place.charAt(0);
    return new Target(
        id,
        "vm-" + id,
        place,
        region,
        TargetKind.ENGINE,
        "http://" + id,
        "m",
        "1",
        LayerRange.of(firstLayer, endLayer),
        "kind",
        true,
        false);
  }

  /** Returns the targets of two-stage replicas, spread over three data centres. */
  static List<Target> fleet(int replicas) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      String place = "a" + i % 3;
      targets.add(target(String.format("t%04d-0", i), place, 0, 10));
      targets.add(target(String.format("t%04d-1", i), place, 10, LAYERS));
    }
    return targets;
  }

  static List<Pipeline> compose(Collection<Target> targets) {
    PipelineComposer composer = new PipelineComposer();
    composer.update(targets, LAYER_COUNTS);
    return composer.pipelines();
  }

  static PipelineTable tableOf(int replicas) {
    PipelineTable table = new PipelineTable();
    table.update(compose(fleet(replicas)), List.of());
    return table;
  }

  static RouteRequest request(PriorityClass priorityClass, byte[] prompt) {
    PromptBlocks blocks = PromptBlocks.of("m", "1", prompt);
    return new RouteRequest("m", "1", priorityClass, blocks, prompt.length / 4, 100);
  }
}
