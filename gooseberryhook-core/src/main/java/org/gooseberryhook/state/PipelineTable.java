package org.gooseberryhook.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Pipelines of the fleet with this node's data about their targets and links. Targets are kept in
 * shards, each under its own lock. The pipelines of a model version are an immutable snapshot, so
 * that requests can be routed while the fleet changes. Thread-safe.
 *
 * <p>The size is bounded by the fleet: targets and links that no pipeline uses any longer are
 * removed with their data.
 *
 * @since 0.1
 */
public final class PipelineTable {

  private static final int SHARDS = 64;

  // Assumed one-way latencies of a link until its latency has been learned.
  private static final double SAME_DATA_CENTRE_NANOS = 100_000;
  private static final double SAME_REGION_NANOS = 1_000_000;
  private static final double OTHER_REGION_NANOS = 20_000_000;

  private final List<Map<String, TargetActivity>> shards = new ArrayList<>();
  private final Map<String, LinkTime> links = new ConcurrentHashMap<>();
  private final Map<ModelKey, Snapshot> models = new ConcurrentHashMap<>();
  private final Object changeLock = new Object();

  /** Creates an empty table. */
  public PipelineTable() {
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new HashMap<>());
    }
  }

  /**
   * Adds and removes pipelines. Pipelines that stay keep their data, and so do targets that move to
   * another pipeline.
   *
   * @param added new pipelines
   * @param removedPipelineIds ids of pipelines that must receive no new work
   */
  public void update(Collection<Pipeline> added, Collection<String> removedPipelineIds) {
    synchronized (changeLock) {
      Set<String> removed = Set.copyOf(removedPipelineIds);
      Set<String> maybeUnused = new HashSet<>();
      Map<ModelKey, Map<String, PipelineEntry>> changed = new HashMap<>();
      models.forEach(
          (key, snapshot) -> removePipelines(key, snapshot, removed, changed, maybeUnused));
      for (Pipeline pipeline : added) {
        ModelKey key = new ModelKey(pipeline.modelId(), pipeline.modelVersion());
        Map<String, PipelineEntry> entries =
            changed.computeIfAbsent(key, ignored -> copyOf(models.get(key)));
        entries.computeIfAbsent(pipeline.pipelineId(), ignored -> newEntry(pipeline));
      }
      changed.forEach((key, entries) -> put(key, entries));
      dropUnused(maybeUnused);
    }
  }

  /**
   * Records a load report. A report about a target that no pipeline uses is ignored.
   *
   * @param load the report
   */
  public void report(TargetLoad load) {
    TargetActivity target = find(load.targetId());
    if (target != null) {
      target.update(load);
    }
  }

  /**
   * Returns the data about a target.
   *
   * @param targetId id of the target
   * @return the data, or null if no pipeline uses the target
   */
  public TargetActivity find(String targetId) {
    Map<String, TargetActivity> shard = shardOf(targetId);
    synchronized (shard) {
      return shard.get(targetId);
    }
  }

  /**
   * Returns the pipelines of a model version.
   *
   * @param modelId id of the model
   * @param modelVersion version of the model
   * @return an immutable list, empty if there are none
   */
  public List<PipelineEntry> entries(String modelId, String modelVersion) {
    Snapshot snapshot = models.get(new ModelKey(modelId, modelVersion));
    return snapshot == null ? List.of() : snapshot.list;
  }

  /**
   * Chooses the model version for a new request. While an earlier version has more than one
   * pipeline, the requests are divided between the versions in proportion to their pipelines, so
   * that the first pipeline of a new version is not overloaded. The last pipeline of an earlier
   * version receives no requests while the declared version has a pipeline, so that its streams can
   * end before it is converted.
   *
   * @param modelId id of the model
   * @param declaredVersion the version that new requests should use
   * @param requestHash hash of the request, which decides between the versions
   * @return a version that has pipelines, or the declared version if there is none
   */
  public String chooseVersion(String modelId, String declaredVersion, int requestHash) {
    int declaredCount = entries(modelId, declaredVersion).size();
    ModelKey earlier = null;
    int earlierCount = 0;
    for (Map.Entry<ModelKey, Snapshot> found : models.entrySet()) {
      ModelKey key = found.getKey();
      int count = found.getValue().list.size();
      boolean isEarlier =
          key.modelId().equals(modelId) && !key.modelVersion().equals(declaredVersion);
      if (isEarlier && count > earlierCount) {
        earlier = key;
        earlierCount = count;
      }
    }
    if (earlier == null) {
      return declaredVersion;
    }
    boolean isShared = earlierCount > 1;
    boolean isEarlierChosen =
        declaredCount == 0
            || (isShared
                && Math.floorMod(requestHash, declaredCount + earlierCount) < earlierCount);
    return isEarlierChosen ? earlier.modelVersion() : declaredVersion;
  }

  /**
   * Returns one pipeline of a model version.
   *
   * @param modelId id of the model
   * @param modelVersion version of the model
   * @param pipelineId id of the pipeline
   * @return the entry, or null if there is no such pipeline
   */
  public PipelineEntry entry(String modelId, String modelVersion, String pipelineId) {
    Snapshot snapshot = models.get(new ModelKey(modelId, modelVersion));
    return snapshot == null ? null : snapshot.byId.get(pipelineId);
  }

  /**
   * Returns the model versions that have pipelines.
   *
   * @return a copy of the keys
   */
  public Set<ModelKey> modelKeys() {
    return Set.copyOf(models.keySet());
  }

  private static void removePipelines(
      ModelKey key,
      Snapshot snapshot,
      Set<String> removed,
      Map<ModelKey, Map<String, PipelineEntry>> changed,
      Set<String> maybeUnused) {
    Predicate<PipelineEntry> isRemoved = entry -> removed.contains(entry.pipeline().pipelineId());
    if (removed.isEmpty() || snapshot.list.stream().noneMatch(isRemoved)) {
      return;
    }
    Map<String, PipelineEntry> kept = new LinkedHashMap<>(snapshot.byId);
    for (String pipelineId : removed) {
      PipelineEntry removedEntry = kept.remove(pipelineId);
      if (removedEntry != null) {
        removedEntry.pipeline().stages().forEach(stage -> maybeUnused.add(stage.targetId()));
      }
    }
    changed.put(key, kept);
  }

  private PipelineEntry newEntry(Pipeline pipeline) {
    List<TargetActivity> stages = new ArrayList<>();
    List<LinkTime> hops = new ArrayList<>();
    Target previous = null;
    for (Target stage : pipeline.stages()) {
      Map<String, TargetActivity> shard = shardOf(stage.targetId());
      synchronized (shard) {
        TargetActivity activity =
            shard.computeIfAbsent(stage.targetId(), id -> new TargetActivity(shard));
        activity.setPipelineId(pipeline.pipelineId());
        stages.add(activity);
      }
      if (previous != null) {
        hops.add(linkBetween(previous, stage));
      }
      previous = stage;
    }
    if (stages.size() > 1) {
      hops.add(linkBetween(previous, pipeline.head()));
    }
    return new PipelineEntry(pipeline, stages, hops);
  }

  private LinkTime linkBetween(Target from, Target to) {
    double initialNanos =
        from.place().equals(to.place())
            ? SAME_DATA_CENTRE_NANOS
            : from.region().equals(to.region()) ? SAME_REGION_NANOS : OTHER_REGION_NANOS;
    return links.computeIfAbsent(linkKey(from, to), key -> new LinkTime(initialNanos));
  }

  private static String linkKey(Target from, Target to) {
    return from.place() + ">" + to.place();
  }

  private void put(ModelKey key, Map<String, PipelineEntry> entries) {
    if (entries.isEmpty()) {
      models.remove(key);
    } else {
      // Not Map.copyOf: its iteration order differs between processes, and routing depends on it.
      Map<String, PipelineEntry> byId = Collections.unmodifiableMap(entries);
      models.put(key, new Snapshot(List.copyOf(entries.values()), byId));
    }
  }

  private void dropUnused(Set<String> maybeUnused) {
    if (maybeUnused.isEmpty()) {
      return;
    }
    Set<String> usedLinks = new HashSet<>();
    for (Snapshot snapshot : models.values()) {
      for (PipelineEntry entry : snapshot.list) {
        Target previous = null;
        for (Target stage : entry.pipeline().stages()) {
          maybeUnused.remove(stage.targetId());
          if (previous != null) {
            usedLinks.add(linkKey(previous, stage));
          }
          previous = stage;
        }
        usedLinks.add(linkKey(previous, entry.pipeline().head()));
      }
    }
    links.keySet().retainAll(usedLinks);
    for (String targetId : maybeUnused) {
      Map<String, TargetActivity> shard = shardOf(targetId);
      synchronized (shard) {
        shard.remove(targetId);
      }
    }
  }

  private Map<String, TargetActivity> shardOf(String targetId) {
    return shards.get(Math.floorMod(targetId.hashCode(), SHARDS));
  }

  private static Map<String, PipelineEntry> copyOf(Snapshot snapshot) {
    return snapshot == null ? new LinkedHashMap<>() : new LinkedHashMap<>(snapshot.byId);
  }

  /**
   * Key of a model version.
   *
   * @param modelId id of the model
   * @param modelVersion version of the model
   * @since 0.1
   */
  public record ModelKey(String modelId, String modelVersion) {}

  private record Snapshot(List<PipelineEntry> list, Map<String, PipelineEntry> byId) {}
}
