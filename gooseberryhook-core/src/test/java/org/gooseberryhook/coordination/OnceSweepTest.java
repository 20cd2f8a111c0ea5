package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceState;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;

/** Sweeps a table while calls are running and wall clocks are wrong by days. */
class OnceSweepTest {

  private static final long MINUTE_NANOS = 60_000_000_000L;
  private static final long DAY_MS = 86_400_000L;

  private final FakeTableService table = new FakeTableService();
  private final Map<String, Long> lastWriteNanos = new HashMap<>();
  private long nowNanos;

  private List<TableRecord> scan(String afterKey, int limit) {
    return ((TableResult.Read) table.scan("once/", afterKey, limit).join()).records();
  }

  private void write(String key, long createdMs) {
    List<TableRecord> found = ((TableResult.Read) table.get(key).join()).records();
    long version = found.isEmpty() ? 0 : found.get(0).version();
    OnceRecord value =
        new OnceRecord("claim", "node", "digest", OnceState.CLAIMED, 0, null, createdMs);
    table.transact(List.of(TableOperation.ofPut(key, version, value.toJson()))).join();
    lastWriteNanos.put(key, nowNanos);
  }

  /**
   * Guards against the deletion of a running call's claim, after which the call could run a second
   * time.
   */
  @Property(tries = 100, seed = "14")
  void noWallClockErrorDeletesTheRecordOfARunningCall(@ForAll long seed) {
    Random random = new Random(seed);
    OnceSweep sweep = new OnceSweep();
    String afterKey = "";
    for (int minute = 0; minute < 600; minute++) {
      nowNanos += MINUTE_NANOS;
      if (minute < 300) {
        write("once/w/s/" + random.nextInt(40), random.nextInt(20) * DAY_MS);
      }
      List<TableRecord> page = scan(afterKey, 10);
      boolean isLast = page.size() < 10;
      afterKey = isLast ? "" : page.get(9).key();
      List<TableOperation> deletions = sweep.onPage(page, isLast, 10 * DAY_MS, nowNanos);
      for (TableOperation deletion : deletions) {
        assertThat(nowNanos - lastWriteNanos.get(deletion.key()))
            .isGreaterThanOrEqualTo(OnceSweep.QUARANTINE_NANOS);
      }
      if (!deletions.isEmpty()) {
        table.transact(deletions).join();
      }
    }
    assertThat(scan("", 100))
        .allMatch(found -> OnceRecord.ofJson(found.value()).createdEpochMs() > 8 * DAY_MS);
  }
}
