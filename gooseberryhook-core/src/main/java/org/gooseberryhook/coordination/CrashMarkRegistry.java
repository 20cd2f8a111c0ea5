package org.gooseberryhook.coordination;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.gooseberryhook.protocol.CrashMessage.Clear;
import org.gooseberryhook.protocol.CrashMessage.CrashClears;
import org.gooseberryhook.protocol.CrashMessage.CrashMarks;
import org.gooseberryhook.protocol.CrashMessage.Mark;

/**
 * Counts, for each request fingerprint, the target crashes during which the request was in flight.
 * Each such crash is a mark of the request.
 *
 * <p>Marks and clears are merged from peers; merging is idempotent and commutative as long as no
 * bound is reached. A mark that is received again keeps its expiry time, because the earliest known
 * time of a crash counts. A clear lists the marks that it cancels. A clear by an operator also
 * cancels every crash that is older than the clear itself, so that marks which peers still hold do
 * not reappear.
 *
 * <p>When {@link #MAX_FINGERPRINTS} is reached, a sixteenth of the entries is evicted: those with
 * the fewest marks first, and among these the least recently changed. An evicted request counts as
 * unmarked until a peer sends its marks again.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class CrashMarkRegistry {

  /** Time for which a mark or clear is kept, in milliseconds. */
  public static final long EXPIRY_MS = TimeUnit.HOURS.toMillis(1);

  /** Maximum number of fingerprints. */
  public static final int MAX_FINGERPRINTS = 10_000;

  /** Maximum number of marks of one fingerprint. Three are enough to refuse the request. */
  public static final int MAX_MARKS = 8;

  /**
   * Maximum number of clears and of cleared crash ids of one fingerprint; beyond it the smallest
   * ids are dropped.
   */
  public static final int MAX_CLEARED = 32;

  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(EXPIRY_MS);
  private static final int EVICTION_DIVISOR = 16;

  /**
   * A marked request, as shown to operators.
   *
   * @param fingerprint fingerprint of the request
   * @param eventIds ids of the crashes that count, in ascending order
   * @param rule where the request may run
   * @param youngestAgeMs time since the last crash in milliseconds
   * @since 0.1
   */
  public record MarkedRequest(
      long fingerprint, List<String> eventIds, RunRule rule, long youngestAgeMs) {}

  private record Crash(long timeNanos, boolean isShared) {}

  private record AppliedClear(long timeNanos, boolean isAll) {}

  private static final class Entry {
    private final Map<String, Crash> crashes = new HashMap<>();
    private final Map<String, AppliedClear> clears = new HashMap<>();
    private final Set<String> clearedEvents = new TreeSet<>();
    private long lastChangeNanos;
  }

  private final Map<Long, Entry> entries = new HashMap<>();

  /**
   * Returns the fingerprint of a request.
   *
   * @param workspace the workspace
   * @param model the model
   * @param prompt the prompt text
   * @return the 64-bit XXH3 hash of the three texts, each preceded by its length
   */
  public static long fingerprintOf(String workspace, String model, String prompt) {
    StringBuilder text = new StringBuilder(prompt.length() + 64);
    for (String part : List.of(workspace, model, prompt)) {
      text.append(part.length()).append(':').append(part);
    }
    return LongHashFunction.xx3().hashBytes(text.toString().getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Marks the requests that were in flight on a target when it died.
   *
   * @param eventId id of the crash: target id and crash number, or a random id chosen by the
   *     observer
   * @param fingerprints fingerprints of the requests in flight; duplicates count once
   * @param nowNanos monotonic time
   * @return the message to send to all nodes
   */
  public synchronized CrashMarks recordCrash(
      String eventId, Collection<Long> fingerprints, long nowNanos) {
    Set<Long> distinct = new TreeSet<>(fingerprints);
    boolean isShared = distinct.size() > 1;
    List<Mark> marks =
        distinct.stream().map(fingerprint -> new Mark(fingerprint, eventId, isShared, 0)).toList();
    CrashMarks message = new CrashMarks(marks);
    merge(message, nowNanos);
    return message;
  }

  /**
   * Merges marks from a peer.
   *
   * @param message the marks
   * @param nowNanos monotonic time
   */
  public synchronized void merge(CrashMarks message, long nowNanos) {
    for (Mark mark : message.marks()) {
      if (isUnexpired(mark.ageMs())) {
        merge(mark, nowNanos);
      }
    }
  }

  private void merge(Mark mark, long nowNanos) {
    Entry entry = getOrCreateEntry(mark.fingerprint(), nowNanos);
    Crash crash = new Crash(toTimeNanos(mark.ageMs(), nowNanos), mark.isShared());
    entry.crashes.merge(mark.eventId(), crash, CrashMarkRegistry::mergeCrashes);
    removeCleared(entry);
    if (entry.crashes.size() > MAX_MARKS) {
      entry.crashes.remove(entry.crashes.keySet().stream().min(Comparator.naturalOrder()).get());
    }
  }

  /**
   * Merges clears from a peer.
   *
   * @param message the clears
   * @param nowNanos monotonic time
   */
  public synchronized void merge(CrashClears message, long nowNanos) {
    for (Clear clear : message.clears()) {
      if (isUnexpired(clear.ageMs())) {
        merge(clear, nowNanos);
      }
    }
  }

  private void merge(Clear clear, long nowNanos) {
    Entry entry = getOrCreateEntry(clear.fingerprint(), nowNanos);
    AppliedClear cleared = new AppliedClear(toTimeNanos(clear.ageMs(), nowNanos), clear.isAll());
    entry.clears.merge(clear.clearId(), cleared, (a, b) -> a.timeNanos - b.timeNanos <= 0 ? a : b);
    entry.clearedEvents.addAll(clear.eventIds());
    if (entry.clears.size() > MAX_CLEARED) {
      entry.clears.remove(entry.clears.keySet().stream().min(Comparator.naturalOrder()).get());
    }
    removeCleared(entry);
  }

  /**
   * Returns where a request may run.
   *
   * @param fingerprint the request
   * @param nowNanos monotonic time
   * @return the rule, never null
   */
  public synchronized RunRule getRule(long fingerprint, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return RunRule.ofMarks(0);
    }
    expire(entry, nowNanos);
    return RunRule.ofMarks(entry.crashes.size());
  }

  /**
   * Cancels the shared marks of a request that completed: another request that was in flight
   * probably caused those crashes. A mark of a crash at which it was the only request in flight
   * stays, so a request that crashes targets only occasionally is still refused eventually.
   *
   * @param fingerprint the request
   * @param clearId unique id of the clear
   * @param nowNanos monotonic time
   * @return the message to send to all nodes; empty if the request has no shared mark
   */
  public synchronized Optional<CrashClears> recordCompletion(
      long fingerprint, String clearId, long nowNanos) {
    Entry entry = entries.get(fingerprint);
    if (entry == null) {
      return Optional.empty();
    }
    expire(entry, nowNanos);
    List<String> shared =
        entry.crashes.entrySet().stream()
            .filter(crash -> crash.getValue().isShared())
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    return shared.isEmpty()
        ? Optional.empty()
        : Optional.of(clear(new Clear(fingerprint, clearId, shared, false, 0), nowNanos));
  }

  /**
   * Cancels all marks of a request on behalf of an operator.
   *
   * @param fingerprint the request
   * @param clearId unique id of the clear
   * @param nowNanos monotonic time
   * @return the message to send to all nodes
   */
  public synchronized CrashClears clear(long fingerprint, String clearId, long nowNanos) {
    Entry entry = getOrCreateEntry(fingerprint, nowNanos);
    List<String> eventIds = entry.crashes.keySet().stream().sorted().toList();
    return clear(new Clear(fingerprint, clearId, eventIds, true, 0), nowNanos);
  }

  private CrashClears clear(Clear clear, long nowNanos) {
    merge(clear, nowNanos);
    return new CrashClears(List.of(clear));
  }

  /**
   * Lists the marked requests, those with the most marks first.
   *
   * @param limit maximum number of requests
   * @param nowNanos monotonic time
   * @return the requests
   */
  public synchronized List<MarkedRequest> list(int limit, long nowNanos) {
    removeExpired(nowNanos);
    return entries.entrySet().stream()
        .filter(entry -> !entry.getValue().crashes.isEmpty())
        .map(entry -> toMarkedRequest(entry.getKey(), entry.getValue(), nowNanos))
        .sorted(
            Comparator.comparingInt((MarkedRequest request) -> -request.eventIds().size())
                .thenComparingLong(MarkedRequest::fingerprint))
        .limit(limit)
        .toList();
  }

  /**
   * Returns all marks, to be sent to a peer that has joined.
   *
   * @param nowNanos monotonic time
   * @return the marks with their current ages; up to 80,000, so they must be sent in several
   *     messages
   */
  public synchronized List<Mark> getMarks(long nowNanos) {
    removeExpired(nowNanos);
    List<Mark> marks = new ArrayList<>();
    entries.forEach(
        (fingerprint, entry) ->
            entry.crashes.forEach(
                (id, crash) ->
                    marks.add(
                        new Mark(
                            fingerprint, id, crash.isShared, toAgeMs(crash.timeNanos, nowNanos)))));
    return marks;
  }

  /**
   * Returns all clears, to be sent to a peer that has joined.
   *
   * @param nowNanos monotonic time
   * @return the clears with their current ages
   */
  public synchronized List<Clear> getClears(long nowNanos) {
    removeExpired(nowNanos);
    List<Clear> clears = new ArrayList<>();
    entries.forEach(
        (fingerprint, entry) ->
            entry.clears.forEach(
                (id, clear) ->
                    clears.add(
                        new Clear(
                            fingerprint,
                            id,
                            List.copyOf(entry.clearedEvents),
                            clear.isAll,
                            toAgeMs(clear.timeNanos, nowNanos)))));
    return clears;
  }

  /**
   * Returns the number of fingerprints that have marks or clears.
   *
   * @return the count, at most {@link #MAX_FINGERPRINTS}
   */
  public synchronized int size() {
    return entries.size();
  }

  private Entry getOrCreateEntry(long fingerprint, long nowNanos) {
    if (!entries.containsKey(fingerprint) && entries.size() >= MAX_FINGERPRINTS) {
      evict(nowNanos);
    }
    Entry entry = entries.computeIfAbsent(fingerprint, key -> new Entry());
    entry.lastChangeNanos = nowNanos;
    expire(entry, nowNanos);
    return entry;
  }

  private void evict(long nowNanos) {
    removeExpired(nowNanos);
    if (entries.size() < MAX_FINGERPRINTS) {
      return;
    }
    List<Long> weakest =
        entries.entrySet().stream()
            .sorted(
                Comparator.comparingInt(
                        (Map.Entry<Long, Entry> entry) -> entry.getValue().crashes.size())
                    .thenComparingLong(entry -> entry.getValue().lastChangeNanos - nowNanos)
                    .thenComparingLong(Map.Entry::getKey))
            .limit(MAX_FINGERPRINTS / EVICTION_DIVISOR)
            .map(Map.Entry::getKey)
            .toList();
    weakest.forEach(entries::remove);
  }

  private void removeExpired(long nowNanos) {
    entries.values().forEach(entry -> expire(entry, nowNanos));
    entries.values().removeIf(entry -> entry.crashes.isEmpty() && entry.clears.isEmpty());
  }

  private static void expire(Entry entry, long nowNanos) {
    entry.crashes.values().removeIf(crash -> nowNanos - crash.timeNanos >= EXPIRY_NANOS);
    entry.clears.values().removeIf(clear -> nowNanos - clear.timeNanos >= EXPIRY_NANOS);
    if (entry.clears.isEmpty()) {
      entry.clearedEvents.clear();
    }
  }

  /**
   * Removes cancelled marks and keeps their ids, because a duplicate of a mark may arrive with a
   * lower age.
   */
  private static void removeCleared(Entry entry) {
    for (AppliedClear clear : entry.clears.values()) {
      if (clear.isAll) {
        entry.crashes.forEach(
            (id, crash) -> {
              if (crash.timeNanos - clear.timeNanos <= 0) {
                entry.clearedEvents.add(id);
              }
            });
      }
    }
    entry.crashes.keySet().removeAll(entry.clearedEvents);
    while (entry.clearedEvents.size() > MAX_CLEARED) {
      entry.clearedEvents.remove(entry.clearedEvents.iterator().next());
    }
  }

  /** Keeps the earlier time, so that marks which peers send back and forth still expire. */
  private static Crash mergeCrashes(Crash a, Crash b) {
    long timeNanos = a.timeNanos - b.timeNanos <= 0 ? a.timeNanos : b.timeNanos;
    return new Crash(timeNanos, a.isShared || b.isShared);
  }

  private MarkedRequest toMarkedRequest(long fingerprint, Entry entry, long nowNanos) {
    long youngest =
        entry.crashes.values().stream()
            .mapToLong(crash -> toAgeMs(crash.timeNanos, nowNanos))
            .min()
            .orElse(0);
    return new MarkedRequest(
        fingerprint,
        entry.crashes.keySet().stream().sorted().toList(),
        RunRule.ofMarks(entry.crashes.size()),
        youngest);
  }

  private static boolean isUnexpired(long ageMs) {
    return ageMs >= 0 && ageMs < EXPIRY_MS;
  }

  private static long toTimeNanos(long ageMs, long nowNanos) {
    return nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMs);
  }

  private static long toAgeMs(long timeNanos, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - timeNanos);
  }
}
