package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.coordination.OnceRecordBatcher.WriteResult;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.FakeTableService.Fault;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableResult;
import org.junit.jupiter.api.Test;

class OnceRecordBatcherTest {

  /**
   * Guards against a write whose result changes because another write of its batch conflicts or
   * because the response to an earlier batch was lost.
   */
  @Property(tries = 300, seed = "31")
  void eachWriteGetsOneResultAsIfItWereSentAlone(@ForAll long seed) {
    Random random = new Random(seed);
    FakeTableService table = new FakeTableService();
    OnceRecordBatcher batcher = new OnceRecordBatcher(0);
    Map<Long, TableOperation> writes = new HashMap<>();
    for (int key = 0; key < 20; key++) {
      table.transact(List.of(TableOperation.ofPut("taken" + key, 0, "old"))).join();
    }
    for (long ticket = 0; ticket < 400; ticket++) {
      String key = (random.nextInt(20) == 0 ? "taken" : "free") + random.nextInt(300);
      writes.put(ticket, TableOperation.ofPut(key, 0, "by" + ticket));
      batcher.add(ticket, writes.get(ticket), 0);
    }
    List<WriteResult> results = new ArrayList<>();
    while (batcher.getDueNanos(0).isPresent()) {
      for (OnceRecordBatcher.Batch batch : batcher.poll(0)) {
        assertThat(batch.operations()).hasSizeLessThanOrEqualTo(OnceRecordBatcher.MAX_RECORDS);
        boolean isLost = random.nextInt(6) == 0;
        table.setFault(isLost ? Fault.LOST_AFTER_EFFECT : Fault.NONE);
        results.addAll(
            batcher.onResult(batch.batchId(), table.transact(batch.operations()).join()));
      }
    }
    table.setFault(Fault.NONE);
    assertThat(results).extracting(WriteResult::ticket).doesNotHaveDuplicates().hasSize(400);
    for (WriteResult result : results) {
      String key = writes.get(result.ticket()).key();
      var records = ((TableResult.Read) table.get(key).join()).records();
      boolean isWriter =
          !records.isEmpty() && records.get(0).value().equals("by" + result.ticket());
      if (result.result() instanceof TableResult.Committed committed) {
        assertThat(isWriter).isTrue();
        assertThat(committed.versions()).containsExactly(records.get(0).version());
      } else if (result.result() instanceof TableResult.Conflict conflict) {
        assertThat(isWriter).isFalse();
        assertThat(conflict.current()).isEqualTo(records);
      } else {
        assertThat(result.result()).isInstanceOf(TableResult.Unknown.class);
      }
    }
  }

  /**
   * Guards against writes that wait too long or are sent one by one, and against unbounded memory.
   */
  @Test
  void aBatchIsSentAtItsDueTimeOrWhenItIsFull() {
    OnceRecordBatcher batcher = new OnceRecordBatcher(OnceRecordBatcher.MAX_WAIT_NANOS);
    batcher.add(1, TableOperation.ofPut("a", 0, "x"), 5);
    assertThat(batcher.getDueNanos(5)).contains(5 + OnceRecordBatcher.MAX_WAIT_NANOS);
    assertThat(batcher.poll(4 + OnceRecordBatcher.MAX_WAIT_NANOS)).isEmpty();
    for (long ticket = 2; ticket <= OnceRecordBatcher.MAX_PENDING; ticket++) {
      assertThat(batcher.add(ticket, TableOperation.ofPut("k" + ticket, 0, "x"), 6)).isTrue();
    }
    assertThat(batcher.add(0, TableOperation.ofPut("b", 0, "x"), 6)).isFalse();
    assertThat(batcher.poll(6)).hasSize(200).allMatch(batch -> batch.operations().size() == 100);
  }
}
