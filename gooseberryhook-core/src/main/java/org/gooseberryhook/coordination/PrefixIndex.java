package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Index of the pipelines that probably hold a prompt prefix in their prefix cache. Updated by the
 * requests that this node routes and by cache events, which may arrive late and with gaps.
 *
 * <p>Blocks are divided into shards, each with its own lock and LRU order; a full shard drops its
 * least recently used block. A block lists at most {@link #MAX_PIPELINES_PER_BLOCK} pipelines;
 * beyond that the one with the oldest confirmation is dropped.
 *
 * @since 0.1
 */
public final class PrefixIndex {

  /** Maximum number of blocks over all shards. */
  public static final int MAX_BLOCKS = 200_000;

  /** Maximum number of pipelines listed for one block. */
  public static final int MAX_PIPELINES_PER_BLOCK = 8;

  /** Maximum number of pipelines returned for a prompt. */
  public static final int MAX_HITS = 8;

  /** Age at which an entry is ignored, in nanoseconds. */
  public static final long MAX_AGE_NANOS = 600_000_000_000L;

  private static final int SHARDS = 64;
  private static final double GAP_TRUST_FACTOR = 0.5;
  private static final double TRUST_REGAINED_PER_EVENT = 0.02;

  private final List<Shard> shards = new ArrayList<>();
  private final Map<String, CachingPipeline> pipelines = new ConcurrentHashMap<>();

  /** Creates an index bounded by {@link #MAX_BLOCKS}. */
  public PrefixIndex() {
    this(MAX_BLOCKS);
  }

  /**
   * Creates an index.
   *
   * @param maxBlocks maximum number of blocks over all shards, at least the number of shards
   */
  PrefixIndex(int maxBlocks) {
    for (int i = 0; i < SHARDS; i++) {
      shards.add(new Shard(maxBlocks / SHARDS));
    }
  }

  /**
   * Records that a pipeline holds, or will soon hold, blocks in its cache.
   *
   * @param pipelineId the pipeline
   * @param hashes chained block hashes
   * @param nowNanos monotonic time
   */
  public void store(String pipelineId, long[] hashes, long nowNanos) {
    CachingPipeline pipeline = pipelines.computeIfAbsent(pipelineId, CachingPipeline::new);
    for (long hash : hashes) {
      Shard shard = shardOf(hash);
      synchronized (shard) {
        shard.computeIfAbsent(hash, key -> new Block()).put(pipeline, nowNanos);
      }
    }
  }

  /**
   * Handles a cache event of a pipeline's target. After a gap in the event numbers, older entries
   * are trusted less. If an event arrives after a later one, only its removals are applied, because
   * a missing hint costs less than a wrong one.
   *
   * @param pipelineId the pipeline that uses the target
   * @param event the event
   * @param nowNanos monotonic time
   */
  public void onCacheEvent(String pipelineId, CacheEvent event, long nowNanos) {
    CachingPipeline pipeline = pipelines.computeIfAbsent(pipelineId, CachingPipeline::new);
    boolean isLatest = pipeline.tryAdvance(event, nowNanos);
    if (isLatest) {
      store(pipelineId, event.stored(), nowNanos);
    }
    for (long hash : event.removed()) {
      Shard shard = shardOf(hash);
      synchronized (shard) {
        Block block = shard.get(hash);
        if (block != null && block.remove(pipeline)) {
          shard.remove(hash);
        }
      }
    }
  }

  /**
   * Finds the pipelines with the longest cached prefix.
   *
   * @param hashes chained block hashes of the prompt
   * @param nowNanos monotonic time
   * @return at most {@link #MAX_HITS} hits, longest first, never null
   */
  public List<Hit> find(long[] hashes, long nowNanos) {
    CachingPipeline[] candidates = new CachingPipeline[MAX_PIPELINES_PER_BLOCK];
    int[] lengths = new int[MAX_PIPELINES_PER_BLOCK];
    double[] trusts = new double[MAX_PIPELINES_PER_BLOCK];
    int candidateCount = 0;
    for (int i = 0; i < hashes.length; i++) {
      Shard shard = shardOf(hashes[i]);
      boolean isAnyMatching = false;
      synchronized (shard) {
        Block block = shard.get(hashes[i]);
        if (block == null) {
          break;
        }
        if (i == 0) {
          candidateCount = block.copyPipelines(candidates);
        }
        for (int j = 0; j < candidateCount; j++) {
          double trust = lengths[j] == i ? block.trust(candidates[j], nowNanos) : 0;
          if (trust > 0) {
            trusts[j] = i == 0 ? trust : Math.min(trust, trusts[j]);
            lengths[j]++;
            isAnyMatching = true;
          }
        }
      }
      if (!isAnyMatching) {
        break;
      }
    }
    return toHits(candidates, lengths, trusts, candidateCount);
  }

  /**
   * Removes pipelines that no longer exist.
   *
   * @param pipelineIds the pipelines
   */
  public void removePipelines(Collection<String> pipelineIds) {
    for (String pipelineId : pipelineIds) {
      CachingPipeline pipeline = pipelines.remove(pipelineId);
      if (pipeline != null) {
        pipeline.isRemoved = true;
      }
    }
  }

  /**
   * Returns the number of blocks in the index.
   *
   * @return at most the bound
   */
  public int size() {
    int size = 0;
    for (Shard shard : shards) {
      synchronized (shard) {
        size += shard.size();
      }
    }
    return size;
  }

  private static List<Hit> toHits(
      CachingPipeline[] candidates, int[] lengths, double[] trusts, int candidateCount) {
    List<Hit> hits = new ArrayList<>(candidateCount);
    for (int i = 0; i < candidateCount; i++) {
      if (lengths[i] > 0) {
        hits.add(new Hit(candidates[i].pipelineId, lengths[i], trusts[i]));
      }
    }
    if (hits.size() > 1) {
      hits.sort(Comparator.comparingInt(Hit::blockCount).reversed().thenComparing(Hit::pipelineId));
    }
    return hits.size() > MAX_HITS ? hits.subList(0, MAX_HITS) : hits;
  }

  private Shard shardOf(long hash) {
    return shards.get((int) (hash >>> 58));
  }

  /**
   * A change of a target's prefix cache.
   *
   * @param targetId the target
   * @param sequence number of the event, incremented by one for each event of the target
   * @param stored chained hashes of the blocks stored
   * @param removed chained hashes of the blocks removed
   * @since 0.1
   */
  public record CacheEvent(String targetId, long sequence, long[] stored, long[] removed) {}

  /**
   * A pipeline that probably holds a prefix.
   *
   * @param pipelineId the pipeline
   * @param blockCount number of leading blocks held, at least 1
   * @param trust confidence from 0 to 1, lowered by gaps in the cache events
   * @since 0.1
   */
  public record Hit(String pipelineId, int blockCount, double trust) {}

  /** Blocks by hash in LRU order; guarded by its own monitor. */
  private static final class Shard extends LinkedHashMap<Long, Block> {
    private static final long serialVersionUID = 1L;
    private final int maxBlocks;

    Shard(int maxBlocks) {
      super(16, 0.75f, true);
      this.maxBlocks = maxBlocks;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Block> eldest) {
      return size() > maxBlocks;
    }
  }

  /** A pipeline and the state of its targets' event sequences. */
  private static final class CachingPipeline {
    private final String pipelineId;
    private final Map<String, Long> lastSequences = new ConcurrentHashMap<>();
    private volatile boolean isRemoved;
    private volatile boolean hasGap;
    private volatile long lastGapNanos;
    private volatile double trust = 1;

    CachingPipeline(String pipelineId) {
      this.pipelineId = pipelineId;
    }

    /**
     * Records the sequence number of an event. Returns false if a later event of the target, or the
     * same one, was received before.
     */
    synchronized boolean tryAdvance(CacheEvent event, long nowNanos) {
      Long last = lastSequences.get(event.targetId());
      if (last != null && event.sequence() <= last) {
        return false;
      }
      lastSequences.put(event.targetId(), event.sequence());
      if (last != null && event.sequence() > last + 1) {
        hasGap = true;
        lastGapNanos = nowNanos;
        trust *= GAP_TRUST_FACTOR;
      } else {
        trust = Math.min(1, trust + TRUST_REGAINED_PER_EVENT);
      }
      return true;
    }
  }

  /** The pipelines that hold one block, least recently confirmed first. */
  private static final class Block {
    private final CachingPipeline[] pipelines = new CachingPipeline[MAX_PIPELINES_PER_BLOCK];
    private final long[] storedNanos = new long[MAX_PIPELINES_PER_BLOCK];
    private int count;

    void put(CachingPipeline pipeline, long nowNanos) {
      remove(pipeline);
      if (count == MAX_PIPELINES_PER_BLOCK) {
        removeAt(0);
      }
      pipelines[count] = pipeline;
      storedNanos[count++] = nowNanos;
    }

    boolean remove(CachingPipeline pipeline) {
      int index = indexOf(pipeline);
      if (index >= 0) {
        removeAt(index);
      }
      return count == 0;
    }

    int copyPipelines(CachingPipeline[] destination) {
      System.arraycopy(pipelines, 0, destination, 0, count);
      return count;
    }

    double trust(CachingPipeline pipeline, long nowNanos) {
      int index = indexOf(pipeline);
      if (index < 0 || pipeline.isRemoved || nowNanos - storedNanos[index] > MAX_AGE_NANOS) {
        return 0;
      }
      boolean isAfterGap = !pipeline.hasGap || storedNanos[index] - pipeline.lastGapNanos >= 0;
      return isAfterGap ? 1 : pipeline.trust;
    }

    private int indexOf(CachingPipeline pipeline) {
      for (int i = 0; i < count; i++) {
        if (pipelines[i] == pipeline) {
          return i;
        }
      }
      return -1;
    }

    private void removeAt(int index) {
      System.arraycopy(pipelines, index + 1, pipelines, index, count - index - 1);
      System.arraycopy(storedNanos, index + 1, storedNanos, index, count - index - 1);
      pipelines[--count] = null;
    }
  }
}
