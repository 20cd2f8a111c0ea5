package org.gooseberryhook.router.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Pipeline of targets that together run every layer of a model once and in order.
 *
 * @param service name of the service that the targets run
 * @param stages stages in layer order
 */
public record ModelPipeline(String service, List<PipelineStage> stages) {

  /**
   * Creates a pipeline.
   *
   * @throws IllegalArgumentException if there are no stages, if they leave a gap, overlap or do not
   *     begin at layer 0, or if two of them run at the same address
   */
  public ModelPipeline {
    stages = List.copyOf(stages);
    if (stages.isEmpty()) {
      throw new IllegalArgumentException("pipeline has no stages");
    }
    int nextLayer = 0;
    Set<String> addresses = new HashSet<>();
    for (PipelineStage stage : stages) {
      if (stage.layers().firstLayer() != nextLayer) {
        throw new IllegalArgumentException(
            "pipeline stages leave a gap or overlap at layer " + nextLayer);
      }
      if (!addresses.add(stage.target().address())) {
        throw new IllegalArgumentException(
            "pipeline uses address " + stage.target().address() + " twice");
      }
      nextLayer = stage.layers().endLayer();
    }
  }

  /**
   * Returns the head, which receives the requests of the pipeline.
   *
   * @return the target of the first stage
   */
  public TargetEntry head() {
    return stages.get(0).target();
  }

  /**
   * Returns the addresses of the targets.
   *
   * @return addresses in layer order
   */
  public List<String> addresses() {
    return stages.stream().map(stage -> stage.target().address()).toList();
  }

  /**
   * Returns whether a target is part of the pipeline.
   *
   * @param address address of the target
   * @return true if a stage runs on the target
   */
  public boolean uses(String address) {
    for (PipelineStage stage : stages) {
      if (stage.target().address().equals(address)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how many targets this pipeline has in common with another one.
   *
   * @param other the other pipeline
   * @return number of addresses that both use, 0 if there is none
   */
  public int countShared(ModelPipeline other) {
    return (int) addresses().stream().filter(other::uses).count();
  }

  /**
   * Returns whether no target that this pipeline has in common with an earlier one has restarted
   * since. The head of a stream takes the targets that it knows for unchanged, but one that
   * restarted has lost the stream.
   *
   * @param earlier the earlier pipeline
   * @return true if each common address has the target of the same start
   */
  public boolean keepsStartsOf(ModelPipeline earlier) {
    Map<String, TargetEntry> known = new HashMap<>();
    earlier.stages.forEach(stage -> known.put(stage.target().address(), stage.target()));
    for (PipelineStage stage : stages) {
      TargetEntry target = stage.target();
      TargetEntry before = known.getOrDefault(target.address(), target);
      if (!before.id().equals(target.id()) || before.startedAtMs() != target.startedAtMs()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns how often a token step passes from one data centre to another.
   *
   * @return number of crossings, 0 for a pipeline within one data centre
   */
  public int dataCentreCrossings() {
    int crossings = 0;
    for (int i = 1; i < stages.size(); i++) {
      String before = stages.get(i - 1).target().dataCentre();
      crossings += stages.get(i).target().dataCentre().equals(before) ? 0 : 1;
    }
    return crossings;
  }

  /**
   * Returns a text that lists the stages, for logs and comparisons.
   *
   * @return addresses with layer ranges, such as {@code 10.0.0.1:80=0-40}, joined by commas
   */
  public String describe() {
    return stages.stream()
        .map(
            s -> s.target().address() + "=" + s.layers().firstLayer() + "-" + s.layers().endLayer())
        .collect(Collectors.joining(","));
  }
}
