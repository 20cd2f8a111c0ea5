package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Keeps all layers of the model available in each data centre with few layer loads: fills the gaps
 * that lost targets leave, and gives layers to empty targets where that adds capacity. The layers
 * that a target already holds keep serving meanwhile.
 */
final class PlacementRepair {

  /** Share of a target's memory that stays free for requests when it takes further layers. */
  static final double MIN_REQUEST_SHARE = 0.12;

  /**
   * Throughput that empty targets must add to form further pipelines, as a share of the throughput
   * of the data centre. Below it they are worth more as spares.
   */
  static final double MIN_ADDED_THROUGHPUT_SHARE = 0.3;

  /**
   * Largest number of layer-holding targets in a data centre for which overloaded neighbours are
   * searched and ways to fill a gap are compared; the time of the search grows with the cube of the
   * number.
   */
  static final int MAX_HOLDERS_FOR_RELIEF = 64;

  /** Token capacity, as a share of the median, below which a target counts as overloaded. */
  private static final double LOW_CAPACITY_SHARE = 0.6;

  private PlacementRepair() {}

  /** Adds the new layers of the targets that should change; the others keep what they hold. */
  static void repair(
      List<TargetEntry> members,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges,
      Set<LayerPlan.Reason> reasons) {
    Map<String, List<TargetEntry>> byDataCentre = new TreeMap<>();
    for (TargetEntry entry : members) {
      byDataCentre.computeIfAbsent(entry.dataCentre(), key -> new ArrayList<>()).add(entry);
    }
    for (List<TargetEntry> targets : byDataCentre.values()) {
      repairDataCentre(targets, profile, conditions, ranges, reasons);
    }
  }

  private static void repairDataCentre(
      List<TargetEntry> targets,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges,
      Set<LayerPlan.Reason> reasons) {
    List<TargetEntry> holders = new ArrayList<>();
    List<TargetEntry> empty = new ArrayList<>();
    for (TargetEntry entry : targets) {
      (entry.layers().isPresent() ? holders : empty).add(entry);
    }
    empty.sort(Comparator.comparing(TargetEntry::address));
    if (holders.isEmpty()) {
      planFirst(targets, profile, ranges, reasons);
      return;
    }
    int[] copies = countCopies(holders, profile.layerCount());
    int wantedCopies = medianCopies(copies);
    boolean isBroken = Arrays.stream(copies).anyMatch(count -> count < wantedCopies);
    if (isBroken && wantedCopies > 1) {
      restorePipelines(holders, empty, profile, conditions, ranges, reasons);
      return;
    }
    Map<String, LayerRange> changes = new HashMap<>();
    LayerPlan.Reason reason = isBroken ? LayerPlan.Reason.GAP : LayerPlan.Reason.SPARE;
    if (isBroken) {
      freeRedundant(holders, empty, copies);
      fillGaps(copies, new GapFiller(holders, empty, profile, changes));
      if (conditions.isLossConfirmed()
          && PipelineRebalancer.repartition(targets, profile, changes)) {
        reason = LayerPlan.Reason.DIVISION;
      }
    } else {
      if (conditions.isSettled()
          && PipelineRestoration.completePipelines(holders, empty, profile, changes)) {
        reason = LayerPlan.Reason.GAP;
      } else {
        useEmptyTargets(holders, empty, copies, profile, conditions, changes);
      }
      if (conditions.isSettled() && changes.isEmpty()) {
        PipelineRebalancer.addHead(targets, profile, conditions, changes);
        reason = changes.isEmpty() ? reason : LayerPlan.Reason.LIMIT;
      }
      if (wantedCopies == 1 && conditions.isSettled() && changes.isEmpty()) {
        PipelineRebalancer.improve(targets, profile, conditions, changes);
        reason = LayerPlan.Reason.IMPROVEMENT;
      }
      if (wantedCopies == 1 && conditions.isReleasing() && changes.isEmpty()) {
        prepareReplacements(holders, empty, copies, changes);
        reason = LayerPlan.Reason.REPLACEMENT;
      }
    }
    if (!changes.isEmpty()) {
      reasons.add(reason);
      ranges.putAll(changes);
    }
  }

