package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PlacementPlan;

/**
 * Plans which target holds which layers. Replicas of the previous plan that still have all their
 * targets are kept, so that a change of the fleet moves as few layers as possible. New replicas go
 * to the data centre with the fewest replicas of the model, so that the loss of one data centre
 * affects as few as possible. All stages of a replica are in one data centre, since links between
 * data centres are up to a hundred times slower.
 *
 * @since 0.1
 */
public final class PlacementPlanner {

  /** Maximum number of stages of a replica; each stage adds a link to every token step. */
  private static final int MAX_STAGES = 8;

  /**
   * Minimum share by which one more stage must reduce the time of the slowest stage to be worth its
   * link.
   */
  private static final double MIN_STAGE_GAIN = 0.10;

  private final LayerSplitter.Method splitMethod;

  /**
   * Creates a planner.
   *
   * @param splitMethod algorithm that splits layers over a chain
   */
  public PlacementPlanner(LayerSplitter.Method splitMethod) {
    this.splitMethod = splitMethod;
  }

  /**
   * Plans all models.
   *
   * @param models the declared models
   * @param fleet the targets that are alive and not leaving
   * @param previous the current plan, or {@link PlacementPlan#EMPTY}
   * @return the new plan, never null
   */
  public PlacementPlan plan(
      Collection<ModelSpec> models, Collection<Accelerator> fleet, PlacementPlan previous) {
    Map<String, Accelerator> free = new LinkedHashMap<>();
    fleet.forEach(accelerator -> free.put(accelerator.targetId(), accelerator));
    List<PlacementPlan.Replica> replicas = new ArrayList<>();
    List<String> reasons = new ArrayList<>();
    List<ModelSpec> ordered =
        models.stream().sorted(Comparator.comparing(ModelSpec::modelId)).toList();
    Map<String, List<PlacementPlan.Replica>> keptByModel = new TreeMap<>();
    for (ModelSpec model : ordered) {
      keptByModel.put(model.modelId(), keepReplicas(model, previous, free));
    }
    Map<String, List<Accelerator>> freeByPlace = groupByPlace(free.values());
    for (ModelSpec model : ordered) {
      List<PlacementPlan.Replica> modelReplicas = new ArrayList<>(keptByModel.get(model.modelId()));
      int keptCount = modelReplicas.size();
      addReplicas(model, modelReplicas, freeByPlace);
      replicas.addAll(modelReplicas);
      reasons.add(reasonFor(model, keptCount, modelReplicas));
    }
    return new PlacementPlan(replicas, reasons);
  }

  private static List<PlacementPlan.Replica> keepReplicas(
      ModelSpec model, PlacementPlan previous, Map<String, Accelerator> free) {
    List<PlacementPlan.Replica> kept = new ArrayList<>();
    for (PlacementPlan.Replica replica : previous.replicas()) {
      boolean isSame =
          replica.modelId().equals(model.modelId())
              && replica.modelVersion().equals(model.modelVersion());
      boolean isWhole =
          replica.stages().stream().allMatch(stage -> free.containsKey(stage.targetId()));
      if (isSame && isWhole && kept.size() < model.replicas()) {
        kept.add(replica);
        replica.stages().forEach(stage -> free.remove(stage.targetId()));
      }
    }
    return kept;
  }

  /**
   * Groups accelerators by data centre, each list sorted by speed (fastest first), then by kind.
   */
  private static Map<String, List<Accelerator>> groupByPlace(Collection<Accelerator> accelerators) {
    Comparator<Accelerator> order =
        Comparator.comparingDouble(Accelerator::layerMicros)
            .thenComparing(Accelerator::kind)
            .thenComparing(Accelerator::targetId);
    return accelerators.stream()
        .sorted(order)
        .collect(
            Collectors.groupingBy(
                Accelerator::place, TreeMap::new, Collectors.toCollection(ArrayList::new)));
  }

