package org.gooseberryhook.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.gooseberryhook.coordination.PrefixIndex.CacheEvent;

/**
 * Simulates a pipeline of engines: batch slots, a queue, and a prefix cache with LRU eviction. The
 * step time of a request is fixed when it starts and follows from the size of the batch at that
 * time.
 */
final class EngineModel {

  /** True growth of the step time from an empty to a full batch; the router assumes 0.5. */
  static final double FULL_BATCH_SLOWDOWN = 0.8;

  private final int slots;
  private final double stageNanos;
  private final double linkNanos;
  private final double promptNanosPerToken;
  private final Map<Long, Boolean> cache;
  private final PriorityQueue<Long> ends = new PriorityQueue<>();
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> removed = new ArrayList<>();
  private long nextSequence = 1;

  EngineModel(
      int slots, double stageNanos, double linkNanos, double promptNanosPerToken, int cacheBlocks) {
    this.slots = slots;
    this.stageNanos = stageNanos;
    this.linkNanos = linkNanos;
    this.promptNanosPerToken = promptNanosPerToken;
    this.cache =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            boolean isFull = size() > cacheBlocks;
            if (isFull) {
              removed.add(eldest.getKey());
            }
            return isFull;
          }
        };
  }

  int slots() {
    return slots;
  }

  int running() {
    return ends.size();
  }

  int waiting() {
    return queue.size();
  }

  /** Starts the job if a slot is free and returns true; otherwise queues it and returns false. */
  boolean offer(Job job, long nowNanos) {
    if (ends.size() < slots) {
      start(job, nowNanos);
      return true;
    }
    queue.add(job);
    return false;
  }

  /**
   * Ends the running job with the earliest end time and returns the job that starts in its slot, or
   * null if none is queued.
   */
  Job endEarliest(long nowNanos) {
    ends.poll();
    Job next = queue.poll();
    if (next != null) {
      start(next, nowNanos);
    }
    return next;
  }

  /** Returns the blocks stored and removed since the last call. */
  CacheEvent takeCacheEvent(String targetId) {
    // A block that was both stored and removed since then is reported by its present state.
    stored.removeIf(hash -> !cache.containsKey(hash));
    removed.removeIf(cache::containsKey);
    CacheEvent event = new CacheEvent(targetId, nextSequence++, toArray(stored), toArray(removed));
    stored.clear();
    removed.clear();
    return event;
  }

  /**
   * Returns the completion time of a job that is offered now, from the true state of the engine, in
   * nanoseconds from now.
   */
  double trueCompletionNanos(Job job, long nowNanos) {
    double waitNanos = 0;
    if (ends.size() >= slots) {
      long[] sorted = ends.stream().mapToLong(Long::longValue).toArray();
      Arrays.sort(sorted);
      int fullRounds = queue.size() / slots;
      double roundNanos = job.steps * stepNanos(slots);
      waitNanos = sorted[queue.size() % slots] - nowNanos + fullRounds * roundNanos;
    }
    int batch = Math.min(slots, ends.size() + 1);
    return waitNanos + promptNanos(job) + job.steps * stepNanos(batch);
  }

  private static long[] toArray(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).toArray();
  }

  private void start(Job job, long nowNanos) {
    job.stepNanos = stepNanos(ends.size() + 1);
    job.firstTokenNanos = nowNanos + (long) (promptNanos(job) + job.stepNanos);
    job.endNanos = job.firstTokenNanos + (long) ((job.steps - 1) * job.stepNanos);
    for (long hash : job.hashes) {
      if (cache.put(hash, Boolean.TRUE) == null) {
        stored.add(hash);
      }
    }
    ends.add(job.endNanos);
  }

  private double stepNanos(int batch) {
    return stageNanos * (1 + FULL_BATCH_SLOWDOWN * batch / slots) + linkNanos;
  }

  private double promptNanos(Job job) {
    int cached = 0;
    while (cached < job.hashes.length && cache.containsKey(job.hashes[cached])) {
      cached++;
    }
    double uncachedShare = 1 - (double) cached / Math.max(1, job.hashes.length);
    return job.promptTokens * uncachedShare * promptNanosPerToken;
  }

  /** A request and, once it has started, the times of its tokens. */
  static final class Job {
    final long[] hashes;
    final int promptTokens;
    final int steps;
    double stepNanos;
    long firstTokenNanos;
    long endNanos;

    Job(long[] hashes, int promptTokens, int steps) {
      this.hashes = hashes;
      this.promptTokens = promptTokens;
      this.steps = steps;
    }
  }
}