  /** Fills the ranges of layers that no target holds. */
  private static void fillGaps(int[] copies, GapFiller gapFiller) {
    int from = 0;
    while (from < copies.length) {
      int to = from;
      while (to < copies.length && copies[to] == 0) {
        to++;
      }
      if (to > from) {
        gapFiller.fill(LayerRange.of(from, to));
      }
      from = to + 1;
    }
  }

  private static void planFirst(
      List<TargetEntry> targets,
      EngineProfile profile,
      Map<String, LayerRange> ranges,
      Set<LayerPlan.Reason> reasons) {
    int before = ranges.size();
    InitialPlacement.plan(targets, profile).forEach(pipeline -> pipeline.addLayerRanges(ranges));
    if (ranges.size() > before) {
      reasons.add(LayerPlan.Reason.FIRST);
    }
  }

  private static void restorePipelines(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges,
      Set<LayerPlan.Reason> reasons) {
    Map<String, LayerRange> restored =
        PipelineRestoration.plan(holders, empty, profile, conditions.isLossConfirmed());
    if (!restored.isEmpty()) {
      reasons.add(LayerPlan.Reason.GAP);
      ranges.putAll(restored);
    }
  }

  /** Moves holders whose layers are all held by other targets as well to the empty targets. */
  private static void freeRedundant(
      List<TargetEntry> holders, List<TargetEntry> empty, int[] copies) {
    for (TargetEntry holder : List.copyOf(holders)) {
      LayerRange held = holder.layers().get();
      int end = Math.min(copies.length, held.endLayer());
      boolean isRedundant = true;
      for (int layer = held.firstLayer(); layer < end; layer++) {
        isRedundant &= copies[layer] > 1;
      }
      if (isRedundant) {
        for (int layer = held.firstLayer(); layer < end; layer++) {
          copies[layer]--;
        }
        holders.remove(holder);
        empty.add(holder);
      }
    }
  }

  /**
   * Gives targets that have joined the layers of those that they are about to replace. In a release
   * a target starts before the one of its kind that it replaces leaves. Which one that is, is known
   * once no more targets of the kind are due than have joined. One target stays empty, since
   * another one may be lost: a target that has to drop layers first waits for their streams.
   */
  private static void prepareReplacements(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      int[] copies,
      Map<String, LayerRange> ranges) {
    long oldestMs =
        holders.stream().mapToLong(TargetEntry::startedAtMs).min().orElse(Long.MAX_VALUE);
    Map<String, List<TargetEntry>> emptyByKind = new TreeMap<>();
    for (TargetEntry target : empty) {
      emptyByKind.computeIfAbsent(target.acceleratorKind(), k -> new ArrayList<>()).add(target);
    }
    emptyByKind.forEach(
        (kind, targets) -> {
          long joinedMs = targets.stream().mapToLong(TargetEntry::startedAtMs).max().orElseThrow();
          List<TargetEntry> joined =
              targets.stream().filter(t -> !isDue(t, oldestMs, joinedMs)).toList();
          List<TargetEntry> due =
              holders.stream()
                  .filter(t -> t.acceleratorKind().equals(kind) && isDue(t, oldestMs, joinedMs))
                  .filter(t -> isLastHolder(t, copies))
                  .toList();
          boolean isEnough =
              due.size() <= joined.size() && ranges.size() + due.size() < empty.size();
          for (int i = 0; isEnough && i < due.size(); i++) {
            ranges.put(joined.get(i).id(), due.get(i).layers().get());
          }
        });
  }

  /**
   * Returns whether a target belongs to those that a release which has begun has yet to replace.
   */
  private static boolean isDue(TargetEntry target, long oldestMs, long joinedMs) {
    return target.startedAtMs() - oldestMs < joinedMs - target.startedAtMs();
  }

  private static boolean isLastHolder(TargetEntry holder, int[] copies) {
    LayerRange held = holder.layers().get();
    return Arrays.stream(copies, held.firstLayer(), held.endLayer()).anyMatch(count -> count == 1);
  }

  private static int[] countCopies(List<TargetEntry> holders, int layers) {
    int[] copies = new int[layers];
    for (TargetEntry holder : holders) {
      LayerRange held = holder.layers().get();
      for (int i = held.firstLayer(); i < Math.min(layers, held.endLayer()); i++) {
        copies[i]++;
      }
    }
    return copies;
  }

