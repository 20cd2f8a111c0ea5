package org.gooseberryhook.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.transport.HttpClients;
import org.gooseberryhook.transport.HttpTableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a table client that reports the wrong outcome of a write when calls fail. */
class HttpTableServiceTest {

  // Long enough for the first call in a cold JVM on a busy machine.
  private static final Duration TIMEOUT = Duration.ofMillis(1500);
  private static final long DELAY_BEYOND_TIMEOUT_MS = 60_000;
  private static final int MAX_IN_FLIGHT = 4;

  private final TableStandin standin = new TableStandin(0);
  private final HttpTableService table =
      new HttpTableService(
          new HttpClients(), standin.getServer().getBaseUrl(), TIMEOUT, MAX_IN_FLIGHT);

  @BeforeEach
  void start() {
    standin.getServer().start();
  }

  @AfterEach
  void stop() {
    standin.getServer().stop();
  }

  /** Guards against partly applied transactions and against keys that are encoded wrongly. */
  @Test
  void transactionsAreAtomicAndVersionsAreNeverReused() {
    String oddKey = "once/a b/ä?&=%2F/+";
    assertThat(
            transact(TableOperation.ofPut("a", 0, "1"), TableOperation.ofPut(oddKey, 0, "\"é\"")))
        .isEqualTo(new TableResult.Committed(List.of(1L, 2L)));
    assertThat(await(table.get(oddKey)))
        .isEqualTo(new TableResult.Read(List.of(new TableRecord(oddKey, 2, "\"é\""))));
    assertThat(transact(TableOperation.ofPut("b", 0, "1"), TableOperation.ofDelete("a", 7)))
        .isEqualTo(new TableResult.Conflict(List.of(new TableRecord("a", 1, "1"))));
    assertThat(await(table.get("b"))).isEqualTo(new TableResult.Read(List.of()));
    assertThat(transact(TableOperation.ofDelete("a", 1)))
        .isEqualTo(new TableResult.Committed(List.of(0L)));
    assertThat(transact(TableOperation.ofPut("a", 0, "2")))
        .isEqualTo(new TableResult.Committed(List.of(3L)));
    assertThat(await(table.scan("", "a", 10)))
        .isEqualTo(new TableResult.Read(List.of(new TableRecord(oddKey, 2, "\"é\""))));
  }

  /**
   * Guards against retries of a write that may have been applied: the connection closes without a
   * response, once after the write and once before it.
   */
  @Test
  void aLostResponseIsUnknownAndTheRequestIsNotSentAgain() {
    standin.getServer().getFaults().set(Fault.ofCount(Fault.Kind.LOSE_ANSWER, 0, 1));
    assertThat(put("a", 0)).isInstanceOf(TableResult.Unknown.class);
    assertThat(standin.getTransactionCount()).isEqualTo(1);
    standin.getServer().getFaults().set(Fault.ofCount(Fault.Kind.CLOSE, 0, 1));
    assertThat(put("b", 0)).isInstanceOf(TableResult.Unknown.class);
    assertThat(standin.getTransactionCount()).isEqualTo(1);
  }

  /** Guards against reporting a write as not applied that the service applies only later. */
  @Test
  void aWriteAppliedAfterTheConnectionClosedIsUnknown() {
    standin.getServer().getFaults().set(Fault.ofCount(Fault.Kind.LATE_EFFECT, 300, 1));
    assertThat(put("a", 0)).isInstanceOf(TableResult.Unknown.class);
    while (standin.getTransactionCount() == 0) {
      Thread.onSpinWait();
    }
    assertThat(put("a", 0)).isInstanceOf(TableResult.Conflict.class);
  }

  /** Guards against calls that wait without a limit for a slow service. */
  @Test
  void slowCallsAreUnknownAfterTheTimeout() {
    for (Fault.Kind kind : List.of(Fault.Kind.SLOW, Fault.Kind.LATE_ANSWER)) {
      standin.getServer().getFaults().set(Fault.ofCount(kind, DELAY_BEYOND_TIMEOUT_MS, 1));
      assertThat(put("a", 0)).isInstanceOf(TableResult.Unknown.class);
    }
    assertThat(standin.getTransactionCount()).isEqualTo(1);
  }

  /**
   * Guards against reporting a refused call as unknown: the service is unavailable, its rate limit
   * is reached, or its port is closed.
   */
  @Test
  void refusedCallsAreNotApplied() throws IOException {
    standin.getServer().getFaults().set(Fault.ofCount(Fault.Kind.REFUSE, 0, 1));
    assertThat(put("a", 0)).isInstanceOf(TableResult.NotApplied.class);
    standin.setLimits(1e-6, 1e-6);
    assertThat(put("a", 0)).isInstanceOf(TableResult.Committed.class);
    assertThat(put("a", 1)).isInstanceOf(TableResult.NotApplied.class);
    assertThat(standin.getTransactionCount()).isEqualTo(1);
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }
    HttpTableService unreachable =
        HttpTableService.of(new HttpClients(), "http://127.0.0.1:" + closedPort);
    assertThat(await(unreachable.transact(List.of(TableOperation.ofPut("a", 0, "1")))))
        .isInstanceOf(TableResult.NotApplied.class);
  }

  /**
   * Guards against a slow service that lets calls pile up, and against a limit that stays used up.
   */
  @Test
  void callsAboveTheInFlightLimitAreNotSent() {
    standin.getServer().getFaults().set(Fault.of(Fault.Kind.SLOW, DELAY_BEYOND_TIMEOUT_MS));
    List<CompletableFuture<TableResult>> calls = new ArrayList<>();
    for (int i = 0; i < MAX_IN_FLIGHT; i++) {
      calls.add(table.get("a"));
    }
    assertThat(await(table.get("a"))).isInstanceOf(TableResult.NotApplied.class);
    calls.forEach(call -> assertThat(await(call)).isInstanceOf(TableResult.Unknown.class));
    standin.getServer().getFaults().clear();
    assertThat(await(table.get("a"))).isEqualTo(new TableResult.Read(List.of()));
  }

  private TableResult put(String key, long expectedVersion) {
    return transact(TableOperation.ofPut(key, expectedVersion, "1"));
  }

  private TableResult transact(TableOperation... operations) {
    return await(table.transact(List.of(operations)));
  }

  private static TableResult await(CompletableFuture<TableResult> future) {
    return future.orTimeout(10, TimeUnit.SECONDS).join();
  }
}
