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
 * Decides which once-only records are deleted, in repeated passes over all of them.
 *
 * <p>A record whose wall-clock time is more than 24 h and a margin ago is noted, and is deleted
 * when a later pass finds it unchanged after a quarantine on the sweeper's monotonic clock. A call
 * writes its record again when it ends, within its deadline, so a record that did not change for
 * the quarantine belongs to no running call, however wrong the wall clocks are. The deletion names
 * the version that was seen; versions of a key are never used again, so a claim that was made
 * meanwhile makes it fail, also when it arrives late. A wrong wall clock can only shorten the time
 * for which an outcome can be asked for.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class OnceSweep {

  /** Age on the wall clock: 24 h and an hour for clocks that differ. */
  static final long MIN_AGE_MS = 25L * 3_600_000;

  /** Longer than any deadline of a call and the settling of its outcome. */
  static final long QUARANTINE_NANOS = 3_600_000_000_000L;

  /** Noted records; further ones wait for a later pass. */
  static final int MAX_CANDIDATES = 50_000;

  private Map<String, Candidate> candidates = new HashMap<>();
  private Map<String, Candidate> nextCandidates = new HashMap<>();

  private record Candidate(long version, long firstSeenNanos) {}

  /**
   * Takes the next page of a pass.
   *
   * @param page records in key order
   * @param isLast whether the pass ends with this page
   * @param wallClockMs present time in milliseconds since 1970
   * @param nowNanos monotonic time
   * @return deletions, one for each record at most
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

  /** A record that cannot be read is kept, because its age is not known. */
  private static boolean isOld(TableRecord found, long wallClockMs) {
    try {
      return wallClockMs - OnceRecord.ofJson(found.value()).createdEpochMs() >= MIN_AGE_MS;
    } catch (UncheckedIOException e) {
      return false;
    }
  }
}
