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
  static final int MAX_NOTED = 50_000;

  private Map<String, Noted> noted = new HashMap<>();
  private Map<String, Noted> seen = new HashMap<>();

  private record Noted(long version, long sinceNanos) {}

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
      Noted before = noted.get(found.key());
      boolean isSame = before != null && before.version() == found.version();
      Noted now = isSame ? before : new Noted(found.version(), nowNanos);
      if (nowNanos - now.sinceNanos() >= QUARANTINE_NANOS) {
        deletions.add(TableOperation.ofDelete(found.key(), found.version()));
      }
      if (seen.size() < MAX_NOTED) {
        seen.put(found.key(), now);
      }
    }
    if (isLast) {
      noted = seen;
      seen = new HashMap<>();
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
