package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Plans pipelines for targets that hold nothing.
 *
 * <p>Each pipeline stays inside one data centre: the bandwidth between data centres is shared by
 * all prompts, and a pipeline across them waits for it at each token. The targets of data centres
 * that cannot hold the model are pooled.
 */
final class FirstPlan {

  /** Pipelines of one data centre that are considered at most. */
  private static final int MAX_PIPELINES = 16;

  /** Targets of a data centre that are planned together at most; enough for several pipelines. */
  private static final int MAX_PART = 32;

  /** Targets that a request may pass through at most. */
  private static final int MAX_STAGES = 32;

  /**
   * Share of the room for requests that a data centre gives up for spare targets. A spare takes the
   * layers of a lost target within seconds, while the others go on unchanged.
   */
  private static final double SPARE_COST = 0.12;

  private FirstPlan() {}

  /** A pipeline: targets in layer order and the layers of each. */
  record Group(List<TargetEntry> targets, GroupSplit split) {

    void addRanges(Map<String, LayerRange> ranges) {
      int next = 0;
      for (int i : largestInTheMiddle()) {
        int count = split.counts()[i];
        if (count > 0) {
          ranges.put(targets.get(i).id(), LayerRange.of(next, next + count));
          next += count;
        }
      }
    }

    /**
     * Orders the targets so that a large one has two neighbours, which can take its layers when it
     * is lost; the first and the last have only one.
     */
    private List<Integer> largestInTheMiddle() {
      List<Integer> smallestFirst = new ArrayList<>();
      for (int i = 0; i < targets.size(); i++) {
        smallestFirst.add(i);
      }
      smallestFirst.sort(Comparator.comparingInt(i -> split.counts()[i]));
      LinkedList<Integer> order = new LinkedList<>();
      for (int i = smallestFirst.size() - 1; i >= 0; i--) {
        if (order.size() % 2 == 0) {
          order.addFirst(smallestFirst.get(i));
        } else {
          order.addLast(smallestFirst.get(i));
        }
      }
      return order;
    }
  }

  /** Plans all data centres. */
  static List<Group> plan(List<TargetEntry> entries, EngineProfile profile) {
    Map<String, List<TargetEntry>> byZone = new TreeMap<>();
    for (TargetEntry entry : entries) {
      byZone.computeIfAbsent(entry.dataCentre(), z -> new ArrayList<>()).add(entry);
    }
    List<Group> groups = new ArrayList<>();
    List<TargetEntry> pooled = new ArrayList<>();
    Map<List<String>, List<Shape>> known = new HashMap<>();
    for (List<TargetEntry> members : byZone.values()) {
      List<Group> own = planParts(members, profile, known);
      if (own.isEmpty()) {
        pooled.addAll(members);
      }
      groups.addAll(own);
    }
    groups.addAll(planParts(pooled, profile, known));
    return groups;
  }

  /** A pipeline by the places of its targets in a list of members. */
  private record Shape(List<Integer> places, GroupSplit split) {}

  /**
   * Plans a data centre in parts of bounded size with about the same kinds each. Parts with the
   * same kinds have the same plan, so that the time grows little with the size.
   */
  private static List<Group> planParts(
      List<TargetEntry> members, EngineProfile profile, Map<List<String>, List<Shape>> known) {
    List<TargetEntry> sorted = new ArrayList<>(members);
    sorted.sort(
        Comparator.comparing(TargetEntry::acceleratorKind).thenComparing(TargetEntry::address));
    int parts = Math.max(1, (members.size() + MAX_PART - 1) / MAX_PART);
    List<Group> groups = new ArrayList<>();
    for (int part = 0; part < parts; part++) {
      List<TargetEntry> own = new ArrayList<>();
      for (int i = part; i < sorted.size(); i += parts) {
        own.add(sorted.get(i));
      }
      List<String> kinds = own.stream().map(TargetEntry::acceleratorKind).toList();
      List<Shape> shapes = known.computeIfAbsent(kinds, k -> shapes(own, profile));
      for (Shape shape : shapes) {
        groups.add(new Group(shape.places().stream().map(own::get).toList(), shape.split()));
      }
    }
    return groups;
  }

  private static List<Shape> shapes(List<TargetEntry> members, EngineProfile profile) {
    List<Shape> shapes = new ArrayList<>();
    for (Group group : planWithSpares(members, profile)) {
      shapes.add(new Shape(group.targets().stream().map(members::indexOf).toList(), group.split()));
    }
    return shapes;
  }

