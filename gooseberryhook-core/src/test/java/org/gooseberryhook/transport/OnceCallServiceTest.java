package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.FakePlainService;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.ServiceResult;
import org.gooseberryhook.state.ServiceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OnceCallServiceTest {

  private static final String ADDRESS = "http://10.0.0.1:1";

  private final FakeTableService table = new FakeTableService();
  private final FakePlainService plain = new FakePlainService();
  private final List<OnceCallService> nodes = new ArrayList<>();

  @BeforeEach
  void startNodes() {
    for (int node = 0; node < 3; node++) {
      OnceCallService.Ports ports =
          new OnceCallService.Ports(
              table,
              plain,
              name -> name.equals("book") ? new ServiceSpec(name, Set.of("add"), true) : null,
              name -> List.of(ADDRESS),
              System::nanoTime,
              System::currentTimeMillis);
      // All nodes have the same seed: a node must not mistake another node's claim for its own.
      nodes.add(new OnceCallService(ports, "10.0.1." + node + ":1", new Random(1)));
      nodes.get(node).start();
    }
  }

  @AfterEach
  void stopNodes() {
    nodes.forEach(node -> node.stop(5_000));
  }

  /** Guards against a second effect when callers use the same key at several nodes at once. */
  @Test
  void racingCallersAtSeveralNodesCauseOneEffectAndLaterCallersGetItsResult() {
    List<CompletableFuture<OnceResult>> results = new ArrayList<>();
    for (int call = 0; call < 300; call++) {
      results.add(call(call % 3, "key" + call % 100, "body"));
    }
    results.forEach(
        result -> assertThat(result.join().outcome()).isIn(Outcome.RAN, Outcome.RUNNING));
    for (int key = 0; key < 100; key++) {
      assertThat(plain.getEffects("w/key" + key)).isEqualTo(1);
      assertThat(call(key % 3, "key" + key, "body").join())
          .isEqualTo(new OnceResult.Ran(200, "add 1"));
    }
    assertThat(nodes.get(0).outcome("w", "book", "key7", deadline()).join())
        .isEqualTo(new OnceResult.Ran(200, "add 1"));
    assertThat(call(1, "key7", "another body").join())
        .isInstanceOfSatisfying(
            OnceResult.NotRun.class,
            refused -> assertThat(refused.problem().kind()).isEqualTo(ProblemKind.KEY_REUSED));
  }

  /** Guards against a planned stop that aborts calls accepted before it. */
  @Test
  void callsAcceptedBeforeAStopCompleteAndLaterOnesAreNotRun() {
    CompletableFuture<OnceResult> early = call(0, "early", "body");
    nodes.get(0).refuseNew();
    assertThat(call(0, "late", "body").join().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(early.join()).isEqualTo(new OnceResult.Ran(200, "add 1"));
    assertThat(plain.getEffects("w/late")).isZero();
  }

  /**
   * Guards against an outcome of not-run for a call that may have run, and of ran for one that did
   * not, when the store or the service fails.
   */
  @Test
  void failuresOfTheStoreOrServiceGiveTheTrueOutcome() {
    table.setFault(FakeTableService.Fault.AWAY);
    assertThat(call(0, "a", "body").join().outcome()).isEqualTo(Outcome.NOT_RUN);
    table.setFault(FakeTableService.Fault.NONE);
    plain.setFault(ADDRESS, FakePlainService.Fault.NOT_SENT);
    assertThat(call(0, "a", "body").join().outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(plain.getEffects("w/a")).isZero();
    plain.setFault(ADDRESS, FakePlainService.Fault.LOST_AFTER_EFFECT);
    OnceResult recovered = call(1, "b", "body").join();
    assertThat(recovered).isEqualTo(new OnceResult.Ran(200, "add 1"));
    plain.setFault(ADDRESS, FakePlainService.Fault.LOST_BEFORE_EFFECT);
    assertThat(call(2, "c", "body").join().outcome()).isEqualTo(Outcome.UNKNOWN);
    plain.setFault(ADDRESS, FakePlainService.Fault.NONE);
    assertThat(call(1, "c", "body").join().outcome()).isIn(Outcome.RUNNING, Outcome.UNKNOWN);
    assertThat(plain.getEffects("w/c")).isZero();
    assertThat(call(1, "line\nbreak", "body").join().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /** Guards against callers that wait forever when the node stops during their call. */
  @Test
  void everyCallerGetsAResultWhenTheNodeStops() {
    plain.setFault(ADDRESS, FakePlainService.Fault.SILENT);
    List<CompletableFuture<OnceResult>> results = new ArrayList<>();
    for (int call = 0; call < 50; call++) {
      results.add(call(0, "key" + call, "body"));
    }
    nodes.get(0).stop(100);
    results.forEach(result -> assertThat(result.join().outcome()).isEqualTo(Outcome.UNKNOWN));
    assertThat(call(0, "late", "body").join().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  /**
   * Guards against idempotent calls that fail because one target fails, or retry beyond their
   * budget.
   */
  @Test
  void anIdempotentCallGoesToOtherTargetsWithinItsBudget() {
    plain.setFault("dead", FakePlainService.Fault.NOT_SENT);
    plain.setFault("lossy", FakePlainService.Fault.LOST_AFTER_EFFECT);
    for (int seed = 0; seed < 20; seed++) {
      IdempotentCall idempotent =
          new IdempotentCall(
              plain, name -> List.of("dead", "good", "lossy"), System::nanoTime, new Random(seed));
      assertThat(idempotent.call("book", "read", "", deadline(), () -> true).join())
          .isInstanceOf(ServiceResult.Answered.class);
    }
    IdempotentCall failing =
        new IdempotentCall(
            plain, name -> List.of("dead", "lossy"), System::nanoTime, new Random(1));
    List<Integer> retries = new ArrayList<>();
    assertThat(failing.call("book", "read", "", deadline(), () -> !retries.add(1)).join())
        .isNotInstanceOf(ServiceResult.Answered.class);
    assertThat(retries).hasSize(1);
  }

  private CompletableFuture<OnceResult> call(int node, String key, String body) {
    return nodes.get(node).call("w", "book", "add", key, body, deadline());
  }

  private static long deadline() {
    return System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
  }
}