  /**
   * Returns the median number of copies of a layer, at least 1. A lost target lowers the copies of
   * few layers, so the median shows how many copies there should be.
   */
  private static int medianCopies(int[] copies) {
    int[] sorted = copies.clone();
    Arrays.sort(sorted);
    return Math.max(1, sorted[sorted.length / 2]);
  }

  /**
   * Plans further pipelines of the empty targets if these add enough throughput. Else the empty
   * targets stay spares, except for one that takes layers from overloaded neighbours.
   */
  private static void useEmptyTargets(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      int[] copies,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges) {
    List<InitialPlacement.PlannedPipeline> additional = InitialPlacement.plan(empty, profile);
    double addedThroughput = InitialPlacement.throughput(additional);
    if (addedThroughput
        > MIN_ADDED_THROUGHPUT_SHARE * PipelineRebalancer.throughput(holders, profile)) {
      additional.forEach(pipeline -> pipeline.addLayerRanges(ranges));
      return;
    }
    double medianCapacity = GapFiller.medianTokenCapacity(holders, profile);
    trimOverloaded(holders, copies, medianCapacity, profile, conditions, ranges);
    if (!empty.isEmpty() && holders.size() <= MAX_HOLDERS_FOR_RELIEF) {
      relieveNeighbours(holders, empty, medianCapacity, profile, conditions, ranges);
    }
  }

  /**
   * Gives the largest empty target the excess layers of two adjacent targets, chosen so that it
   * takes as many layers as possible. The two drop these layers in a later plan.
   */
  private static void relieveNeighbours(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      double medianCapacity,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges) {
    TargetEntry spare = largest(empty, profile);
    int maxLayers = maxLayersWithCapacity(spare, medianCapacity * LOW_CAPACITY_SHARE, profile);
    LayerRange best = null;
    for (TargetEntry before : holders) {
      for (TargetEntry after : holders) {
        LayerRange left = before.layers().get();
        LayerRange right = after.layers().get();
        boolean isCovered = isOverlapped(before, holders) || isOverlapped(after, holders);
        if (left.endLayer() != right.firstLayer() || isCovered) {
          continue;
        }
        int fromLeft = excessLayers(before, medianCapacity, profile);
        int fromRight = excessLayers(after, medianCapacity, profile);
        int total = fromLeft + fromRight;
        if (total > maxLayers) {
          fromLeft = fromLeft * maxLayers / total;
          fromRight = fromRight * maxLayers / total;
        }
        int from = left.endLayer() - fromLeft;
        int to = right.firstLayer() + fromRight;
        if (to > from && (best == null || to - from > best.layerCount())) {
          best = LayerRange.of(from, to);
        }
      }
    }
    if (best != null && isWorthTakingOver(spare, best, holders, profile, conditions)) {
      ranges.put(spare.id(), best);
    }
  }

  /**
   * Returns whether a spare that takes layers over, and the targets that then drop them, serve
   * clearly more than the targets do without it: one more stage also makes each pass longer.
   */
  private static boolean isWorthTakingOver(
      TargetEntry spare,
      LayerRange taken,
      List<TargetEntry> holders,
      EngineProfile profile,
      PlanConditions conditions) {
    List<TargetEntry> after = new ArrayList<>();
    for (TargetEntry holder : holders) {
      after.add(holder.withLayers(withoutOverlap(holder.layers().get(), taken)));
    }
    after.add(spare.withLayers(taken));
    return PipelineRebalancer.isImprovement(holders, after, profile, conditions);
  }

  /** Returns the part of a range that another one, which overlaps one of its ends, leaves. */
  static LayerRange withoutOverlap(LayerRange held, LayerRange taken) {
    boolean takesStart = taken.firstLayer() <= held.firstLayer();
    boolean takesEnd = taken.endLayer() >= held.endLayer();
    if (takesStart == takesEnd) {
      return held;
    }
    return takesStart
        ? LayerRange.of(Math.max(held.firstLayer(), taken.endLayer()), held.endLayer())
        : LayerRange.of(held.firstLayer(), Math.min(held.endLayer(), taken.firstLayer()));
  }

  private static TargetEntry largest(List<TargetEntry> empty, EngineProfile profile) {
    return empty.stream()
        .max(
            Comparator.<TargetEntry>comparingInt(e -> GapFiller.layerCapacity(e, profile))
                .thenComparing(TargetEntry::address))
        .orElseThrow();
  }

