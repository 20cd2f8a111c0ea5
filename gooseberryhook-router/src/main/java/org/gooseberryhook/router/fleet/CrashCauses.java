package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongToIntFunction;
import java.util.function.Predicate;
import org.gooseberryhook.router.fleet.CrashAttribution.Culprit;
import org.gooseberryhook.router.fleet.CrashAttribution.Observation;

/**
 * Finds out which requests crash targets. Callers send such requests, or others like them, to any
 * node, so the nodes share their findings. They also pass on those of other nodes that concern a
 * culprit: otherwise a finding would be lost with the node that made it.
 *
 * <p>A request has several possible causes: itself, and each part of its prompt that other requests
 * may share. A cause of which a target began a response is none. Crashes are attributed to the
 * fewest remaining causes, see {@link CrashAttribution}. From {@link #MIN_CRASHES} crashes on,
 * requests with the cause are rejected, apart from single trials, which become rarer with each
 * crash. A rejected cause has no sound starts that would clear it, so a cause whose crashes rarer
 * ones may explain gets an early trial. Performs no I/O and reads no clock.
 */
public final class CrashCauses {

  /** Number of crashes from which requests with a cause are no longer sent to targets freely. */
  public static final int MIN_CRASHES = 2;

  /** Number of crashes from which callers are told not to send requests with a cause again. */
  public static final int FINAL_CRASHES = 3;

  /** Time for which a crash counts, in milliseconds. */
  public static final long RETENTION_MS = 600_000;

  /** Maximum number of observations that a node keeps, its own and those of other nodes. */
  static final int MAX_OBSERVATIONS = 512;

  /** Maximum number of crashes and of sound starts in the findings of a node. */
  static final int MAX_FINDINGS = 64;

  /** Maximum number of causes that are kept because a response began. */
  static final int MAX_EARLIER_SOUND_STARTS = 4_096;

  /** Time for which a finding is reported; those about culprits are reported until they expire. */
  static final long REPORT_MS = 5_000;

  /** Time after the last of {@link #MIN_CRASHES} crashes until the cause is tried again. */
  static final long FIRST_TRIAL_DELAY_MS = 2_000;

  /** Time after the last of {@link #FINAL_CRASHES} crashes until the cause is tried again. */
  static final long FINAL_TRIAL_DELAY_MS = 60_000;

  /** Factor by which each further crash delays the next trial. */
  static final int TRIAL_DELAY_FACTOR = 4;

  /**
   * Time after which one more node may try, if the nodes before it had no such request. A response
   * to the request of the node before it has begun by then, or its caller has left.
   */
  static final long TRIAL_STEP_MS = 2_000;

  private static final long EXPIRY_INTERVAL_MS = 1_000;

  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final int HASH_SHIFT = 32;

  private final Map<Long, List<Observation>> observationsByCause = new LinkedHashMap<>();
  private final Set<Observation> own = new LinkedHashSet<>();
  private final Map<Long, Long> soundStartsMs = new LinkedHashMap<>();
  private final Map<Long, Long> ownSoundStartsMs = new LinkedHashMap<>();
  private final Map<Long, Boolean> earlierSoundStarts =
      new BoundedMap<>(MAX_EARLIER_SOUND_STARTS, true);

  /** Number of decisions about requests with a suspected cause since it is suspected. */
  private final Map<Long, Integer> decisionCounts = new HashMap<>();

  private final Map<Long, Integer> trials = new HashMap<>();
  private final Map<Long, AliveSpan> aliveSpans = new HashMap<>();
  private final GossipSuppression crashGossip = new GossipSuppression();
  private final GossipSuppression retractionGossip = new GossipSuppression();
  private final ObservationIds ids;
  private Map<Long, Culprit> culprits = Map.of();
  private boolean isAttributionCurrent = true;
  private int observationCount;
  private long ownRevision;
  private long nextExpiryMs = Long.MIN_VALUE;

  /** Time in which a target did not end; other nodes may still report crashes of it. */
  private record AliveSpan(long sinceMs, long untilMs) {
    boolean contains(long timeMs) {
      return timeMs >= sinceMs && timeMs <= untilMs;
    }
  }

  /**
   * Creates empty findings.
   *
   * @param seed decides the numbers of the node's observations; must differ between processes
   */
  public CrashCauses(long seed) {
    ids = new ObservationIds(seed);
  }

