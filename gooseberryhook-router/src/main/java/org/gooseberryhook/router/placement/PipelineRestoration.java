package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Restores broken pipelines of a data centre that has several.
 *
 * <p>The targets of working pipelines keep their layers: a target that changes its layers refuses
 * new streams until the old ones have ended and the load is over. Of a broken pipeline the
 * remaining targets keep theirs too, and targets without layers get the missing ones. Only if there
 * are too few of these, the broken pipeline that lacks the most layers is given up for the others.
 */
final class PipelineRestoration {

  private final EngineProfile profile;
  private final boolean isLossConfirmed;
  private final List<TargetEntry> spares;
  private final Map<String, LayerRange> changes = new HashMap<>();

  private PipelineRestoration(
      EngineProfile profile, boolean isLossConfirmed, List<TargetEntry> spares) {
    this.profile = profile;
    this.isLossConfirmed = isLossConfirmed;
    this.spares = new ArrayList<>(spares);
  }

  /**
   * Plans the changes that restore broken pipelines.
   *
   * @param holders targets of one data centre that hold layers
   * @param empty targets of the data centre that hold none
   * @param profile profile of the engines
   * @param isLossConfirmed whether missing targets are known to be gone; only then may the targets
   *     of broken pipelines be divided anew
   * @return new layers of the targets that should change, by target id
   */
  static Map<String, LayerRange> plan(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      EngineProfile profile,
      boolean isLossConfirmed) {
    Set<String> working = workingTargets(holders, profile);
    List<TargetEntry> others =
        holders.stream().filter(holder -> !working.contains(holder.id())).toList();
    PipelineRestoration restoration = new PipelineRestoration(profile, isLossConfirmed, empty);
    restoration.restore(brokenPipelines(others));
    return restoration.changes;
  }

  /**
   * Gives empty targets the layers that broken pipelines lack, if that adds enough throughput. Each
   * layer has a copy in a working pipeline, so the number of copies does not show that others are
   * broken: after the loss of more than half of one of two pipelines, the median is one copy.
   *
   * @param holders targets of one data centre that hold layers; they keep them
   * @param empty targets of the data centre that hold none
   * @param profile profile of the engines
   * @param ranges receives the new layers of the targets that change, by target id
   * @return whether pipelines are completed
   */
  static boolean completePipelines(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      EngineProfile profile,
      Map<String, LayerRange> ranges) {
    boolean isLarge = holders.size() > PlacementRepair.MAX_HOLDERS_FOR_RELIEF;
    if (isLarge || empty.isEmpty()) {
      return false;
    }
    Set<String> working = workingTargets(holders, profile);
    List<TargetEntry> others =
        holders.stream().filter(holder -> !working.contains(holder.id())).toList();
    PipelineRestoration restoration = new PipelineRestoration(profile, false, empty);
    restoration.restoreFirst(brokenPipelines(others));
    List<TargetEntry> targets = new ArrayList<>(holders);
    targets.addAll(empty);
    double before = PipelineRebalancer.throughput(targets, profile);
    double after =
        PipelineRebalancer.throughput(
            PipelineRebalancer.apply(targets, restoration.changes), profile);
    boolean isWorthwhile = after > before * (1 + PlacementRepair.MIN_ADDED_THROUGHPUT_SHARE);
    if (isWorthwhile) {
      ranges.putAll(restoration.changes);
    }
    return isWorthwhile;
  }

  /** Returns the ids of the targets of complete pipelines that share no target. */
  private static Set<String> workingTargets(List<TargetEntry> holders, EngineProfile profile) {
    Set<String> working = new HashSet<>();
    for (ModelPipeline pipeline :
        ModelPipelines.compose(holders, profile.layerCount(), entry -> true)) {
      List<String> ids = pipeline.stages().stream().map(stage -> stage.target().id()).toList();
      if (ids.stream().noneMatch(working::contains)) {
        working.addAll(ids);
      }
    }
    return working;
  }

  /**
   * Groups targets whose layers follow one another without overlap, each group with a target as
   * close as possible behind the one before it.
   */
  private static List<List<TargetEntry>> brokenPipelines(List<TargetEntry> holders) {
    List<TargetEntry> remaining = new ArrayList<>(holders);
    remaining.sort(
        Comparator.<TargetEntry>comparingInt(entry -> entry.layers().get().firstLayer())
            .thenComparing(TargetEntry::address));
    List<List<TargetEntry>> pipelines = new ArrayList<>();
    while (!remaining.isEmpty()) {
      List<TargetEntry> pipeline = new ArrayList<>();
      int from = 0;
      for (TargetEntry entry : remaining) {
        if (entry.layers().get().firstLayer() >= from) {
          pipeline.add(entry);
          from = entry.layers().get().endLayer();
        }
      }
      remaining.removeAll(pipeline);
      pipelines.add(pipeline);
    }
    return pipelines;
  }