  private void addReplicas(
      ModelSpec model,
      List<PlacementPlan.Replica> replicas,
      Map<String, List<Accelerator>> freeByPlace) {
    Map<String, Integer> countByPlace = new TreeMap<>();
    freeByPlace.keySet().forEach(place -> countByPlace.put(place, 0));
    replicas.forEach(replica -> countByPlace.merge(replica.place(), 1, Integer::sum));
    Set<String> fullPlaces = new HashSet<>();
    while (replicas.size() < model.replicas()) {
      Optional<String> place =
          freeByPlace.keySet().stream()
              .filter(candidate -> !fullPlaces.contains(candidate))
              .min(
                  Comparator.<String>comparingInt(countByPlace::get)
                      .thenComparing(candidate -> -freeByPlace.get(candidate).size())
                      .thenComparing(Comparator.naturalOrder()));
      if (place.isEmpty()) {
        return;
      }
      Optional<PlacementPlan.Replica> added =
          addReplica(model, place.get(), freeByPlace.get(place.get()));
      if (added.isPresent()) {
        replicas.add(added.get());
        countByPlace.merge(place.get(), 1, Integer::sum);
      } else {
        fullPlaces.add(place.get());
      }
    }
  }

  private Optional<PlacementPlan.Replica> addReplica(
      ModelSpec model, String place, List<Accelerator> free) {
    int needed = chooseChainLength(model, free);
    if (needed == 0) {
      return Optional.empty();
    }
    List<Accelerator> chain = List.copyOf(free.subList(0, needed));
    Optional<int[]> counts = splitMethod.split(chain, model.layerCount(), model.layerBytes());
    if (counts.isEmpty()) {
      return Optional.empty();
    }
    List<PlacementPlan.Stage> stages = LayerSplitter.toStages(chain, counts.get());
    Set<String> used =
        stages.stream().map(PlacementPlan.Stage::targetId).collect(Collectors.toSet());
    free.subList(0, needed).removeIf(accelerator -> used.contains(accelerator.targetId()));
    return Optional.of(
        new PlacementPlan.Replica(model.modelId(), model.modelVersion(), place, stages));
  }

  /**
   * Returns how many of the first accelerators to use for a replica; 0 if a chain of the maximum
   * length cannot hold the model.
   */
  private int chooseChainLength(ModelSpec model, List<Accelerator> free) {
    long capacity = 0;
    int longest = Math.min(MAX_STAGES, free.size());
    for (int size = 1; size <= longest; size++) {
      capacity += free.get(size - 1).getLayerCapacity(model.layerBytes());
      if (capacity >= model.layerCount()) {
        return extendChain(model, free, size, longest);
      }
    }
    return 0;
  }

  /**
   * Adds stages while each makes the slowest stage faster by the minimum gain and enough targets
   * remain for all replicas.
   */
  private int extendChain(ModelSpec model, List<Accelerator> free, int shortest, int longest) {
    int size = shortest;
    double best = bottleneckOf(model, free.subList(0, size));
    boolean isScarce = (long) model.replicas() * (size + 1) > free.size();
    while (!isScarce && size < longest) {
      double extended = bottleneckOf(model, free.subList(0, size + 1));
      if (extended > best * (1 - MIN_STAGE_GAIN)) {
        return size;
      }
      best = extended;
      size++;
      isScarce = (long) model.replicas() * (size + 1) > free.size();
    }
    return size;
  }

  private double bottleneckOf(ModelSpec model, List<Accelerator> chain) {
    return splitMethod
        .split(chain, model.layerCount(), model.layerBytes())
        .map(counts -> LayerSplitter.getBottleneckMicros(chain, counts))
        .orElse(Double.POSITIVE_INFINITY);
  }

  private static String reasonFor(
      ModelSpec model, int keptCount, List<PlacementPlan.Replica> replicas) {
    Map<String, Long> byPlace =
        replicas.stream()
            .collect(
                Collectors.groupingBy(
                    PlacementPlan.Replica::place, TreeMap::new, Collectors.counting()));
    long most = byPlace.values().stream().mapToLong(Long::longValue).max().orElse(0);
    String shortage =
        replicas.size() < model.replicas()
            ? "; no place has free targets with memory for another replica"
            : "";
    return String.format(
        "%s %s: %d of %d replicas, %d kept, %d new, by place %s; the loss of one place leaves %d%s",
        model.modelId(),
        model.modelVersion(),
        replicas.size(),
        model.replicas(),
        keptCount,
        replicas.size() - keptCount,
        byPlace,
        replicas.size() - most,
        shortage);
  }
}
