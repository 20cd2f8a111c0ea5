package org.gooseberryhook.coordination;

import java.util.List;
import org.gooseberryhook.coordination.FuzzWorld.Variant;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.ServiceResult;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;

/** Executes the decisions of one {@link OnceCall} as a node does. */
final class FuzzOnceCall {

  private static final long MS = FuzzWorld.MS;
  private static final long DEADLINE_NANOS = 8_000 * MS;

  final FuzzNode node;
  final String key;
  final String claimId;
  private final FuzzWorld world;
  private final OnceCall call;

  FuzzOnceCall(FuzzNode node, String key, String claimId) {
    this.node = node;
    this.world = node.world;
    this.key = key;
    this.claimId = claimId;
    long deadline = node.clock() + DEADLINE_NANOS;
    this.call =
        new OnceCall(
            new OnceRequest(claimId, node.id.address(), "d", true, deadline, world.now / MS),
            node.random);
    node.onceCalls.add(this);
    tickAt(deadline);
    handle(new OnceEvent.Start());
  }

  private void handle(OnceEvent event) {
    if (!call.isDone()) {
      call.onEvent(event, node.clock()).forEach(this::execute);
    }
  }

  private void tickAt(long localNanos) {
    node.post(Math.max(0, localNanos - node.clock()), () -> handle(new OnceEvent.Tick()));
  }

  private void execute(OnceDecision decision) {
    if (decision instanceof OnceDecision.ReturnResult returned) {
      node.onceCalls.remove(this);
      world.oracle.onOnceResult(this, returned.result());
    } else if (decision instanceof OnceDecision.WaitUntil wait) {
      tickAt(wait.nanos());
    } else if (decision instanceof OnceDecision.Write write) {
      TableOperation put =
          TableOperation.ofPut(key, write.expectedVersion(), write.record().toJson());
      node.table.transact(List.of(put)).thenAccept(result -> handle(toWriteEvent(result)));
    } else if (decision instanceof OnceDecision.Read) {
      node.table.get(key).thenAccept(result -> handle(toReadEvent(result)));
    } else if (decision instanceof OnceDecision.Dispatch dispatch) {
      node.post(0, () -> dispatch(dispatch.notAfterNanos(), 1));
    } else {
      lookUp();
    }
  }

  private void dispatch(long notAfterNanos, int number) {
    if (node.clock() - notAfterNanos >= 0) {
      handle(new OnceEvent.Dispatched(new ServiceResult.NotSent("too late")));
      return;
    }
    int fault = world.random.nextInt(100);
    long delay = world.random.nextLong(fault < 30 ? 3_000 * MS : 30 * MS);
    if (fault < 4) {
      node.post(
          delay, () -> handle(new OnceEvent.Dispatched(new ServiceResult.NotSent("refused"))));
      return;
    }
    if (fault >= 8) {
      world.schedule(delay, () -> world.oracle.onEffect(this));
    }
    boolean isLost = fault < 25;
    if (isLost && world.variant == Variant.REPEATS_DISPATCH && number == 1) {
      node.post(delay, () -> dispatch(notAfterNanos, 2));
      return;
    }
    ServiceResult result =
        isLost
            ? new ServiceResult.AnswerLost("reset")
            : new ServiceResult.Answered(200, "result of " + key);
    node.post(delay + 5 * MS, () -> handle(new OnceEvent.Dispatched(result)));
  }

  private void lookUp() {
    node.post(
        20 * MS,
        () -> {
          boolean isUp = world.random.nextInt(4) > 0;
          LookupResult found =
              world.oracle.hasEffect(key)
                  ? new LookupResult.RanWith(new ServiceResult.Answered(200, "result of " + key))
                  : new LookupResult.NeverSeen();
          handle(
              new OnceEvent.LookedUp(isUp ? found : new LookupResult.Unavailable("unavailable")));
        });
  }

  private OnceEvent toWriteEvent(TableResult result) {
    if (result instanceof TableResult.Committed committed) {
      return new OnceEvent.Written(committed.versions().get(0));
    } else if (result instanceof TableResult.Conflict conflict) {
      return new OnceEvent.Conflict(toStored(conflict.current()));
    } else if (result instanceof TableResult.NotApplied refused) {
      return new OnceEvent.NotApplied(refused.reason());
    }
    return new OnceEvent.WriteUnknown("lost");
  }

  private OnceEvent toReadEvent(TableResult result) {
    return result instanceof TableResult.Read read
        ? new OnceEvent.RecordRead(toStored(read.records()))
        : new OnceEvent.ReadFailed("no result");
  }

  private OnceEvent.Stored toStored(List<TableRecord> records) {
    if (records.isEmpty()) {
      return null;
    }
    OnceRecord record = OnceRecord.ofJson(records.get(0).value());
    long ageMs = Math.max(0, world.now / MS - record.createdEpochMs());
    return new OnceEvent.Stored(record, records.get(0).version(), ageMs);
  }
}