  /** Whether a request may be sent. */
  public enum Decision {
    /** Nothing speaks against it. */
    ALLOWED,
    /** As a trial: this node is the one to find out whether the cause still crashes targets. */
    TRIAL,
    /** Not now; a trial may show that the cause is none. */
    LATER,
    /** No; the caller must not send it again. */
    NEVER
  }

  /**
   * Decision about a request.
   *
   * @param decision the decision
   * @param cause number of the cause that decided, 0 if none did
   * @param crashes number of crashes that are attributed to it
   * @param isAmbiguous whether other causes may explain any of these crashes as well
   * @param retryAfterMs time until the next trial in milliseconds
   */
  public record Verdict(
      Decision decision, long cause, int crashes, boolean isAmbiguous, long retryAfterMs) {

    static final Verdict ALLOWED = new Verdict(Decision.ALLOWED, 0, 0, false, 0);

    /**
     * Returns whether the request must not be sent now.
     *
     * @return true for {@link Decision#LATER} and {@link Decision#NEVER}
     */
    public boolean isRejected() {
      return decision == Decision.LATER || decision == Decision.NEVER;
    }
  }

  /**
   * Returns whether no crash is known, so that every request is allowed.
   *
   * @return true if there are no observations
   */
  public boolean isEmpty() {
    return observationCount == 0;
  }

  /**
   * Returns whether a crash of a cause is known.
   *
   * @param cause number of the cause
   * @return true if there is an observation with it
   */
  public boolean isSuspected(long cause) {
    return observationsByCause.containsKey(cause);
  }

  /**
   * Returns a well mixed hash, by which causes, workspaces and targets are told apart.
   *
   * @param value a value whose bits may be few
   * @return the hash
   */
  public static long hash(long value) {
    long mixed = value * HASH_MULTIPLIER;
    return mixed ^ (mixed >>> HASH_SHIFT);
  }

  /**
   * Returns the hash by which crashes name a target.
   *
   * @param address address of the target
   * @return the hash
   */
  public static long targetHash(String address) {
    return hash(address.hashCode());
  }

  /**
   * Withdraws the crashes of a target that answers under the start that it had before them, and
   * ignores those that other nodes report later. The own ones are withdrawn at all nodes: only
   * their times are known for certain, as a late report makes a crash look later.
   *
   * @param target hash of the target's address
   * @param sinceMs monotonic time in milliseconds from which on its start is known
   * @param nowMs monotonic time in milliseconds of its answer
   * @return number of withdrawn observations
   */
  public int withdrawCrashes(long target, long sinceMs, long nowMs) {
    AliveSpan span = new AliveSpan(sinceMs, nowMs);
    aliveSpans.put(target, span);
    Predicate<Observation> isWithdrawn =
        observation -> observation.target() == target && span.contains(observation.crashMs());
    int before = observationCount;
    retractIf(observation -> own.contains(observation) && isWithdrawn.test(observation), nowMs);
    for (Map.Entry<Long, List<Observation>> entry : List.copyOf(observationsByCause.entrySet())) {
      removeIf(entry.getKey(), entry.getValue(), isWithdrawn);
    }
    return before - observationCount;
  }

  /**
   * Records that a target crashed before it began the response to a request.
   *
   * @param causes numbers of the request's possible causes
   * @param workspace hash of its workspace
   * @param target hash of the target's address
   * @param nowMs monotonic time in milliseconds
   */
  public void recordCrash(List<Long> causes, long workspace, long target, long nowMs) {
    expire(nowMs);
    for (long cause : causes) {
      Observation observation = new Observation(cause, workspace, target, nowMs, ids.next());
      if (add(observation)) {
        own.add(observation);
        ownRevision++;
      }
    }
  }

  /**
   * Records that a target began the response to a request.
   *
   * @param causes numbers of the request's possible causes
   * @param nowMs monotonic time in milliseconds
   * @return the causes that were suspected of a crash until now
   */
  public List<Long> recordSoundStart(List<Long> causes, long nowMs) {
    List<Long> cleared = new ArrayList<>();
    for (long cause : causes) {
      earlierSoundStarts.put(cause, true);
      if (observationsByCause.containsKey(cause)) {
        cleared.add(cause);
        ownSoundStartsMs.put(cause, nowMs);
        ownRevision++;
        retractIf(observation -> observation.cause() == cause, nowMs);
        recordClearing(cause, nowMs);
      }
    }
    return cleared;
  }