  private static boolean isOverlapped(TargetEntry entry, List<TargetEntry> holders) {
    LayerRange held = entry.layers().get();
    for (TargetEntry other : holders) {
      LayerRange otherHeld = other.layers().get();
      boolean isOther = !other.id().equals(entry.id());
      if (isOther
          && otherHeld.firstLayer() < held.endLayer()
          && held.firstLayer() < otherHeld.endLayer()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns how many layers an overloaded target would have to drop to reach the median token
   * capacity; 0 if the target is not overloaded.
   */
  private static int excessLayers(TargetEntry entry, double medianCapacity, EngineProfile profile) {
    if (GapFiller.tokenCapacity(entry, profile) >= medianCapacity * LOW_CAPACITY_SHARE) {
      return 0;
    }
    int fairCount = Math.max(1, maxLayersWithCapacity(entry, medianCapacity, profile));
    return Math.max(0, entry.layers().get().layerCount() - fairCount);
  }

  /** Returns the largest number of layers that leaves a target at least a given token capacity. */
  private static int maxLayersWithCapacity(
      TargetEntry entry, double minTokenCapacity, EngineProfile profile) {
    double memoryMb = profile.acceleratorKind(entry.acceleratorKind()).orElseThrow().memoryMb();
    int layers = GapFiller.layerCapacity(entry, profile);
    while (layers > 0 && profile.layerTokenCapacity(memoryMb, layers) / layers < minTokenCapacity) {
      layers--;
    }
    return layers;
  }

  /**
   * Makes overloaded targets drop layers at one end that another target, which is not overloaded,
   * holds as well, unless the data centre then serves less.
   */
  private static void trimOverloaded(
      List<TargetEntry> holders,
      int[] copies,
      double medianCapacity,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges) {
    for (TargetEntry entry : holders) {
      if (ranges.containsKey(entry.id()) || excessLayers(entry, medianCapacity, profile) == 0) {
        continue;
      }
      LayerRange held = entry.layers().get();
      for (TargetEntry other : holders) {
        boolean canKeepOverlap =
            !ranges.containsKey(other.id()) && excessLayers(other, medianCapacity, profile) == 0;
        LayerRange kept = withoutOverlap(held, other.layers().get());
        if (canKeepOverlap && !kept.equals(held)) {
          trim(entry, other, holders, copies, profile, conditions, ranges);
          break;
        }
      }
    }
  }

  /**
   * Makes a target drop the layers that another one holds as well, unless that would leave a gap to
   * be filled again, serve less than before, or serve clearly less than if the other one dropped
   * them. Without the last two conditions, it would undo an improvement of {@link
   * PipelineRebalancer}, also one of which only the first half is done, and which would be made
   * again and again.
   */
  private static void trim(
      TargetEntry entry,
      TargetEntry other,
      List<TargetEntry> holders,
      int[] copies,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges) {
    LayerRange held = entry.layers().get();
    LayerRange kept = withoutOverlap(held, other.layers().get());
    int wantedCopies = medianCopies(copies);
    int[] remaining = copies.clone();
    int end = Math.min(remaining.length, held.endLayer());
    for (int layer = held.firstLayer(); layer < end; layer++) {
      boolean isKept = kept.firstLayer() <= layer && layer < kept.endLayer();
      remaining[layer] -= isKept ? 0 : 1;
      if (!isKept && remaining[layer] < wantedCopies) {
        return;
      }
    }
    Map<String, LayerRange> trimmed = new HashMap<>(ranges);
    trimmed.put(entry.id(), kept);
    Map<String, LayerRange> otherTrimmed = new HashMap<>(ranges);
    otherTrimmed.put(other.id(), withoutOverlap(other.layers().get(), held));
    List<TargetEntry> after = PipelineRebalancer.apply(holders, trimmed);
    if (PipelineRebalancer.throughput(after, profile)
            >= PipelineRebalancer.throughput(PipelineRebalancer.apply(holders, ranges), profile)
        && !PipelineRebalancer.isImprovement(
            after, PipelineRebalancer.apply(holders, otherTrimmed), profile, conditions)) {
      System.arraycopy(remaining, 0, copies, 0, copies.length);
      ranges.put(entry.id(), kept);
    }
  }
}
