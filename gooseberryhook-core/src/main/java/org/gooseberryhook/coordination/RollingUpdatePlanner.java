package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PlacementPlan;
import org.gooseberryhook.state.PlacementPlan.Replica;

/**
 * Plans a rolling update of one model: changes its placement in steps during which the model stays
 * served. Missing replicas are placed on free targets. If a new version finds no free targets, one
 * replica of an old version is converted at a time, and only while all replicas of the new version
 * serve and at least one other replica remains.
 *
 * @since 0.1
 */
public final class RollingUpdatePlanner {

  /** Number of silent engines that are treated as dead in a fleet of any size. */
  private static final int MIN_SILENT_LIMIT = 2;

  /** If more than one in this many engines is silent, the fault is assumed to be on this node. */
  private static final int ENGINES_PER_SILENT = 5;

  private final PlacementPlanner planner;

  /**
   * Creates a planner.
   *
   * @param planner places the replicas of one version
   */
  public RollingUpdatePlanner(PlacementPlanner planner) {
    this.planner = planner;
  }

  /**
   * The state that a step is decided on.
   *
   * @param model the declared model
   * @param currentPlan the current plan of this model; it may contain several versions
   * @param fleet targets that are alive, are not leaving and may be used for this model; those
   *     whose memory is not known (0) keep their layers and are never ordered to load others
   * @param isServing whether all stages of a replica report that they hold it
   * @since 0.1
   */
  public record Input(
      ModelSpec model,
      PlacementPlan currentPlan,
      Collection<Accelerator> fleet,
      Predicate<Replica> isServing) {}

  /**
   * Returns whether engines that do not respond to this node are treated as dead. If many are
   * silent at once, the cause is probably a network fault of this node, and moving their replicas
   * would interrupt a working fleet. In that case only the VM list decides which engines are alive.
   *
   * @param silentCount number of engines on the VM list that have not responded for a while
   * @param engineCount number of engines on the VM list
   * @return true if the silent engines are treated as dead
   */
  public static boolean shouldTreatSilentAsDead(int silentCount, int engineCount) {
    return silentCount <= Math.max(MIN_SILENT_LIMIT, engineCount / ENGINES_PER_SILENT);
  }

  /**
   * Plans the next step.
   *
   * @param input the state to decide on
   * @return the changed plan; empty if nothing needs to change now
   */
  public Optional<PlacementPlan> planNextStep(Input input) {
    Map<String, Accelerator> byId = new HashMap<>();
    input.fleet().forEach(accelerator -> byId.put(accelerator.targetId(), accelerator));
    List<Replica> current = new ArrayList<>();
    List<Replica> old = new ArrayList<>();
    for (Replica replica : input.currentPlan().replicas()) {
      if (replica.stages().stream().allMatch(stage -> byId.containsKey(stage.targetId()))) {
        boolean isCurrent = replica.modelVersion().equals(input.model().modelVersion());
        (isCurrent ? current : old).add(replica);
      }
    }
    PlacementPlan nextPlan = decide(input, byId, current, old);
    return nextPlan.replicas().equals(input.currentPlan().replicas())
        ? Optional.empty()
        : Optional.of(nextPlan);
  }

  private PlacementPlan decide(
      Input input, Map<String, Accelerator> byId, List<Replica> current, List<Replica> old) {
    ModelSpec model = input.model();
    boolean isAllServing = current.stream().allMatch(input.isServing());
    if (current.size() >= model.replicas() && (isAllServing || old.isEmpty())) {
      return planner.plan(List.of(model), byId.values(), new PlacementPlan(current, List.of()));
    }
    List<Accelerator> free = new ArrayList<>(byId.values());
    Set<String> used = targetsOf(old);
    used.addAll(targetsOf(current));
    free.removeIf(a -> used.contains(a.targetId()) || a.memoryBytes() == 0);
    PlacementPlan filled = addReplicas(model, current, free, byId);
    if (filled.replicas().size() > current.size()) {
      return addOldReplicas(filled, old, old.size() + " of earlier versions serve until these do");
    }
    boolean isOtherServing = current.size() + old.stream().filter(input.isServing()).count() > 1;
    if (old.isEmpty() || !isAllServing || !isOtherServing) {
      return addOldReplicas(
          filled, old, "waiting for a free target or for another replica to serve");
    }
    return convertOne(input, byId, current, old, free)
        .orElseGet(
            () -> addOldReplicas(filled, old, "no replica of an earlier version can be converted"));
  }

  private Optional<PlacementPlan> convertOne(
      Input input,
      Map<String, Accelerator> byId,
      List<Replica> current,
      List<Replica> old,
      List<Accelerator> free) {
    ModelSpec model = input.model();
    ModelSpec oneMore =
        new ModelSpec(
            model.modelId(),
            model.modelVersion(),
            model.layerCount(),
            model.layerBytes(),
            current.size() + 1);
    Map<String, Long> oldByPlace =
        old.stream().collect(Collectors.groupingBy(Replica::place, Collectors.counting()));
    List<Replica> convertible =
        old.stream()
            .sorted(
                Comparator.comparing((Replica replica) -> input.isServing().test(replica))
                    .thenComparing(replica -> -oldByPlace.get(replica.place())))
            .toList();
    for (Replica converted : convertible) {
      List<Accelerator> ownTargets =
          converted.stages().stream().map(stage -> byId.get(stage.targetId())).toList();
      if (ownTargets.stream().anyMatch(accelerator -> accelerator.memoryBytes() == 0)) {
        continue;
      }
      List<Accelerator> ownAndFree = new ArrayList<>(free);
      ownAndFree.addAll(ownTargets);
      for (List<Accelerator> usable : List.of(ownTargets, ownAndFree)) {
        PlacementPlan plan = addReplicas(oneMore, current, usable, byId);
        if (plan.replicas().size() > current.size()) {
          List<Replica> remaining = new ArrayList<>(old);
          remaining.remove(converted);
          return Optional.of(
              addOldReplicas(plan, remaining, "one replica of an earlier version is converted"));
        }
      }
    }
    return Optional.empty();
  }

  private PlacementPlan addReplicas(
      ModelSpec model,
      List<Replica> current,
      List<Accelerator> free,
      Map<String, Accelerator> byId) {
    List<Accelerator> usable = new ArrayList<>(free);
    targetsOf(current).forEach(targetId -> usable.add(byId.get(targetId)));
    return planner.plan(List.of(model), usable, new PlacementPlan(current, List.of()));
  }

  private static PlacementPlan addOldReplicas(
      PlacementPlan plan, List<Replica> old, String reason) {
    if (old.isEmpty()) {
      return plan;
    }
    List<Replica> replicas = new ArrayList<>(plan.replicas());
    replicas.addAll(old);
    List<String> reasons = new ArrayList<>(plan.reasons());
    reasons.add(reason);
    return new PlacementPlan(replicas, reasons);
  }

  private static Set<String> targetsOf(List<Replica> replicas) {
    return replicas.stream()
        .flatMap(replica -> replica.stages().stream())
        .map(PlacementPlan.Stage::targetId)
        .collect(Collectors.toSet());
  }
}
