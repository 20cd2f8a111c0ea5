package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Keeps the layers of each data centre whole with few loads: closes the gaps that lost targets
 * leave, and gives new targets work where that brings more room. The layers that a target holds
 * already keep serving meanwhile.
 */
final class PlanRepair {

  /** Share of a target's memory that stays free for requests when it takes further layers. */
  static final double MIN_REQUEST_SHARE = 0.12;

  /**
   * Throughput that empty targets must add to be used as a further pipeline, as a share of that of
   * the data centre. Below it they are worth more as spares.
   */
  private static final double FURTHER_SHARE = 0.3;

  /** Targets of a data centre up to which tight ones are looked for; the search is cubic. */
  private static final int MAX_RELIEVED_ZONE = 64;

  /** Room for requests, as a share of the usual one, below which a target is relieved. */
  private static final double TIGHT_SHARE = 0.6;

  private PlanRepair() {}

  /** Adds the ranges that targets should change to; the others keep what they hold. */
  static void repair(
      List<TargetEntry> members,
      EngineProfile profile,
      PlanScope scope,
      Map<String, LayerRange> ranges) {
    Map<String, List<TargetEntry>> byZone = new TreeMap<>();
    for (TargetEntry entry : members) {
      byZone.computeIfAbsent(entry.dataCentre(), z -> new ArrayList<>()).add(entry);
    }
    for (List<TargetEntry> zone : byZone.values()) {
      repairZone(zone, profile, scope, ranges);
    }
  }

  private static void repairZone(
      List<TargetEntry> zone,
      EngineProfile profile,
      PlanScope scope,
      Map<String, LayerRange> ranges) {
    List<TargetEntry> holders = new ArrayList<>();
    List<TargetEntry> empty = new ArrayList<>();
    for (TargetEntry entry : zone) {
      (entry.layers().isPresent() ? holders : empty).add(entry);
    }
    empty.sort(Comparator.comparing(TargetEntry::address));
    if (holders.isEmpty()) {
      FirstPlan.plan(zone, profile).forEach(group -> group.addRanges(ranges));
      return;
    }
    int[] copies = copies(holders, profile.layers());
    int wanted = usualCopies(copies);
    if (Arrays.stream(copies).anyMatch(count -> count < wanted)) {
      freeRedundant(holders, empty, copies);
    }
    Map<String, LayerRange> changes = new HashMap<>();
    GapFill gapFill = new GapFill(holders, empty, profile, changes);
    boolean hasGaps = false;
    int from = 0;
    while (from < profile.layers()) {
      int to = from;
      while (to < profile.layers() && copies[to] < wanted) {
        to++;
      }
      if (to > from) {
        hasGaps = true;
        gapFill.close(LayerRange.of(from, to));
      }
      from = to + 1;
    }
    if (hasGaps && wanted == 1 && scope.isLossCertain()) {
      ZoneRebuild.splitAnew(zone, profile, changes);
    } else if (!hasGaps) {
      spread(holders, empty, copies, profile, changes);
      if (wanted == 1 && scope.isSettled() && changes.isEmpty()) {
        ZoneRebuild.upgrade(zone, profile, changes);
      }
    }
    ranges.putAll(changes);
  }

  /** Counts holders as empty whose layers all are held by others too. */
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

  private static int[] copies(List<TargetEntry> holders, int layers) {
    int[] copies = new int[layers];
    for (TargetEntry holder : holders) {
      LayerRange held = holder.layers().get();
      for (int i = held.firstLayer(); i < Math.min(layers, held.endLayer()); i++) {
        copies[i]++;
      }
    }
    return copies;
  }

  /** The number of copies that most layers have; a lost target lowers it for a few layers only. */
  private static int usualCopies(int[] copies) {
    int[] sorted = copies.clone();
    Arrays.sort(sorted);
    return Math.max(1, sorted[sorted.length / 2]);
  }

  /**
   * Empty targets that no gap needs form further pipelines if they can. Else they stay spare, but
   * for one that relieves targets with far less room than the others.
   */
  private static void spread(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      int[] copies,
      EngineProfile profile,
      Map<String, LayerRange> ranges) {
    List<FirstPlan.Group> further = FirstPlan.plan(empty, profile);
    double added = FirstPlan.throughput(further);
    if (added > FURTHER_SHARE * ZoneRebuild.throughput(holders, profile)) {
      further.forEach(group -> group.addRanges(ranges));
      return;
    }
    double usualRoom = GapFill.usualRoom(holders, profile);
    trim(holders, copies, usualRoom, profile, ranges);
    if (!empty.isEmpty() && holders.size() <= MAX_RELIEVED_ZONE) {
      relieve(holders, empty, usualRoom, profile, ranges);
    }
  }