  /** Leaves out targets that can stand in for most others, as long as that costs little room. */
  private static List<Group> planWithSpares(List<TargetEntry> members, EngineProfile profile) {
    List<TargetEntry> used = new ArrayList<>(members);
    List<Group> best = planPool(used, profile);
    double most = throughput(best);
    while (!best.isEmpty()) {
      most = Math.max(most, throughput(best));
      TargetEntry spare = null;
      List<Group> bestWithout = List.of();
      for (TargetEntry candidate : distinctKinds(used)) {
        List<TargetEntry> rest = new ArrayList<>(used);
        rest.remove(candidate);
        List<Group> without = planPool(rest, profile);
        if (throughput(without) >= most * (1 - SPARE_COST)
            && isStandIn(candidate, without, profile)
            && throughput(without) > throughput(bestWithout)) {
          spare = candidate;
          bestWithout = without;
        }
      }
      if (spare == null) {
        return best;
      }
      used.remove(spare);
      best = bestWithout;
    }
    return best;
  }

  static double throughput(List<Group> groups) {
    return groups.stream().mapToDouble(g -> g.split().throughput()).sum();
  }

  /** One target of each kind, the last by address. */
  private static List<TargetEntry> distinctKinds(List<TargetEntry> members) {
    Map<String, TargetEntry> byKind = new TreeMap<>();
    for (TargetEntry entry : members) {
      byKind.merge(
          entry.acceleratorKind(), entry, (a, b) -> a.address().compareTo(b.address()) > 0 ? a : b);
    }
    return List.copyOf(byKind.values());
  }

  /** Tells whether a spare has the memory for the layers of most targets. */
  private static boolean isStandIn(TargetEntry spare, List<Group> groups, EngineProfile profile) {
    int capacity =
        profile.layerCapacity(kind(spare, profile).memoryMb(), PlanRepair.MIN_REQUEST_SHARE);
    int fitting = 0;
    int all = 0;
    for (Group group : groups) {
      for (int count : group.split().counts()) {
        fitting += count <= capacity ? 1 : 0;
        all++;
      }
    }
    return fitting * 2 > all;
  }

  /** Plans targets that may work together, with the number of pipelines that takes the most. */
  private static List<Group> planPool(List<TargetEntry> members, EngineProfile profile) {
    List<Group> best = List.of();
    double bestValue = 0;
    for (int pipelines = 1; pipelines <= Math.min(MAX_PIPELINES, members.size()); pipelines++) {
      Optional<List<Group>> groups = divide(members, pipelines, profile);
      if (groups.isEmpty()) {
        continue;
      }
      double value = throughput(groups.get());
      if (value > bestValue) {
        bestValue = value;
        best = groups.get();
      }
    }
    return best;
  }

  /** Deals the targets out, largest first, to the pipeline with the least memory. */
  private static Optional<List<Group>> divide(
      List<TargetEntry> members, int pipelines, EngineProfile profile) {
    List<TargetEntry> sorted = new ArrayList<>(members);
    sorted.sort(
        Comparator.<TargetEntry>comparingDouble(e -> -kind(e, profile).memoryMb())
            .thenComparing(TargetEntry::address));
    List<List<TargetEntry>> dealt = new ArrayList<>();
    double[] memoryMb = new double[pipelines];
    for (int i = 0; i < pipelines; i++) {
      dealt.add(new ArrayList<>());
    }
    for (TargetEntry entry : sorted) {
      int least = 0;
      for (int i = 1; i < pipelines; i++) {
        least = memoryMb[i] < memoryMb[least] ? i : least;
      }
      if (dealt.get(least).size() < MAX_STAGES) {
        dealt.get(least).add(entry);
        memoryMb[least] += kind(entry, profile).memoryMb();
      }
    }
    List<Group> groups = new ArrayList<>();
    for (List<TargetEntry> targets : dealt) {
      List<AcceleratorKind> kinds = targets.stream().map(e -> kind(e, profile)).toList();
      Optional<GroupSplit> split = GroupSplit.best(kinds, profile);
      if (split.isEmpty()) {
        return Optional.empty();
      }
      groups.add(new Group(targets, split.get()));
    }
    return Optional.of(groups);
  }

  private static AcceleratorKind kind(TargetEntry entry, EngineProfile profile) {
    return profile.kind(entry.acceleratorKind()).orElseThrow();
  }
}
