package org.gooseberryhook.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.ObjectResult;
import org.gooseberryhook.protocol.ObjectStore;
import org.gooseberryhook.protocol.WeightArtifact;
import org.gooseberryhook.protocol.WeightListResult;
import org.gooseberryhook.transport.HttpClients;
import org.gooseberryhook.transport.HttpObjectStore;
import org.gooseberryhook.transport.HttpWeightStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against stand-ins that corrupt objects, hide failures, lose data on a restart or start on
 * a port in use.
 */
class StandinPlatformTest {

  private final StandinPlatform platform = StandinPlatform.ofFreePorts().start();
  private final HttpClients clients = new HttpClients();
  private final ObjectStore objects =
      HttpObjectStore.of(clients, platform.getBaseUrl(StandinPlatform.Part.OBJECTS));

  @AfterEach
  void stop() {
    platform.stop();
  }

  @Test
  void objectsOfEveryAllowedLengthAreReadBackUnchanged() {
    for (int bodyBytes : new int[] {0, 1, 20_000, ObjectStore.MAX_OBJECT_BYTES}) {
      byte[] body = new byte[bodyBytes];
      new Random(bodyBytes).nextBytes(body);
      String name = "snapshots/ü " + bodyBytes;
      assertThat(await(objects.put(name, body))).isEqualTo(new ObjectResult.Stored());
      assertThat(((ObjectResult.Found) await(objects.get(name))).bytes()).isEqualTo(body);
    }
    assertThat(await(objects.put("big", new byte[ObjectStore.MAX_OBJECT_BYTES + 1])))
        .isInstanceOf(ObjectResult.NotApplied.class);
    assertThat(await(objects.get("big"))).isEqualTo(new ObjectResult.Absent());
    assertThat(await(objects.list("snapshots/", "snapshots/ü 1", 10)))
        .isEqualTo(new ObjectResult.Names(List.of("snapshots/ü 20000", "snapshots/ü 8388608")));
  }

  @Test
  void aLostResponseIsUnknownAndARefusalIsNotApplied() {
    FaultList faults = platform.getServer(StandinPlatform.Part.OBJECTS).getFaults();
    faults.set(
        List.of(
            Fault.ofCount(Fault.Kind.LOSE_ANSWER, 0, 1), Fault.ofCount(Fault.Kind.REFUSE, 0, 2)));
    assertThat(await(objects.put("a", new byte[1]))).isInstanceOf(ObjectResult.Unknown.class);
    assertThat(await(objects.put("b", new byte[1]))).isInstanceOf(ObjectResult.NotApplied.class);
    assertThat(await(objects.get("a"))).isInstanceOf(ObjectResult.NotApplied.class);
    assertThat(await(objects.list("", "", 10))).isEqualTo(new ObjectResult.Names(List.of("a")));
  }

  @Test
  void weightsAreListedWithSizesAndAnOutageIsReportedAsUnavailable() {
    HttpWeightStore weights =
        HttpWeightStore.of(clients, platform.getBaseUrl(StandinPlatform.Part.WEIGHTS));
    WeightArtifact artifact = new WeightArtifact("m-v1", "m", "v1", 40_000_000_000L);
    platform.getWeights().put(artifact);
    assertThat(await(weights.list())).isEqualTo(new WeightListResult.Listed(List.of(artifact)));
    platform.getServer(StandinPlatform.Part.WEIGHTS).stop();
    assertThat(await(weights.list())).isInstanceOf(WeightListResult.Unavailable.class);
  }

  /**
   * Guards against a refused reservation that still reduces the available units, and against
   * reservations that do not add up.
   */
  @Test
  void reservationsShareOneRateAndARefusedReservationTakesNothing() {
    RateLimit rate = new RateLimit(1e-3);
    assertThat(rate.reserve(1, 0)).isZero();
    assertThat(rate.reserve(10, 1_000)).isEqualTo(-1);
    assertThat(rate.reserve(10, 10_000_000)).isBetween(9_000_000L, 10_000_000L);
    assertThat(rate.reserve(10, 30_000_000)).isBetween(19_000_000L, 20_000_000L);
  }

  @Test
  void aRestartedStandinKeepsItsData() {
    assertThat(await(objects.put("a", new byte[] {7}))).isEqualTo(new ObjectResult.Stored());
    StandinServer server = platform.getServer(StandinPlatform.Part.OBJECTS);
    server.stop();
    ObjectStore fresh = HttpObjectStore.of(new HttpClients(), server.getBaseUrl());
    assertThat(await(fresh.put("a", new byte[] {8}))).isInstanceOf(ObjectResult.NotApplied.class);
    server.start();
    assertThat(((ObjectResult.Found) await(fresh.get("a"))).bytes()).containsExactly(7);
  }

  @Test
  void startFailsIfThePortIsInUse() {
    int port = platform.getServer(StandinPlatform.Part.TABLE).getPort();
    StandinPlatform second = StandinPlatform.of(Map.of(StandinPlatform.Part.TABLE, port));
    assertThatThrownBy(second::start)
        .isInstanceOf(IllegalStateException.class)
        .hasMessageContaining("choose another port");
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(10, TimeUnit.SECONDS).join();
  }
}
