package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.FakeTableService.Fault;
import org.gooseberryhook.protocol.LookupResult;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.OnceState;
import org.gooseberryhook.protocol.ServiceResult;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableResult;

/**
 * Simulates several nodes that share a table service and a plain service without deduplication, in
 * simulated time. Each step consumes one number of the given list, which selects a fault. When the
 * list is used up, no more faults occur, so all calls end and the final state can be checked.
 */
final class OnceCallSimulation {

  private static final int NODES = 3;
  private static final int CALLS = 7;
  private static final long MS = 1_000_000;
  private static final long NODE_PAUSE_NANOS = 600_000 * MS;

  private final class SimulatedCall {
    private final String key;
    private final String claimId;
    private final int node;
    private final long deadlineNanos;
    private final String digest;
    private OnceCall call;
    private OnceResult result;
    private boolean isNodeDead;
    private boolean hasSeenOpenClaim;

    private SimulatedCall(int index) {
      node = choose(64) % NODES;
      key = "once/w/s/" + choose(64) / 40;
      claimId = "try" + index;
      digest = choose(64) == 63 ? "other" : "body";
      deadlineNanos = nowNanos + 8_000 * MS;
    }
  }

  private record ScheduledAction(long timeNanos, long order, Runnable action) {}

  private final Iterator<Integer> choices;
  private final UnaryOperator<OnceEvent> distortion;
  private final boolean hasLookup;
  private final FakeTableService table = new FakeTableService();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          (a, b) ->
              a.timeNanos == b.timeNanos
                  ? Long.compare(a.order, b.order)
                  : Long.compare(a.timeNanos, b.timeNanos));
  private final List<SimulatedCall> calls = new ArrayList<>();
  private final long[] resumeNanos = new long[NODES];
  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<String, ServiceResult.Answered> serviceResults = new HashMap<>();
  private final Set<String> claimsWithEffect = new HashSet<>();
  private final Set<OnceResult> returnedResults = new HashSet<>();
  private long nowNanos;
  private long order;
  private long outageStartNanos;
  private long outageEndNanos;

  OnceCallSimulation(
      List<Integer> choices, boolean hasLookup, UnaryOperator<OnceEvent> distortion) {
    this.choices = choices.iterator();
    this.hasLookup = hasLookup;
    this.distortion = distortion;
  }

  /** Runs all calls to their end and returns the violations that were found. */
  List<String> run() {
    outageStartNanos = choose(64) * 500 * MS;
    outageEndNanos = outageStartNanos + Math.max(0, choose(64) - 40) * 1_000 * MS;
    long startNanos = 0;
    for (int index = 0; index < CALLS; index++) {
      int number = index;
      schedule(startNanos, () -> start(number));
      int gap = choose(64);
      startNanos += gap < 20 ? 0 : gap < 60 ? gap * 50 * MS : NODE_PAUSE_NANOS;
    }
    while (!scheduledActions.isEmpty()) {
      ScheduledAction next = scheduledActions.poll();
      nowNanos = next.timeNanos;
      next.action.run();
    }
    return findViolations();
  }

  Set<OnceResult> getResults() {
    return returnedResults;
  }

  private void start(int index) {
    SimulatedCall call = new SimulatedCall(index);
    calls.add(call);
    call.call =
        new OnceCall(
            new OnceRequest(
                call.claimId, "node" + call.node, call.digest, hasLookup, call.deadlineNanos, 0),
            new Random(index));
    schedule(call.deadlineNanos, () -> deliver(call, new OnceEvent.Tick()));
    deliver(call, new OnceEvent.Start());
  }

  private void deliver(SimulatedCall call, OnceEvent event) {
    if (call.isNodeDead) {
      return;
    }
    if (resumeNanos[call.node] > nowNanos) {
      schedule(resumeNanos[call.node], () -> deliver(call, event));
      return;
    }
    recordOpenClaim(call, event);
    for (OnceDecision decision : call.call.onEvent(distortion.apply(event), nowNanos)) {
      if (decision instanceof OnceDecision.ReturnResult returned) {
        recordResult(call, returned.result());
      } else if (decision instanceof OnceDecision.WaitUntil wait) {
        schedule(wait.nanos(), () -> deliver(call, new OnceEvent.Tick()));
      } else {
        execute(call, decision);
      }
    }
  }

  private static void recordOpenClaim(SimulatedCall call, OnceEvent event) {
    OnceEvent.Stored stored =
        event instanceof OnceEvent.Conflict conflict
            ? conflict.current()
            : event instanceof OnceEvent.RecordRead read ? read.current() : null;
    call.hasSeenOpenClaim |=
        call.result == null
            && stored != null
            && !stored.record().claimId().equals(call.claimId)
            && stored.record().digest().equals(call.digest)
            && stored.record().state() != OnceState.RAN
            && stored.record().state() != OnceState.NOT_RUN;
  }

  private void recordResult(SimulatedCall call, OnceResult result) {
    if (call.result != null) {
      throw new AssertionError(call.claimId + " got two results");
    }
    call.result = result;
    returnedResults.add(result);
  }

  /**
   * Performs a decision, possibly after a pause of the node, or as the last action before the call
   * is lost with its node.
   */
  private void execute(SimulatedCall call, OnceDecision decision) {
    int choice = choose(64);
    if (choice >= 60) {
      call.isNodeDead = true;
      if (choice >= 62) {
        return;
      }
    } else if (choice >= 57) {
      resumeNanos[call.node] = nowNanos + NODE_PAUSE_NANOS;
      schedule(resumeNanos[call.node], () -> perform(call, decision));
      return;
    }
    perform(call, decision);
  }

  private void perform(SimulatedCall call, OnceDecision decision) {
    int choice = choose(64);
    long delayNanos = (choice % 16 == 15 ? 5_500 : 1 + choice % 16) * MS;
    OnceEvent event;
    if (decision instanceof OnceDecision.Write write) {
      event = write(call.key, write, choice);
    } else if (decision instanceof OnceDecision.Read) {
      event = read(call.key, choice);
    } else if (decision instanceof OnceDecision.Dispatch dispatch) {
      event = new OnceEvent.Dispatched(dispatch(call, dispatch, choice));
    } else {
      event = new OnceEvent.LookedUp(lookUp(call.key, choice));
    }
    schedule(nowNanos + delayNanos, () -> deliver(call, event));
  }

  private OnceEvent write(String key, OnceDecision.Write write, int choice) {
    List<TableOperation> operations =
        List.of(TableOperation.ofPut(key, write.expectedVersion(), write.record().toJson()));
    if (choice >= 56) {
      schedule(nowNanos + (choice - 55) * 4_000 * MS, () -> transact(operations, Fault.NONE));
      return new OnceEvent.WriteUnknown("late effect");
    }
    Fault fault =
        choice >= 50
            ? Fault.LOST_AFTER_EFFECT
            : choice >= 46 ? Fault.LOST_BEFORE_EFFECT : choice >= 44 ? Fault.AWAY : Fault.NONE;
    TableResult result = transact(operations, isOutage() ? Fault.AWAY : fault);
    if (result instanceof TableResult.Committed committed) {
      return new OnceEvent.Written(committed.versions().get(0));
    } else if (result instanceof TableResult.Conflict) {
      return new OnceEvent.Conflict(getStored(key));
    }
    return result instanceof TableResult.NotApplied
        ? new OnceEvent.NotApplied("unavailable")
        : new OnceEvent.WriteUnknown("lost");
  }

  private TableResult transact(List<TableOperation> operations, Fault fault) {
    table.setFault(fault);
    TableResult result = table.transact(operations).join();
    table.setFault(Fault.NONE);
    return result;
  }

  private OnceEvent read(String key, int choice) {
    return choice >= 52 || isOutage()
        ? new OnceEvent.ReadFailed("unavailable")
        : new OnceEvent.RecordRead(getStored(key));
  }

  private OnceEvent.Stored getStored(String key) {
    TableResult.Read read = (TableResult.Read) table.get(key).join();
    return read.records().isEmpty()
        ? null
        : new OnceEvent.Stored(
            OnceRecord.ofJson(read.records().get(0).value()),
            read.records().get(0).version(),
            nowNanos / MS);
  }

  private ServiceResult dispatch(SimulatedCall call, OnceDecision.Dispatch dispatch, int choice) {
    if (nowNanos - dispatch.notAfterNanos() >= 0 || choice >= 60) {
      return new ServiceResult.NotSent("no connection");
    } else if (choice >= 54) {
      schedule(nowNanos + (choice - 53) * 200_000 * MS, () -> takeEffect(call));
      return new ServiceResult.AnswerLost("late effect");
    } else if (choice >= 50) {
      return new ServiceResult.AnswerLost("lost before the effect");
    }
    ServiceResult.Answered response = takeEffect(call);
    return choice >= 44 ? new ServiceResult.AnswerLost("lost after the effect") : response;
  }

  private ServiceResult.Answered takeEffect(SimulatedCall call) {
    effects.merge(call.key, 1, Integer::sum);
    claimsWithEffect.add(call.claimId);
    serviceResults.put(call.key, new ServiceResult.Answered(200, "done by " + call.claimId));
    return serviceResults.get(call.key);
  }

  private LookupResult lookUp(String key, int choice) {
    if (choice >= 50) {
      return new LookupResult.Unavailable("no connection");
    }
    return serviceResults.containsKey(key)
        ? new LookupResult.RanWith(serviceResults.get(key))
        : new LookupResult.NeverSeen();
  }

  private List<String> findViolations() {
    List<String> violations = new ArrayList<>();
    effects.forEach(
        (key, count) -> {
          if (count > 1) {
            violations.add(count + " effects of " + key);
          }
        });
    for (SimulatedCall call : calls) {
      findViolations(call, violations);
    }
    return violations;
  }

  private void findViolations(SimulatedCall call, List<String> violations) {
    OnceEvent.Stored stored = getStored(call.key);
    ServiceResult.Answered serviceResult = serviceResults.get(call.key);
    if (call.result instanceof OnceResult.NotRun && claimsWithEffect.contains(call.claimId)) {
      violations.add("false not-run of " + call.claimId);
    }
    if (call.result instanceof OnceResult.Ran ran
        && (serviceResult == null || !ran.body().equals(serviceResult.body()))) {
      violations.add("false ran of " + call.claimId);
    }
    if (stored != null && stored.record().state() == OnceState.RAN) {
      if (serviceResult == null || !stored.record().body().equals(serviceResult.body())) {
        violations.add("false record of " + call.key);
      }
    }
    if (call.hasSeenOpenClaim && call.result instanceof OnceResult.NotRun) {
      violations.add("not-run returned despite an open claim to " + call.claimId);
    }
    if (call.isNodeDead) {
      return;
    }
    if (hasLookup
        && serviceResult != null
        && stored != null
        && stored.record().state() == OnceState.UNKNOWN
        && stored.record().claimId().equals(call.claimId)) {
      violations.add("unknown left unsettled by " + call.claimId);
    }
    if (call.result == null || !call.call.isDone()) {
      violations.add("call did not end: " + call.claimId);
    }
    if (stored != null
        && stored.record().claimId().equals(call.claimId)
        && stored.record().state() == OnceState.CLAIMED) {
      violations.add("claim left open by " + call.claimId);
    }
  }

  private int choose(int bound) {
    return choices.hasNext() ? choices.next() % bound : 0;
  }

  private boolean isOutage() {
    return nowNanos >= outageStartNanos && nowNanos < outageEndNanos;
  }

  private void schedule(long timeNanos, Runnable action) {
    scheduledActions.add(new ScheduledAction(timeNanos, order++, action));
  }
}
