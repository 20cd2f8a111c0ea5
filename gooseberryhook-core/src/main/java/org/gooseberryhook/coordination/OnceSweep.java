package org.gooseberryhook.coordination;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;

/**
 * Selects expired once-only records for deletion, in repeated passes over all records.
 *
 * <p>A record whose wall-clock age exceeds 24 h plus a margin becomes a candidate. It is deleted
 * when a later pass finds it unchanged after a quarantine, which is measured on this node's
 * monotonic clock. A call writes its record again when it ends, within its deadline, so a record
 * that did not change during the quarantine belongs to no running call, even if wall clocks are
 * wrong. The deletion is conditional on the version that was read. Versions of a key are never
 * reused, so the deletion fails if the key was claimed in the meantime, even if the deletion
 * arrives late. A wrong wall clock can only shorten the time for which an outcome can be queried.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class OnceSweep {

  /** Minimum wall-clock age in milliseconds: 24 h, plus one hour for clock differences. */
  static final long MIN_AGE_MS = 25L * 3_600_000;

  /** Quarantine in nanoseconds; longer than any call including the settlement of its outcome. */
  static final long QUARANTINE_NANOS = 3_600_000_000_000L;

  /** Maximum number of candidates; further ones wait for a later pass. */
  static final int MAX_CANDIDATES = 50_000;

  private Map<String, Candidate> candidates = new HashMap<>();
  private Map<String, Candidate> nextCandidates = new HashMap<>();

  private record Candidate(long version, long firstSeenNanos) {}

  /**
   * Processes the next page of a pass.
   *
   * @param page records in key order
   * @param isLast whether the pass ends with this page
   * @param wallClockMs current time in milliseconds since 1970
   * @param nowNanos monotonic time
   * @return conditional deletions, at most one for each record
   */
  public List<TableOperation> onPage(
      List<TableRecord> page, boolean isLast, long wallClockMs, long nowNanos) {
    List<TableOperation> deletions = new ArrayList<>();
    for (TableRecord found : page) {
      if (!isOld(found, wallClockMs)) {
        continue;
      }
      Candidate previous = candidates.get(found.key());
      boolean isSame = previous != null && previous.version() == found.version();
      Candidate candidate = isSame ? previous : new Candidate(found.version(), nowNanos);
      if (nowNanos - candidate.firstSeenNanos() >= QUARANTINE_NANOS) {
        deletions.add(TableOperation.ofDelete(found.key(), found.version()));
      }
      if (nextCandidates.size() < MAX_CANDIDATES) {
        nextCandidates.put(found.key(), candidate);
      }
    }
    if (isLast) {
      candidates = nextCandidates;
      nextCandidates = new HashMap<>();
    }
    return deletions;
  }

  /**
   * Returns whether the record has the minimum age. A record that cannot be parsed is kept, because
   * its age is unknown.
   */
  private static boolean isOld(TableRecord found, long wallClockMs) {
    try {
      return wallClockMs - OnceRecord.ofJson(found.value()).createdEpochMs() >= MIN_AGE_MS;
    } catch (UncheckedIOException e) {
      return false;
    }
  }
}
