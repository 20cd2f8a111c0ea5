package org.gooseberryhook.coordination;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.gooseberryhook.coordination.RouteResult.Chosen;
import org.gooseberryhook.coordination.RouteResult.NoPipeline;
import org.gooseberryhook.coordination.RouteResult.Reason;
import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PipelineTable.ModelKey;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.TargetActivity;

/**
 * Chooses a pipeline for each request by estimated completion time over a candidate set of constant
 * size: prefix index hits, some of the best of a periodically sorted index, and random ones.
 *
 * <p>Thread-safe. A chosen request is registered on its pipeline before {@link #route} returns, so
 * that concurrent requests see each other and isolation holds on this node.
 *
 * @since 0.1
 */
public final class PipelineRouter {

  /** Period at which {@link #refresh} is to be called, in milliseconds. */
  public static final long REFRESH_PERIOD_MS = 1_000;

  /** Share of a pipeline's slots that batch work may fill while there is interactive demand. */
  public static final double BATCH_SLOT_SHARE = 0.7;

  private static final int RANKED_CANDIDATES = 6;
  private static final int RANDOM_CANDIDATES = 4;
  private static final int MAX_CANDIDATES =
      RANKED_CANDIDATES + RANDOM_CANDIDATES + PrefixIndex.MAX_HITS;

  /** Part of the ranking to draw from, so that nodes do not all choose the same pipelines. */
  private static final int RANKED_WINDOW_DIVISOR = 8;

  /** Share of ordinary requests that probe a pipeline which is out of use. */
  private static final double TRIAL_SHARE = 0.05;

  private static final long RETRY_AFTER_MS = 250;

  private final PipelineTable table;
  private final PipelineHealth health;
  private final PrefixIndex prefixes;
  private final CompletionEstimate estimate;
  private final Map<ModelKey, RouteIndex> indexes = new ConcurrentHashMap<>();

  /**
   * Creates a router.
   *
   * @param table the pipelines and their loads
   * @param health learned times and breakers
   * @param prefixes hints on cached prefixes
   */
  public PipelineRouter(PipelineTable table, PipelineHealth health, PrefixIndex prefixes) {
    this.table = table;
    this.health = health;
    this.prefixes = prefixes;
    this.estimate = new CompletionEstimate(health);
  }

  /**
   * Takes over a change of the fleet.
   *
   * @param change pipelines that came and went
   */
  public void onPipelinesChanged(PipelineComposer.Change change) {
    table.update(change.added(), change.removedPipelineIds());
    prefixes.forget(change.removedPipelineIds());
    Collection<ModelKey> keys = table.modelKeys();
    indexes.keySet().retainAll(keys);
  }

  /**
   * Returns the model in the version that a new request uses for its whole life.
   *
   * @param model the declared model
   * @param requestId the request
   * @return the model, with an earlier version while that one still serves
   */
  public ModelSpec chooseVersion(ModelSpec model, String requestId) {
    return model.withVersion(
        table.chooseVersion(model.modelId(), model.modelVersion(), requestId.hashCode()));
  }

  /**
   * Takes a cache event, late or after a gap. An event of a target that no pipeline uses is
   * ignored.
   *
   * @param event the event
   * @param nowNanos monotonic time
   */
  public void onCacheEvent(PrefixIndex.CacheEvent event, long nowNanos) {
    TargetActivity target = table.find(event.targetId());
    if (target != null) {
      prefixes.onCacheEvent(target.pipelineId(), event, nowNanos);
    }
  }