  private void restore(List<List<TargetEntry>> broken) {
    List<List<TargetEntry>> waiting = new ArrayList<>(broken);
    waiting.sort(Comparator.comparingInt(this::missingLayers));
    restoreFirst(waiting);
    while (waiting.size() > 1) {
      spares.addAll(waiting.remove(waiting.size() - 1));
      restoreFirst(waiting);
    }
    if (!waiting.isEmpty()) {
      divideAnew(waiting.get(0));
    }
  }

  /** Restores the pipelines for which there are enough spares, and removes them from the list. */
  private void restoreFirst(List<List<TargetEntry>> waiting) {
    for (List<TargetEntry> pipeline : List.copyOf(waiting)) {
      int share = (spares.size() + waiting.size() - 1) / waiting.size();
      if (fillGaps(pipeline, preferred(share)) || fillGaps(pipeline, spares)) {
        waiting.remove(pipeline);
      }
    }
  }

  /** Returns the first spares by preference: those without layers, the largest first. */
  private List<TargetEntry> preferred(int count) {
    return spares.stream()
        .sorted(
            Comparator.<TargetEntry, Boolean>comparing(entry -> entry.layers().isPresent())
                .thenComparingDouble(entry -> -GapFiller.memoryMb(entry, profile))
                .thenComparing(TargetEntry::address))
        .limit(count)
        .toList();
  }

  /** Gives the missing layers of a pipeline to spares; changes nothing if they do not suffice. */
  private boolean fillGaps(List<TargetEntry> pipeline, List<TargetEntry> available) {
    Map<String, LayerRange> filled = new HashMap<>();
    List<TargetEntry> unused = new ArrayList<>(available);
    GapFiller filler = new GapFiller(pipeline, unused, profile, filled);
    for (LayerRange gap : gaps(pipeline)) {
      if (!filler.fillWithEmptyTargets(gap)) {
        return false;
      }
    }
    List<TargetEntry> used = new ArrayList<>(available);
    used.removeAll(unused);
    List<TargetEntry> members = new ArrayList<>(pipeline);
    members.addAll(used);
    boolean serves =
        PipelineRebalancer.throughput(PipelineRebalancer.apply(members, filled), profile) > 0;
    if (serves) {
      changes.putAll(filled);
      spares.removeAll(used);
    }
    return serves;
  }

  /**
   * Divides the layers among a broken pipeline and the spares, or has its targets take the missing
   * layers in addition to their own.
   */
  private void divideAnew(List<TargetEntry> pipeline) {
    List<TargetEntry> members = new ArrayList<>(pipeline);
    members.addAll(spares);
    List<InitialPlacement.PlannedPipeline> division = InitialPlacement.plan(members, profile);
    if (isLossConfirmed && !division.isEmpty()) {
      Map<String, LayerRange> ranges = new HashMap<>();
      division.forEach(planned -> planned.addLayerRanges(ranges));
      for (TargetEntry member : members) {
        Optional<LayerRange> wanted = Optional.ofNullable(ranges.get(member.id()));
        if (wanted.isPresent() && !member.layers().equals(wanted)) {
          changes.put(member.id(), wanted.get());
        }
      }
      return;
    }
    GapFiller filler = new GapFiller(pipeline, new ArrayList<>(spares), profile, changes);
    gaps(pipeline).forEach(filler::fill);
  }

  private int missingLayers(List<TargetEntry> pipeline) {
    return gaps(pipeline).stream().mapToInt(LayerRange::layerCount).sum();
  }

  private List<LayerRange> gaps(List<TargetEntry> pipeline) {
    List<LayerRange> gaps = new ArrayList<>();
    int from = 0;
    for (TargetEntry entry : pipeline) {
      LayerRange held = entry.layers().get();
      if (held.firstLayer() > from) {
        gaps.add(LayerRange.of(from, held.firstLayer()));
      }
      from = held.endLayer();
    }
    if (from < profile.layerCount()) {
      gaps.add(LayerRange.of(from, profile.layerCount()));
    }
    return gaps;
  }
}
