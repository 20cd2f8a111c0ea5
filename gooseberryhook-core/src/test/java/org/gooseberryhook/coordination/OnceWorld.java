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
 * Several nodes in simulated time that share a table service and a plain service without any
 * deduplication. Each step takes one number of the given list to choose a fault; when the list is
 * used up, everything works, so the end state is checked too.
 */
final class OnceWorld {

  private static final int NODES = 3;
  private static final int TRIES = 7;
  private static final long MS = 1_000_000;
  private static final long PAUSE_NANOS = 600_000 * MS;

  private final class Try {
    private final String key;
    private final String claimId;
    private final int node;
    private final long deadlineNanos;
    private final String digest;
    private OnceCall call;
    private OnceResult answer;
    private boolean isDead;
    private boolean hasSeenOpenClaim;

    private Try(int index) {
      node = choose(64) % NODES;
      key = "once/w/s/" + choose(64) / 40;
      claimId = "try" + index;
      digest = choose(64) == 63 ? "other" : "body";
      deadlineNanos = nowNanos + 8_000 * MS;
    }
  }

  private record Step(long atNanos, long order, Runnable action) {}

  private final Iterator<Integer> choices;
  private final UnaryOperator<OnceEvent> distortion;
  private final boolean hasLookup;
  private final FakeTableService table = new FakeTableService();
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(
          (a, b) ->
              a.atNanos == b.atNanos
                  ? Long.compare(a.order, b.order)
                  : Long.compare(a.atNanos, b.atNanos));
  private final List<Try> tries = new ArrayList<>();
  private final long[] awakeNanos = new long[NODES];
  private final Map<String, Integer> effects = new HashMap<>();
  private final Map<String, ServiceResult.Answered> results = new HashMap<>();
  private final Set<String> triesWithEffect = new HashSet<>();
  private final Set<OnceResult> answers = new HashSet<>();
  private long nowNanos;
  private long order;
  private long outageStartNanos;
  private long outageEndNanos;

  OnceWorld(List<Integer> choices, boolean hasLookup, UnaryOperator<OnceEvent> distortion) {
    this.choices = choices.iterator();
    this.hasLookup = hasLookup;
    this.distortion = distortion;
  }

  /** Runs all tries to their end and returns what the oracle found wrong. */
  List<String> run() {
    outageStartNanos = choose(64) * 500 * MS;
    outageEndNanos = outageStartNanos + Math.max(0, choose(64) - 40) * 1_000 * MS;
    long startNanos = 0;
    for (int index = 0; index < TRIES; index++) {
      int number = index;
      at(startNanos, () -> start(number));
      int gap = choose(64);
      startNanos += gap < 20 ? 0 : gap < 60 ? gap * 50 * MS : PAUSE_NANOS;
    }
    while (!steps.isEmpty()) {
      Step step = steps.poll();
      nowNanos = step.atNanos;
      step.action.run();
    }
    return check();
  }

  Set<OnceResult> getAnswers() {
    return answers;
  }

  private void start(int index) {
    Try attempt = new Try(index);
    tries.add(attempt);
    attempt.call =
        new OnceCall(
            new OnceRequest(
                attempt.claimId,
                "node" + attempt.node,
                attempt.digest,
                hasLookup,
                attempt.deadlineNanos,
                0),
            new Random(index));
    at(attempt.deadlineNanos, () -> give(attempt, new OnceEvent.Tick()));
    give(attempt, new OnceEvent.Start());
  }

  private void give(Try attempt, OnceEvent event) {
    if (attempt.isDead) {
      return;
    }
    if (awakeNanos[attempt.node] > nowNanos) {
      at(awakeNanos[attempt.node], () -> give(attempt, event));
      return;
    }
    noteOpenClaim(attempt, event);
    for (OnceDecision decision : attempt.call.onEvent(distortion.apply(event), nowNanos)) {
      if (decision instanceof OnceDecision.Answer answer) {
        answer(attempt, answer.result());
      } else if (decision instanceof OnceDecision.WaitUntil wait) {
        at(wait.nanos(), () -> give(attempt, new OnceEvent.Tick()));
      } else {
        execute(attempt, decision);
      }
    }
  }

  private static void noteOpenClaim(Try attempt, OnceEvent event) {
    OnceEvent.Stored stored =
        event instanceof OnceEvent.Conflict conflict
            ? conflict.current()
            : event instanceof OnceEvent.ReadBack read ? read.current() : null;
    attempt.hasSeenOpenClaim |=
        attempt.answer == null
            && stored != null
            && !stored.record().claimId().equals(attempt.claimId)
            && stored.record().digest().equals(attempt.digest)
            && stored.record().state() != OnceState.RAN
            && stored.record().state() != OnceState.NOT_RUN;
  }

  private void answer(Try attempt, OnceResult result) {
    if (attempt.answer != null) {
      throw new AssertionError(attempt.claimId + " answered twice");
    }
    attempt.answer = result;
    answers.add(result);
  }

