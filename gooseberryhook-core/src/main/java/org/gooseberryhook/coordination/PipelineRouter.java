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
 * Chooses a pipeline for each request by estimated completion time. Only a candidate set of
 * constant size is scored: hits of the prefix index, some of the best of a periodically sorted
 * ranking, and some random pipelines.
 *
 * <p>Thread-safe. A request is registered on its pipeline before {@link #route} returns, so that
 * concurrent requests see each other and isolation holds on this node.
 *
 * @since 0.1
 */
public final class PipelineRouter {

  /** Period at which {@link #refresh} must be called, in milliseconds. */
  public static final long REFRESH_PERIOD_MS = 1_000;

  /** Share of a pipeline's slots that batch requests may use while there is interactive demand. */
  public static final double BATCH_SLOT_SHARE = 0.7;

  private static final int RANKED_CANDIDATES = 6;
  private static final int RANDOM_CANDIDATES = 4;
  private static final int MAX_CANDIDATES =
      RANKED_CANDIDATES + RANDOM_CANDIDATES + PrefixIndex.MAX_HITS;

  /**
   * Candidates are drawn from the first eighth of the ranking, so that nodes do not all choose the
   * same pipelines.
   */
  private static final int RANKED_WINDOW_DIVISOR = 8;

  /** Share of unconstrained requests that are sent as trials to pipelines out of use. */
  private static final double TRIAL_SHARE = 0.05;

  private static final long RETRY_AFTER_MS = 250;

  private final PipelineTable table;
  private final PipelineHealth health;
  private final PrefixIndex prefixes;
  private final CompletionTimeEstimator estimator;
  private final Map<ModelKey, PipelineRanking> rankings = new ConcurrentHashMap<>();

  /**
   * Creates a router.
   *
   * @param table the pipelines and their loads
   * @param health learned times and circuit breakers
   * @param prefixes hints on cached prefixes
   */
  public PipelineRouter(PipelineTable table, PipelineHealth health, PrefixIndex prefixes) {
    this.table = table;
    this.health = health;
    this.prefixes = prefixes;
    this.estimator = new CompletionTimeEstimator(health);
  }

  /**
   * Applies a change of the set of pipelines.
   *
   * @param change the added and removed pipelines
   */
  public void onPipelinesChanged(PipelineComposer.Change change) {
    table.update(change.added(), change.removedPipelineIds());
    prefixes.removePipelines(change.removedPipelineIds());
    Collection<ModelKey> keys = table.modelKeys();
    rankings.keySet().retainAll(keys);
  }

  /**
   * Returns the model in the version that a new request uses for all its attempts.
   *
   * @param model the declared model
   * @param requestId the request
   * @return the model, with an earlier version if the request uses that one
   */
  public ModelSpec chooseVersion(ModelSpec model, String requestId) {
    return model.withVersion(
        table.chooseVersion(model.modelId(), model.modelVersion(), requestId.hashCode()));
  }

  /**
   * Handles a cache event, which may be late or follow a gap. An event of a target that no pipeline
   * uses is ignored.
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
   * Compares pipelines with their peers and ranks them again. Must be called every {@link
   * #REFRESH_PERIOD_MS}. After a change of the pipelines the next request renews the ranking
   * itself.
   *
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void refresh(long nowNanos, RandomGenerator random) {
    for (ModelKey key : table.modelKeys()) {
      List<PipelineEntry> entries = table.entries(key.modelId(), key.modelVersion());
      health.review(entries, nowNanos, random);
      rankings.compute(key, (ignored, previous) -> toRanking(entries, previous));
    }
  }

  /**
   * Counts the free slots of the pipelines in use, according to the last load reports.
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
   * @param request the request
   * @param constraints where the request may run
   * @param nowNanos monotonic time
   * @param random source of randomness for candidates and trials
   * @return the chosen pipeline, or the reason why there is none; never null
   */
  public RouteResult route(
      RouteRequest request, RouteConstraints constraints, long nowNanos, RandomGenerator random) {
    List<PipelineEntry> entries = table.entries(request.modelId(), request.modelVersion());
    if (entries.isEmpty()) {
      return new NoPipeline(Reason.NONE_COMPOSED, RETRY_AFTER_MS);
    }
    PipelineRanking ranking = getRanking(request, entries);
    boolean isBatch = request.priorityClass() == PriorityClass.BATCH;
    if (!isBatch) {
      ranking.recordInteractiveRequest(nowNanos);
    } else if (ranking.isBatchPaused(nowNanos)) {
      return new NoPipeline(Reason.BATCH_SHARE_USED, RETRY_AFTER_MS);
    }
    boolean mayBeTrial = constraints.isUnconstrained();
    if (mayBeTrial && ranking.outOfUse().length > 0 && random.nextDouble() < TRIAL_SHARE) {
      Chosen trial = tryStartTrial(request, ranking, nowNanos, random);
      if (trial != null) {
        return trial;
      }
    }
    CandidateSet candidates = new CandidateSet(MAX_CANDIDATES);
    RouteSearch search = new RouteSearch(request, constraints, ranking, nowNanos);
    collectCandidates(search, entries, candidates, random);
    Chosen chosen = chooseBest(search, candidates);
    if (chosen == null) {
      chosen = chooseFirstUsable(search);
    }
    if (chosen == null && mayBeTrial) {
      chosen = tryStartTrial(request, ranking, nowNanos, random);
    }
    return chosen != null ? chosen : toNoPipeline(search);
  }

  /**
   * Registers a request on a given pipeline, for example on a repaired pipeline that imports the
   * cache of the request.
   *
   * @param pipelineId the pipeline
   * @param request the request
   * @param constraints where the request may run
   * @param cachedShare share of the prompt expected in the cache, from 0 to 1
   * @param nowNanos monotonic time
   * @return the pipeline, or {@link NoPipeline} if it was removed, is out of use or is excluded by
   *     the constraints
   */
  public RouteResult routeTo(
      String pipelineId,
      RouteRequest request,
      RouteConstraints constraints,
      double cachedShare,
      long nowNanos) {
    PipelineEntry entry = table.entry(request.modelId(), request.modelVersion(), pipelineId);
    boolean isUsable =
        entry != null && entry.isInUse() && !constraints.isExcluding(entry.pipeline());
    if (!isUsable || !entry.tryBegin(constraints.isolation(), nowNanos)) {
      return new NoPipeline(Reason.NONE_USABLE, RETRY_AFTER_MS);
    }
    return toChosen(entry, request, constraints, cachedShare, nowNanos);
  }

  /**
   * Records that the attempt was sent to the engine.
   *
   * @param attempt the attempt
   * @param nowNanos monotonic time
   */
  public void onDispatched(RoutedAttempt attempt, long nowNanos) {
    attempt.start(nowNanos);
    String pipelineId = attempt.entry().pipeline().pipelineId();
    prefixes.store(pipelineId, attempt.request().promptBlocks().hashes(), nowNanos);
  }

  /**
   * Records the first token.
   *
   * @param attempt the attempt
   * @param nowNanos monotonic time
   */
  public void onFirstToken(RoutedAttempt attempt, long nowNanos) {
    long nanos = attempt.recordFirstToken(nowNanos);
    if (attempt.hadFreeSlot()) {
      health.onPromptTime(attempt.entry(), nanos, attempt.uncachedTokens());
    }
  }

  /**
   * Records a further token.
   *
   * @param attempt the attempt
   * @param nowNanos monotonic time
   */
  public void onToken(RoutedAttempt attempt, long nowNanos) {
    double gapNanos = attempt.recordNextToken(nowNanos);
    if (gapNanos > 0) {
      health.onStepTime(attempt.entry(), gapNanos);
    }
  }

  /**
   * Records a completed attempt; a repeated report is ignored.
   *
   * @param attempt the attempt
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void onFinished(RoutedAttempt attempt, long nowNanos, RandomGenerator random) {
    if (!attempt.tryEnd()) {
      return;
    }
    PipelineEntry entry = attempt.entry();
    entry.end(attempt.isolation(), nowNanos);
    double gapNanos = attempt.meanGapNanos();
    double sampleNanos = attempt.finishSample();
    if (sampleNanos > 0 && !attempt.isTrial()) {
      health.onStepTime(entry, sampleNanos);
    }
    health.onSuccess(entry, attempt.isTrial(), gapNanos, nowNanos, random);
    PipelineRanking ranking = rankings.get(keyOf(attempt.request()));
    if (ranking != null) {
      ranking.recordSteps(attempt.tokenCount());
    }
  }

  /**
   * Records an attempt that did not complete; a repeated report is ignored.
   *
   * @param attempt the attempt
   * @param failure why it did not complete
   * @param lostTargetId the stage that failed, or null if it is not known
   * @param nowNanos monotonic time
   * @param random source of jitter
   */
  public void onFailed(
      RoutedAttempt attempt,
      AttemptFailure failure,
      String lostTargetId,
      long nowNanos,
      RandomGenerator random) {
    if (!attempt.tryEnd()) {
      return;
    }
    PipelineEntry entry = attempt.entry();
    entry.end(attempt.isolation(), nowNanos);
    if (failure == AttemptFailure.ENGINE) {
      health.onFailure(entry, attempt.isTrial(), lostTargetId, nowNanos, random);
    } else if (attempt.isTrial()) {
      health.abandonTrial(entry);
    }
  }

  private void collectCandidates(
      RouteSearch search,
      List<PipelineEntry> entries,
      CandidateSet candidates,
      RandomGenerator random) {
    RouteRequest request = search.request();
    for (PrefixIndex.Hit hit : prefixes.find(request.promptBlocks().hashes(), search.nowNanos())) {
      PipelineEntry entry =
          table.entry(request.modelId(), request.modelVersion(), hit.pipelineId());
      if (entry != null) {
        addCandidate(
            search,
            candidates,
            entry,
            request.promptBlocks().shareOf(hit.blockCount()) * hit.trust());
      }
    }
    PipelineEntry[] ranked = search.ranking().ranked(request.priorityClass());
    int window =
        Math.min(ranked.length, Math.max(RANKED_CANDIDATES, ranked.length / RANKED_WINDOW_DIVISOR));
    for (int i = 0; i < RANKED_CANDIDATES && window > 0; i++) {
      addCandidate(search, candidates, ranked[random.nextInt(window)], 0);
    }
    for (int i = 0; i < RANDOM_CANDIDATES; i++) {
      addCandidate(search, candidates, entries.get(random.nextInt(entries.size())), 0);
    }
  }

  private void addCandidate(
      RouteSearch search, CandidateSet candidates, PipelineEntry entry, double cachedShare) {
    if (isAllowed(search, entry) && !candidates.contains(entry)) {
      candidates.add(entry, cachedShare, score(search, entry, cachedShare));
    }
  }

  private double score(RouteSearch search, PipelineEntry entry, double cachedShare) {
    double nanos =
        estimator.estimateNanos(entry, search.request(), cachedShare, search.ranking().meanSteps());
    // Batch requests go to the pipeline with most free capacity; the estimate breaks ties.
    return search.isBatch()
        ? (double) entry.occupied() / entry.slots() + nanos / Long.MAX_VALUE
        : nanos;
  }

  private boolean isAllowed(RouteSearch search, PipelineEntry entry) {
    if (!entry.isInUse() || search.constraints().isExcluding(entry.pipeline())) {
      return false;
    }
    return !search.isBatch() || entry.occupied() < search.batchShare() * entry.slots();
  }

  private Chosen chooseBest(RouteSearch search, CandidateSet candidates) {
    for (int best = candidates.removeBest(); best >= 0; best = candidates.removeBest()) {
      PipelineEntry entry = candidates.entry(best);
      if (entry.tryBegin(search.constraints().isolation(), search.nowNanos())) {
        return toChosen(
            entry,
            search.request(),
            search.constraints(),
            candidates.cachedShare(best),
            search.nowNanos());
      }
    }
    return null;
  }

  /** Chooses the first usable pipeline of the ranking, for use when no candidate was usable. */
  private Chosen chooseFirstUsable(RouteSearch search) {
    for (PipelineEntry entry : search.ranking().ranked(search.request().priorityClass())) {
      if (isAllowed(search, entry)
          && entry.tryBegin(search.constraints().isolation(), search.nowNanos())) {
        return toChosen(entry, search.request(), search.constraints(), 0, search.nowNanos());
      }
    }
    return null;
  }

  private static Chosen toChosen(
      PipelineEntry entry,
      RouteRequest request,
      RouteConstraints constraints,
      double cachedShare,
      long nowNanos) {
    double uncachedTokens = request.promptTokens() * (1 - cachedShare);
    RoutedAttempt attempt =
        new RoutedAttempt(entry, request, constraints.isolation(), false, uncachedTokens, nowNanos);
    return new Chosen(entry.pipeline(), attempt);
  }

  private Chosen tryStartTrial(
      RouteRequest request, PipelineRanking ranking, long nowNanos, RandomGenerator random) {
    PipelineEntry[] outOfUse = ranking.outOfUse();
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
    RoutedAttempt attempt =
        new RoutedAttempt(entry, request, Isolation.NONE, true, request.promptTokens(), nowNanos);
    return new Chosen(entry.pipeline(), attempt);
  }

  private static NoPipeline toNoPipeline(RouteSearch search) {
    if (search.constraints().isolation() != Isolation.NONE) {
      return new NoPipeline(Reason.NONE_ISOLATED, RETRY_AFTER_MS);
    }
    if (search.isBatch() && search.ranking().ranked(PriorityClass.BATCH).length > 0) {
      search.ranking().pauseBatch(search.nowNanos());
      return new NoPipeline(Reason.BATCH_SHARE_USED, RETRY_AFTER_MS);
    }
    return new NoPipeline(Reason.NONE_USABLE, RETRY_AFTER_MS);
  }

  private PipelineRanking getRanking(RouteRequest request, List<PipelineEntry> entries) {
    ModelKey key = keyOf(request);
    PipelineRanking ranking = rankings.get(key);
    if (ranking != null && ranking.isBuiltFrom(entries)) {
      return ranking;
    }
    return rankings.compute(
        key,
        (ignored, previous) ->
            previous != null && previous.isBuiltFrom(entries)
                ? previous
                : toRanking(entries, previous));
  }

  private PipelineRanking toRanking(List<PipelineEntry> entries, PipelineRanking previous) {
    double meanSteps = previous == null ? 128 : previous.meanSteps();
    return PipelineRanking.of(
        entries, entry -> estimator.estimateTypicalNanos(entry, meanSteps), previous);
  }

  private static ModelKey keyOf(RouteRequest request) {
    return new ModelKey(request.modelId(), request.modelVersion());
  }
}
