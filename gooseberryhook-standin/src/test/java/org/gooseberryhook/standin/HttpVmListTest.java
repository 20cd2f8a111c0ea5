package org.gooseberryhook.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmListResult;
import org.gooseberryhook.protocol.VmTarget;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;
import org.gooseberryhook.transport.HttpClients;
import org.gooseberryhook.transport.HttpVmList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong view of the VMs caused by lag, outages or invalid entries of the VM list.
 */
class HttpVmListTest {

  private static final VmTarget ENGINE =
      new VmTarget("t1", "engine", "http://127.0.0.1:1", "m", "v1", 0, 8, "gpu", true);
  private static final VmTarget BAD_ENGINE =
      new VmTarget("t2", "engine", "http://127.0.0.1:2", "m", "v1", 8, 8, "gpu", true);

  private final AtomicLong nowNanos = new AtomicLong();
  private final VmListStandin standin = new VmListStandin(0, nowNanos::get);
  private final HttpVmList client =
      HttpVmList.of(new HttpClients(), standin.getServer().getBaseUrl());

  @BeforeEach
  void start() {
    standin.getServer().start();
  }

  @AfterEach
  void stop() {
    standin.getServer().stop();
  }

  /** Guards against a stand-in that shows changes before or after the set lag. */
  @Test
  void changesBecomeVisibleAfterTheLag() {
    VmEntry live = new VmEntry("vm1", "a", "khomas", "live", List.of(ENGINE));
    VmEntry leaving = new VmEntry("vm1", "a", "khomas", "leaving", List.of(ENGINE));
    standin.put(live);
    standin.setLag(2000);
    assertThat(list()).isEqualTo(new VmListResult.Listed(List.of(live)));
    standin.put(leaving);
    nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1999));
    assertThat(list()).isEqualTo(new VmListResult.Listed(List.of(live)));
    standin.delete("vm1");
    nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
    assertThat(list()).isEqualTo(new VmListResult.Listed(List.of(leaving)));
    nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(1999));
    assertThat(list()).isEqualTo(new VmListResult.Listed(List.of()));
  }

  /** Guards against one target with an empty layer range that hides the VM's other targets. */
  @Test
  void anInvalidTargetIsSkippedAndTheOthersAreMapped() {
    standin.put(new VmEntry("vm1", "a", "khomas", "leaving", List.of(BAD_ENGINE, ENGINE)));
    VmListResult.Listed listed = (VmListResult.Listed) list();
    LayerRange layers = LayerRange.of(0, 8);
    assertThat(listed.vms().get(0).toTargets())
        .containsExactly(
            new Target(
                "t1",
                "vm1",
                "a",
                "khomas",
                TargetKind.ENGINE,
                "http://127.0.0.1:1",
                "m",
                "v1",
                layers,
                "gpu",
                true,
                true));
  }

  /** Guards against an outage that looks as if all VMs had been removed. */
  @Test
  void anOutageIsReportedAsUnavailableAndNotAsAnEmptyList() {
    for (Fault.Kind kind : List.of(Fault.Kind.CLOSE, Fault.Kind.REFUSE)) {
      standin.getServer().getFaults().set(Fault.ofCount(kind, 0, 1));
      assertThat(list()).isInstanceOf(VmListResult.Unavailable.class);
    }
    assertThat(list()).isEqualTo(new VmListResult.Listed(List.of()));
  }

  private VmListResult list() {
    return client.list().orTimeout(10, TimeUnit.SECONDS).join();
  }
}
