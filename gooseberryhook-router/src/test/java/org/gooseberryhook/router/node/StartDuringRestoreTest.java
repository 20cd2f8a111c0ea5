package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerReportCodec;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/**
 * Tests a node that starts while the store shows a configuration of a copy. Guards against requests
 * that are handled as only an older configuration allows, for instance with a revoked key.
 */
class StartDuringRestoreTest extends RouterNodeHarness {

  private long sequence;

  private void reportOfOtherNode(long configurationVersion) throws Exception {
    PeerReport report =
        new PeerReport(
            "other",
            1,
            ++sequence,
            "127.0.0.1:1",
            "127.0.0.1:1",
            true,
            0,
            false,
            Map.of(),
            false,
            List.of(),
            Map.of(),
            CrashFindings.NONE,
            1_000,
            Map.of(),
            "a",
            false,
            configurationVersion,
            Map.of(),
            Map.of(),
            Map.of());
    byte[] bytes = PeerReportCodec.encode(report);
    int port = Integer.parseInt(reportAddress.substring(reportAddress.lastIndexOf(':') + 1));
    try (DatagramSocket socket = new DatagramSocket()) {
      socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), port));
    }
  }

  private boolean isReady() throws Exception {
    return node.loop().submit(node::isReady).get();
  }

  private void awaitReady(boolean isExpected) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
    while (isReady() != isExpected) {
      assertThat(System.nanoTime()).as("ready is not %s", isExpected).isLessThan(endNanos);
      Thread.sleep(10);
    }
  }

  @Test
  void aNodeIsNotReadyBeforeItHasTheConfigurationThatOthersApply() throws Exception {
    addTarget("model", LayerRange.of(0, 80), (request, out) -> {});
    startNode();
    awaitReady(true);
    reportOfOtherNode(5);
    awaitReady(false);
    reportOfOtherNode(1);
    awaitReady(true);
    // Later differences are those of the usual spread of a change.
    reportOfOtherNode(6);
    Thread.sleep(200);
    assertThat(isReady()).isTrue();
  }
}