  /**
   * Compares pipelines with their peers and sorts them anew. To be called every {@link
   * #REFRESH_PERIOD_MS}; a request that finds an index of an older fleet sorts it itself.
   *
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void refresh(long nowNanos, RandomGenerator random) {
    for (ModelKey key : table.modelKeys()) {
      List<PipelineEntry> entries = table.entries(key.modelId(), key.modelVersion());
      health.review(entries, nowNanos, random);
      indexes.compute(key, (ignored, old) -> sort(entries, old));
    }
  }

  /**
   * Counts the free slots of the pipelines in use, as the load reports show them.
   *
   * @return slots without a request, at least 0
   */
  public int countFreeSlots() {
    int free = 0;
    for (ModelKey key : table.modelKeys()) {
      for (PipelineEntry entry : table.entries(key.modelId(), key.modelVersion())) {
        free += entry.isInUse() ? Math.max(0, entry.slots() - entry.occupied()) : 0;
      }
    }
    return free;
  }

  /**
   * Chooses a pipeline and registers the request on it.
   *
   * @param facts the request
   * @param rule limits on where it may run
   * @param nowNanos monotonic time
   * @param random source of candidates
   * @return the choice, never null
   */
  public RouteResult route(
      RouteRequest facts, RouteRule rule, long nowNanos, RandomGenerator random) {
    List<PipelineEntry> entries = table.entries(facts.modelId(), facts.modelVersion());
    if (entries.isEmpty()) {
      return new NoPipeline(Reason.NONE_COMPOSED, RETRY_AFTER_MS);
    }
    RouteIndex index = currentIndex(facts, entries);
    boolean isBatch = facts.priorityClass() == PriorityClass.BATCH;
    if (!isBatch) {
      index.noteInteractive(nowNanos);
    } else if (index.isBatchPaused(nowNanos)) {
      return new NoPipeline(Reason.BATCH_SHARE_USED, RETRY_AFTER_MS);
    }
    boolean mayTry = rule.isUnlimited();
    if (mayTry && index.outOfUse().length > 0 && random.nextDouble() < TRIAL_SHARE) {
      Chosen trial = tryTrial(facts, index, nowNanos, random);
      if (trial != null) {
        return trial;
      }
    }
    CandidateSet candidates = new CandidateSet(MAX_CANDIDATES);
    RouteSearch search = new RouteSearch(facts, rule, index, nowNanos);
    collect(search, entries, candidates, random);
    Chosen chosen = chooseBest(search, candidates);
    if (chosen == null) {
      chosen = chooseFirst(search);
    }
    if (chosen == null && mayTry) {
      chosen = tryTrial(facts, index, nowNanos, random);
    }
    return chosen != null ? chosen : refuse(search);
  }

  /**
   * Registers a request on a named pipeline, for example on the repaired chain that imports its
   * cache.
   *
   * @param pipelineId the pipeline
   * @param facts the request
   * @param rule limits on where it may run
   * @param cachedShare share of the prompt expected in the cache, from 0 to 1
   * @param nowNanos monotonic time
   * @return the choice, or a refusal if the pipeline is gone, out of use or excluded by the rule
   */
  public RouteResult claim(
      String pipelineId, RouteRequest facts, RouteRule rule, double cachedShare, long nowNanos) {
    PipelineEntry entry = table.entry(facts.modelId(), facts.modelVersion(), pipelineId);
    boolean isUsable = entry != null && entry.isInUse() && !rule.isExcluding(entry.pipeline());
    if (!isUsable || !entry.tryBegin(rule.isolation(), nowNanos)) {
      return new NoPipeline(Reason.NONE_USABLE, RETRY_AFTER_MS);
    }
    return chosen(entry, facts, rule, cachedShare, nowNanos);
  }

  /**
   * Notes that the start order was sent.
   *
   * @param dispatch the dispatch
   * @param nowNanos monotonic time
   */
  public void onDispatched(Dispatch dispatch, long nowNanos) {
    dispatch.start(nowNanos);
    String pipelineId = dispatch.entry().pipeline().pipelineId();
    prefixes.store(pipelineId, dispatch.facts().promptBlocks().hashes(), nowNanos);
  }