  /** Gives an empty target the layers that the two tightest neighbours have too many of. */
  private static void relieve(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      double usualRoom,
      EngineProfile profile,
      Map<String, LayerRange> ranges) {
    TargetEntry spare = largest(empty, profile);
    int capacity = layersAtRoom(spare, usualRoom * TIGHT_SHARE, profile);
    LayerRange best = null;
    for (TargetEntry before : holders) {
      for (TargetEntry after : holders) {
        LayerRange left = before.layers().get();
        LayerRange right = after.layers().get();
        boolean isCovered = isOverlapped(before, holders) || isOverlapped(after, holders);
        if (left.endLayer() != right.firstLayer() || isCovered) {
          continue;
        }
        int fromLeft = excess(before, usualRoom, profile);
        int fromRight = excess(after, usualRoom, profile);
        int total = fromLeft + fromRight;
        if (total > capacity) {
          fromLeft = fromLeft * capacity / total;
          fromRight = fromRight * capacity / total;
        }
        int from = left.endLayer() - fromLeft;
        int to = right.firstLayer() + fromRight;
        if (to > from && (best == null || to - from > best.layerCount())) {
          best = LayerRange.of(from, to);
        }
      }
    }
    if (best != null) {
      ranges.put(spare.id(), best);
    }
  }

  private static TargetEntry largest(List<TargetEntry> empty, EngineProfile profile) {
    return empty.stream()
        .max(
            Comparator.<TargetEntry>comparingInt(e -> GapFill.capacity(e, profile))
                .thenComparing(TargetEntry::address))
        .orElseThrow();
  }

  private static boolean isOverlapped(TargetEntry entry, List<TargetEntry> holders) {
    LayerRange held = entry.layers().get();
    for (TargetEntry other : holders) {
      LayerRange its = other.layers().get();
      boolean isOther = !other.id().equals(entry.id());
      if (isOther && its.firstLayer() < held.endLayer() && held.firstLayer() < its.endLayer()) {
        return true;
      }
    }
    return false;
  }

  /** Layers that a target with far less room than usual holds beyond its part. */
  private static int excess(TargetEntry entry, double usualRoom, EngineProfile profile) {
    if (GapFill.tokensPerLayer(entry, profile) >= usualRoom * TIGHT_SHARE) {
      return 0;
    }
    int fair = Math.max(1, layersAtRoom(entry, usualRoom, profile));
    return Math.max(0, entry.layers().get().layerCount() - fair);
  }

  /** The most layers with which a target has at least a given room for each of them. */
  private static int layersAtRoom(TargetEntry entry, double roomPerLayer, EngineProfile profile) {
    double memoryMb = profile.kind(entry.acceleratorKind()).orElseThrow().memoryMb();
    int layers = GapFill.capacity(entry, profile);
    while (layers > 0 && profile.layerTokenRoom(memoryMb, layers) / layers < roomPerLayer) {
      layers--;
    }
    return layers;
  }

  /** Tight targets give up layers at their ends that another target holds too. */
  private static void trim(
      List<TargetEntry> holders,
      int[] copies,
      double usualRoom,
      EngineProfile profile,
      Map<String, LayerRange> ranges) {
    for (TargetEntry entry : holders) {
      if (ranges.containsKey(entry.id()) || excess(entry, usualRoom, profile) == 0) {
        continue;
      }
      LayerRange held = entry.layers().get();
      for (TargetEntry other : holders) {
        LayerRange its = other.layers().get();
        boolean isUsable =
            !ranges.containsKey(other.id()) && excess(other, usualRoom, profile) == 0;
        if (!isUsable) {
          continue;
        }
        if (its.firstLayer() > held.firstLayer()
            && its.firstLayer() < held.endLayer()
            && its.endLayer() >= held.endLayer()) {
          giveUp(entry, its.firstLayer(), held.endLayer(), copies, ranges);
          break;
        }
        if (its.firstLayer() <= held.firstLayer()
            && its.endLayer() > held.firstLayer()
            && its.endLayer() < held.endLayer()) {
          giveUp(entry, held.firstLayer(), its.endLayer(), copies, ranges);
          break;
        }
      }
    }
  }

  /** Has a target give up layers at one end, unless that would leave a gap to be filled again. */
  private static void giveUp(
      TargetEntry entry, int from, int to, int[] copies, Map<String, LayerRange> ranges) {
    int wanted = usualCopies(copies);
    for (int layer = from; layer < to; layer++) {
      if (copies[layer] <= wanted) {
        return;
      }
    }
    for (int layer = from; layer < to; layer++) {
      copies[layer]--;
    }
    LayerRange held = entry.layers().get();
    ranges.put(
        entry.id(),
        from == held.firstLayer()
            ? LayerRange.of(to, held.endLayer())
            : LayerRange.of(held.firstLayer(), from));
  }
}