  /**
   * Merges the findings of another node.
   *
   * @param findings the findings
   * @param nowMs monotonic time in milliseconds
   */
  public void merge(CrashFindings findings, long nowMs) {
    expire(nowMs);
    for (CrashFindings.Retraction retraction : findings.retractions()) {
      retractionGossip.onHeard(retraction.id());
      mergeRetraction(retraction, nowMs);
    }
    for (CrashFindings.SoundStart start : findings.soundStarts()) {
      isAttributionCurrent &= earlierSoundStarts.put(start.cause(), true) != null;
      clear(start.cause(), nowMs - start.ageMs());
    }
    for (CrashFindings.Crash crash : findings.crashes()) {
      if (crash.ageMs() < RETENTION_MS) {
        mergeCrash(crash, nowMs);
      }
    }
    for (CrashFindings.Crash crash : findings.crashes()) {
      // All crashes of a cause expire together, so earlier ones count beside a recent one.
      if (crash.ageMs() >= RETENTION_MS && observationsByCause.containsKey(crash.cause())) {
        mergeCrash(crash, nowMs);
      }
    }
  }

  private void mergeCrash(CrashFindings.Crash crash, long nowMs) {
    long crashMs = nowMs - Math.max(0, crash.ageMs());
    add(new Observation(crash.cause(), crash.workspace(), crash.target(), crashMs, crash.id()));
    Long keptId = ids.keptId(crash.id());
    if (keptId != null) {
      crashGossip.onHeard(keptId);
    }
  }

  private void mergeRetraction(CrashFindings.Retraction retraction, long nowMs) {
    if (!ids.isRetracted(retraction.id()) && retraction.ageMs() < RETENTION_MS) {
      Long known = ids.keptId(retraction.id());
      long keptId = known == null ? retraction.id() : known;
      long timeMs = nowMs - Math.max(0, retraction.ageMs());
      retractIf(observation -> observation.id() == keptId, timeMs);
      ids.retract(retraction.id(), timeMs);
    }
  }

  /**
   * Returns a number that rises whenever this node finds out something new.
   *
   * @return the number
   */
  public long ownRevision() {
    return ownRevision;
  }

  /**
   * Returns the findings for the other nodes: those of this node, and those of others about
   * culprits that few nodes have passed on lately.
   *
   * @param nowMs monotonic time in milliseconds
   * @param intervalMs usual time between two reports of a node
   * @return at most {@link #MAX_FINDINGS} of each kind; crashes of culprits before others, and
   *     newer ones before older ones
   */
  public CrashFindings findings(long nowMs, long intervalMs) {
    expire(nowMs);
    crashGossip.roll(nowMs, intervalMs);
    retractionGossip.roll(nowMs, intervalMs);
    List<CrashFindings.Crash> crashes = new ArrayList<>();
    List<CrashFindings.Crash> crashesOfCulprits = new ArrayList<>();
    for (Observation observation : own) {
      long ageMs = nowMs - observation.crashMs();
      boolean isOfCulprit = culprits().containsKey(observation.cause());
      if (isOfCulprit || ageMs < REPORT_MS) {
        (isOfCulprit ? crashesOfCulprits : crashes).add(reported(observation, nowMs));
      }
    }
    for (long cause : culprits().keySet()) {
      for (Observation observation : observationsByCause.get(cause)) {
        if (!own.contains(observation) && crashGossip.isRare(observation.id())) {
          crashes.add(reported(observation, nowMs));
        }
      }
    }
    crashes.addAll(crashesOfCulprits);
    List<CrashFindings.SoundStart> starts = new ArrayList<>();
    ownSoundStartsMs.forEach(
        (cause, startMs) -> {
          if (nowMs - startMs < REPORT_MS) {
            starts.add(new CrashFindings.SoundStart(cause, nowMs - startMs));
          }
        });
    List<CrashFindings.Retraction> retractions = ids.retractions(nowMs);
    retractions.removeIf(retraction -> !retractionGossip.isRare(retraction.id()));
    return new CrashFindings(last(crashes), last(starts), last(retractions));
  }

  private static CrashFindings.Crash reported(Observation observation, long nowMs) {
    return new CrashFindings.Crash(
        observation.cause(),
        observation.workspace(),
        observation.target(),
        nowMs - observation.crashMs(),
        observation.id());
  }