  /** Performs a decision, perhaps after a pause of the node, or beside the node's death. */
  private void execute(Try attempt, OnceDecision decision) {
    int choice = choose(64);
    if (choice >= 60) {
      attempt.isDead = true;
      if (choice >= 62) {
        return;
      }
    } else if (choice >= 57) {
      awakeNanos[attempt.node] = nowNanos + PAUSE_NANOS;
      at(awakeNanos[attempt.node], () -> perform(attempt, decision));
      return;
    }
    perform(attempt, decision);
  }

  private void perform(Try attempt, OnceDecision decision) {
    int choice = choose(64);
    long delayNanos = (choice % 16 == 15 ? 5_500 : 1 + choice % 16) * MS;
    OnceEvent event;
    if (decision instanceof OnceDecision.Write write) {
      event = write(attempt.key, write, choice);
    } else if (decision instanceof OnceDecision.Read) {
      event = read(attempt.key, choice);
    } else if (decision instanceof OnceDecision.Dispatch dispatch) {
      event = new OnceEvent.Dispatched(dispatch(attempt, dispatch, choice));
    } else {
      event = new OnceEvent.LookedUp(lookUp(attempt.key, choice));
    }
    at(nowNanos + delayNanos, () -> give(attempt, event));
  }

  private OnceEvent write(String key, OnceDecision.Write write, int choice) {
    List<TableOperation> operations =
        List.of(TableOperation.ofPut(key, write.expectedVersion(), write.record().toJson()));
    if (choice >= 56) {
      at(nowNanos + (choice - 55) * 4_000 * MS, () -> transact(operations, Fault.NONE));
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
        ? new OnceEvent.NotApplied("away")
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
        ? new OnceEvent.ReadFailed("away")
        : new OnceEvent.ReadBack(getStored(key));
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

  private ServiceResult dispatch(Try attempt, OnceDecision.Dispatch dispatch, int choice) {
    if (nowNanos - dispatch.notAfterNanos() >= 0 || choice >= 60) {
      return new ServiceResult.NotSent("no connection");
    } else if (choice >= 54) {
      at(nowNanos + (choice - 53) * 200_000 * MS, () -> takeEffect(attempt));
      return new ServiceResult.AnswerLost("late effect");
    } else if (choice >= 50) {
      return new ServiceResult.AnswerLost("lost before the effect");
    }
    ServiceResult.Answered answer = takeEffect(attempt);
    return choice >= 44 ? new ServiceResult.AnswerLost("lost after the effect") : answer;
  }

  private ServiceResult.Answered takeEffect(Try attempt) {
    effects.merge(attempt.key, 1, Integer::sum);
    triesWithEffect.add(attempt.claimId);
    results.put(attempt.key, new ServiceResult.Answered(200, "done by " + attempt.claimId));
    return results.get(attempt.key);
  }

  private LookupResult lookUp(String key, int choice) {
    if (choice >= 50) {
      return new LookupResult.Unavailable("no connection");
    }
    return results.containsKey(key)
        ? new LookupResult.RanWith(results.get(key))
        : new LookupResult.NeverSeen();
  }

  private List<String> check() {
    List<String> faults = new ArrayList<>();
    effects.forEach(
        (key, count) -> {
          if (count > 1) {
            faults.add(count + " effects of " + key);
          }
        });
    for (Try attempt : tries) {
      check(attempt, faults);
    }
    return faults;
  }

  private void check(Try attempt, List<String> faults) {
    OnceEvent.Stored stored = getStored(attempt.key);
    ServiceResult.Answered result = results.get(attempt.key);
    if (attempt.answer instanceof OnceResult.NotRun && triesWithEffect.contains(attempt.claimId)) {
      faults.add("untrue not-run of " + attempt.claimId);
    }
    if (attempt.answer instanceof OnceResult.Ran ran
        && (result == null || !ran.body().equals(result.body()))) {
      faults.add("untrue ran of " + attempt.claimId);
    }
    if (stored != null && stored.record().state() == OnceState.RAN) {
      if (result == null || !stored.record().body().equals(result.body())) {
        faults.add("untrue record of " + attempt.key);
      }
    }
    if (attempt.hasSeenOpenClaim && attempt.answer instanceof OnceResult.NotRun) {
      faults.add("not-run beside an open claim told to " + attempt.claimId);
    }
    if (attempt.isDead) {
      return;
    }
    if (hasLookup
        && result != null
        && stored != null
        && stored.record().state() == OnceState.UNKNOWN
        && stored.record().claimId().equals(attempt.claimId)) {
      faults.add("unknown left unsettled by " + attempt.claimId);
    }
    if (attempt.answer == null || !attempt.call.isDone()) {
      faults.add("no end of " + attempt.claimId);
    }
    if (stored != null
        && stored.record().claimId().equals(attempt.claimId)
        && stored.record().state() == OnceState.CLAIMED) {
      faults.add("claim left open by " + attempt.claimId);
    }
  }

  private int choose(int bound) {
    return choices.hasNext() ? choices.next() % bound : 0;
  }

  private boolean isOutage() {
    return nowNanos >= outageStartNanos && nowNanos < outageEndNanos;
  }

  private void at(long timeNanos, Runnable action) {
    steps.add(new Step(timeNanos, order++, action));
  }
}