  /**
   * Notes the first token.
   *
   * @param dispatch the dispatch
   * @param nowNanos monotonic time
   */
  public void onFirstToken(Dispatch dispatch, long nowNanos) {
    long nanos = dispatch.firstToken(nowNanos);
    if (dispatch.hasStartedAtOnce()) {
      health.onPromptTime(dispatch.entry(), nanos, dispatch.uncachedTokens());
    }
  }

  /**
   * Notes a further token.
   *
   * @param dispatch the dispatch
   * @param nowNanos monotonic time
   */
  public void onToken(Dispatch dispatch, long nowNanos) {
    double gapNanos = dispatch.nextToken(nowNanos);
    if (gapNanos > 0) {
      health.onStepTime(dispatch.entry(), gapNanos);
    }
  }

  /**
   * Notes a completed answer; a repeated report is ignored.
   *
   * @param dispatch the dispatch
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void onFinished(Dispatch dispatch, long nowNanos, RandomGenerator random) {
    if (!dispatch.tryEnd()) {
      return;
    }
    PipelineEntry entry = dispatch.entry();
    entry.end(dispatch.isolation(), nowNanos);
    double gapNanos = dispatch.meanGapNanos();
    double sampleNanos = dispatch.takeSample();
    if (sampleNanos > 0 && !dispatch.isTrial()) {
      health.onStepTime(entry, sampleNanos);
    }
    health.onSuccess(entry, dispatch.isTrial(), gapNanos, nowNanos, random);
    RouteIndex index = indexes.get(keyOf(dispatch.facts()));
    if (index != null) {
      index.noteSteps(dispatch.tokens());
    }
  }

  /**
   * Notes an attempt that did not complete; a repeated report is ignored.
   *
   * @param dispatch the dispatch
   * @param failure what happened
   * @param lostTargetId the stage that failed, or null if it is not known
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void onFailed(
      Dispatch dispatch,
      AttemptFailure failure,
      String lostTargetId,
      long nowNanos,
      RandomGenerator random) {
    if (!dispatch.tryEnd()) {
      return;
    }
    PipelineEntry entry = dispatch.entry();
    entry.end(dispatch.isolation(), nowNanos);
    if (failure == AttemptFailure.ENGINE) {
      health.onFailure(entry, dispatch.isTrial(), lostTargetId, nowNanos, random);
    } else if (dispatch.isTrial()) {
      health.abandonTrial(entry);
    }
  }

  private void collect(
      RouteSearch search,
      List<PipelineEntry> entries,
      CandidateSet candidates,
      RandomGenerator random) {
    RouteRequest facts = search.facts();
    for (PrefixIndex.Hit hit : prefixes.find(facts.promptBlocks().hashes(), search.nowNanos())) {
      PipelineEntry entry = table.entry(facts.modelId(), facts.modelVersion(), hit.pipelineId());
      if (entry != null) {
        offer(search, candidates, entry, facts.promptBlocks().shareOf(hit.blocks()) * hit.trust());
      }
    }
    PipelineEntry[] ranked = search.index().ranked(facts.priorityClass());
    int window =
        Math.min(ranked.length, Math.max(RANKED_CANDIDATES, ranked.length / RANKED_WINDOW_DIVISOR));
    for (int i = 0; i < RANKED_CANDIDATES && window > 0; i++) {
      offer(search, candidates, ranked[random.nextInt(window)], 0);
    }
    for (int i = 0; i < RANDOM_CANDIDATES; i++) {
      offer(search, candidates, entries.get(random.nextInt(entries.size())), 0);
    }
  }

  private void offer(
      RouteSearch search, CandidateSet candidates, PipelineEntry entry, double cachedShare) {
    if (isAllowed(search, entry) && !candidates.contains(entry)) {
      candidates.add(entry, cachedShare, score(search, entry, cachedShare));
    }
  }

  private double score(RouteSearch search, PipelineEntry entry, double cachedShare) {
    double nanos = estimate.nanos(entry, search.facts(), cachedShare, search.index().meanSteps());
    // Batch work goes where most capacity is free; the estimate decides between equals.
    return search.isBatch()
        ? (double) entry.occupied() / entry.slots() + nanos / Long.MAX_VALUE
        : nanos;
  }

  private boolean isAllowed(RouteSearch search, PipelineEntry entry) {
    if (!entry.isInUse() || search.rule().isExcluding(entry.pipeline())) {
      return false;
    }
    return !search.isBatch() || entry.occupied() < search.batchShare() * entry.slots();
  }

  private Chosen chooseBest(RouteSearch search, CandidateSet candidates) {
    for (int best = candidates.takeBest(); best >= 0; best = candidates.takeBest()) {
      PipelineEntry entry = candidates.entry(best);
      if (entry.tryBegin(search.rule().isolation(), search.nowNanos())) {
        return chosen(
            entry, search.facts(), search.rule(), candidates.cachedShare(best), search.nowNanos());
      }
    }
    return null;
  }

  /** Takes the first usable pipeline of the ranking when no candidate was usable. */
  private Chosen chooseFirst(RouteSearch search) {
    for (PipelineEntry entry : search.index().ranked(search.facts().priorityClass())) {
      if (isAllowed(search, entry)
          && entry.tryBegin(search.rule().isolation(), search.nowNanos())) {
        return chosen(entry, search.facts(), search.rule(), 0, search.nowNanos());
      }
    }
    return null;
  }