  private static <T> List<T> last(List<T> findings) {
    return findings.subList(Math.max(0, findings.size() - MAX_FINDINGS), findings.size());
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param causes numbers of its possible causes
   * @param workspace hash of its workspace
   * @param nodesBefore returns how many live nodes come before this one in trying a cause
   * @param nowMs monotonic time in milliseconds
   * @return the decision, never null
   */
  public Verdict decide(
      List<Long> causes, long workspace, LongToIntFunction nodesBefore, long nowMs) {
    expire(nowMs);
    Verdict verdict = Verdict.ALLOWED;
    for (long cause : causes) {
      if (observationsByCause.containsKey(cause)) {
        decisionCounts.merge(cause, 1, Integer::sum);
        Culprit culprit = culprits().get(cause);
        if (culprit != null && culprit.concerns(workspace)) {
          long trialMs = culprit.lastCrashMs() + trialDelayMs(cause, culprit, causes);
          Verdict other = decide(cause, culprit, trialMs, nodesBefore, nowMs);
          if (other.decision().compareTo(verdict.decision()) > 0) {
            verdict = other;
          }
        }
      }
    }
    return verdict;
  }

  private Verdict decide(
      long cause, Culprit culprit, long trialMs, LongToIntFunction nodesBefore, long nowMs) {
    long sinceTrialMs = nowMs - trialMs;
    if (sinceTrialMs >= 0
        && !trials.containsKey(cause)
        && nodesBefore.applyAsInt(cause) <= sinceTrialMs / TRIAL_STEP_MS) {
      return new Verdict(Decision.TRIAL, cause, culprit.crashes(), culprit.isAmbiguous(), 0);
    }
    Decision decision = culprit.crashes() >= FINAL_CRASHES ? Decision.NEVER : Decision.LATER;
    return new Verdict(
        decision, cause, culprit.crashes(), culprit.isAmbiguous(), Math.max(0, -sinceTrialMs));
  }

  private long trialDelayMs(long cause, Culprit culprit, List<Long> requestCauses) {
    int crashes = culprit.crashes();
    if (crashes < FINAL_CRASHES
        || (crashes == FINAL_CRASHES && mayBeBystander(cause, culprit, requestCauses))) {
      return FIRST_TRIAL_DELAY_MS;
    }
    double delayMs = FINAL_TRIAL_DELAY_MS * Math.pow(TRIAL_DELAY_FACTOR, crashes - FINAL_CRASHES);
    return (long) Math.min(RETENTION_MS, delayMs);
  }

  /**
   * Returns whether rarer causes may explain all crashes of a culprit. A cause in many requests is
   * in many crashes by chance. A request that has one of the other causes as well cannot tell them
   * apart.
   */
  private boolean mayBeBystander(long cause, Culprit culprit, List<Long> requestCauses) {
    int decisions = decisionCounts.getOrDefault(cause, 0);
    for (Set<Long> others : culprit.alternatives()) {
      boolean isAnyRarer =
          others.stream().anyMatch(other -> decisionCounts.getOrDefault(other, 0) < decisions);
      if (!isAnyRarer || requestCauses.stream().anyMatch(others::contains)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Records that a trial begins. Until {@link #endTrial}, no other request with the cause is sent.
   *
   * @param cause number of the cause
   */
  public void startTrial(long cause) {
    trials.merge(cause, 1, Integer::sum);
  }

  /**
   * Records that a trial has ended, with whatever result.
   *
   * @param cause number of the cause
   */
  public void endTrial(long cause) {
    trials.computeIfPresent(cause, (c, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Returns the number of causes to which crashes are attributed.
   *
   * @return number of causes
   */
  public int culpritCount() {
    return culprits().size();
  }

  private Map<Long, Culprit> culprits() {
    if (!isAttributionCurrent) {
      List<Observation> all = new ArrayList<>(observationCount);
      observationsByCause.values().forEach(all::addAll);
      culprits = CrashAttribution.attribute(all, MIN_CRASHES, earlierSoundStarts::containsKey);
      isAttributionCurrent = true;
    }
    return culprits;
  }

  /** Adds an observation unless it is known, its target is alive, or a response began since. */
  private boolean add(Observation observation) {
    if (ids.isRetracted(observation.id())) {
      return false;
    }
    Long keptId = ids.keptId(observation.id());
    if (keptId != null) {
      correctTime(observation);
      return false;
    }
    AliveSpan span = aliveSpans.get(observation.target());
    if (span != null && span.contains(observation.crashMs())) {
      return false;
    }
    Long soundMs = soundStartsMs.get(observation.cause());
    if (soundMs != null && soundMs >= observation.crashMs()) {
      return false;
    }
    List<Observation> known =
        observationsByCause.computeIfAbsent(observation.cause(), c -> new ArrayList<>());
    for (Observation other : known) {
      if (other.target() == observation.target()
          && other.workspace() == observation.workspace()
          && Math.abs(other.crashMs() - observation.crashMs()) <= CrashAttribution.SAME_CRASH_MS) {
        if (observation.id() != ObservationIds.NONE) {
          ids.put(observation.id(), other.id());
        }
        return false;
      }
    }
    Observation numbered =
        observation.id() == ObservationIds.NONE ? observation.withId(ids.next()) : observation;
    known.add(numbered);
    ids.put(numbered.id(), numbered.id());
    observationCount++;
    isAttributionCurrent = false;
    if (observationCount > MAX_OBSERVATIONS) {
      removeLeastSuspect();
    }
    return true;
  }

  /** Takes an earlier time of a known crash: a report that came late makes it look later. */
  private void correctTime(Observation observation) {
    List<Observation> known = observationsByCause.getOrDefault(observation.cause(), List.of());
    for (int i = 0; i < known.size(); i++) {
      Observation kept = known.get(i);
      if (kept.id() == observation.id()
          && kept.crashMs() - observation.crashMs() > CrashAttribution.SAME_MOMENT_MS
          && !own.contains(kept)) {
        known.set(i, observation);
        isAttributionCurrent = false;
      }
    }
  }

  /** Removes the cause with the fewest observations, the oldest of them. */
  private void removeLeastSuspect() {
    Long least = null;
    int fewest = Integer.MAX_VALUE;
    for (Map.Entry<Long, List<Observation>> entry : observationsByCause.entrySet()) {
      if (entry.getValue().size() < fewest) {
        fewest = entry.getValue().size();
        least = entry.getKey();
      }
    }
    observationsByCause.get(least).forEach(observation -> ids.forget(observation.id()));
    removeIf(least, observationsByCause.get(least), observation -> true);
  }

  /** Removes observations and tells the other nodes that they no longer count. */
  private void retractIf(Predicate<Observation> isRetracted, long timeMs) {
    for (Map.Entry<Long, List<Observation>> entry : List.copyOf(observationsByCause.entrySet())) {
      for (Observation observation : entry.getValue()) {
        if (isRetracted.test(observation)) {
          ids.retract(observation.id(), timeMs);
        }
      }
      removeIf(entry.getKey(), entry.getValue(), isRetracted);
    }
  }

  private void clear(long cause, long soundMs) {
    List<Observation> known = observationsByCause.get(cause);
    if (known == null) {
      return;
    }
    recordClearing(cause, soundMs);
    removeIf(cause, known, observation -> observation.crashMs() <= soundMs);
  }

  private void recordClearing(long cause, long soundMs) {
    soundStartsMs.merge(cause, soundMs, Math::max);
    if (soundStartsMs.size() > MAX_OBSERVATIONS) {
      soundStartsMs.remove(soundStartsMs.keySet().iterator().next());
    }
  }

  private void removeIf(long cause, List<Observation> known, Predicate<Observation> isRemoved) {
    int before = known.size();
    known.removeIf(isRemoved);
    own.removeIf(observation -> observation.cause() == cause && isRemoved.test(observation));
    observationCount -= before - known.size();
    isAttributionCurrent &= before == known.size();
    if (known.isEmpty()) {
      observationsByCause.remove(cause);
      decisionCounts.remove(cause);
    }
  }

  private void expire(long nowMs) {
    if (nowMs < nextExpiryMs) {
      return;
    }
    nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
    ids.expire(nowMs);
    soundStartsMs.values().removeIf(startMs -> nowMs - startMs >= RETENTION_MS);
    ownSoundStartsMs.values().removeIf(startMs -> nowMs - startMs >= REPORT_MS);
    aliveSpans.values().removeIf(span -> nowMs - span.untilMs() >= RETENTION_MS);
    for (Map.Entry<Long, List<Observation>> entry : List.copyOf(observationsByCause.entrySet())) {
      // All crashes of a cause expire together: fewer crashes would bring the next trial forward.
      boolean isExpired =
          entry.getValue().stream().allMatch(o -> nowMs - o.crashMs() >= RETENTION_MS);
      removeIf(entry.getKey(), entry.getValue(), observation -> isExpired);
    }
  }
}