  private static Chosen chosen(
      PipelineEntry entry, RouteRequest facts, RouteRule rule, double cachedShare, long nowNanos) {
    double uncachedTokens = facts.promptTokens() * (1 - cachedShare);
    Dispatch dispatch =
        new Dispatch(entry, facts, rule.isolation(), false, uncachedTokens, nowNanos);
    return new Chosen(entry.pipeline(), dispatch);
  }

  private Chosen tryTrial(
      RouteRequest facts, RouteIndex index, long nowNanos, RandomGenerator random) {
    PipelineEntry[] outOfUse = index.outOfUse();
    if (outOfUse.length == 0) {
      return null;
    }
    PipelineEntry entry = outOfUse[random.nextInt(outOfUse.length)];
    if (!health.tryClaimTrial(entry, nowNanos)) {
      return null;
    }
    if (!entry.tryBegin(Isolation.NONE, nowNanos)) {
      health.abandonTrial(entry);
      return null;
    }
    Dispatch dispatch =
        new Dispatch(entry, facts, Isolation.NONE, true, facts.promptTokens(), nowNanos);
    return new Chosen(entry.pipeline(), dispatch);
  }

  private static NoPipeline refuse(RouteSearch search) {
    if (search.rule().isolation() != Isolation.NONE) {
      return new NoPipeline(Reason.NONE_ISOLATED, RETRY_AFTER_MS);
    }
    if (search.isBatch() && search.index().ranked(PriorityClass.BATCH).length > 0) {
      search.index().noteBatchFull(search.nowNanos());
      return new NoPipeline(Reason.BATCH_SHARE_USED, RETRY_AFTER_MS);
    }
    return new NoPipeline(Reason.NONE_USABLE, RETRY_AFTER_MS);
  }

  private RouteIndex currentIndex(RouteRequest facts, List<PipelineEntry> entries) {
    ModelKey key = keyOf(facts);
    RouteIndex index = indexes.get(key);
    if (index != null && index.isOf(entries)) {
      return index;
    }
    return indexes.compute(
        key, (k, old) -> old != null && old.isOf(entries) ? old : sort(entries, old));
  }

  private RouteIndex sort(List<PipelineEntry> entries, RouteIndex old) {
    double meanSteps = old == null ? 128 : old.meanSteps();
    return RouteIndex.of(entries, entry -> estimate.typicalNanos(entry, meanSteps), old);
  }

  private static ModelKey keyOf(RouteRequest facts) {
    return new ModelKey(facts.modelId(), facts.modelVersion());
  }
}
