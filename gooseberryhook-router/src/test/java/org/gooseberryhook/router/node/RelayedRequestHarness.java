package org.gooseberryhook.router.node;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerReportCodec;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.junit.jupiter.api.AfterEach;

/** A node with stand-ins of other nodes that report that they reach all targets. */
abstract class RelayedRequestHarness extends RouterNodeHarness {

  final List<TargetStandin> peers = new ArrayList<>();
  final ScheduledExecutorService reports = Executors.newSingleThreadScheduledExecutor();
  final AtomicLong sequence = new AtomicLong();

  /** Adds another node; its stand-in accepts requests of callers. */
  TargetStandin addPeer(TargetStandin.Script script) throws IOException {
    TargetStandin peer = new TargetStandin(script);
    peers.add(peer);
    return peer;
  }

  void startCutOffNode() throws Exception {
    addPipeline((request, out) -> {});
    addTarget("plain", null, (request, out) -> {});
    startNode();
    cutLinks();
  }

  /** Closes all targets and waits until the node is known to lack links that others have. */
  void cutLinks() throws Exception {
    for (TargetStandin target : targets) {
      deadAddresses.add(target.address());
      target.close();
    }
    reports.scheduleAtFixedRate(this::reportPeers, 0, 50, TimeUnit.MILLISECONDS);
    awaitGauge("gooseberryhook_live_peers " + (double) peers.size());
  }

  void awaitSuspects() throws Exception {
    awaitGauge("gooseberryhook_suspected_targets " + (double) targets.size());
  }

  void reportPeers() {
    for (int i = 0; i < peers.size(); i++) {
      String name = "peer-" + i;
      PeerReport report =
          new PeerReport(
              name,
              1,
              sequence.incrementAndGet(),
              peers.get(i).address(),
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
              1,
              Map.of("model", 2, "plain", 1),
              Map.of(),
              Map.of());
      byte[] bytes = PeerReportCodec.encode(report);
      int port = Integer.parseInt(reportAddress.substring(reportAddress.lastIndexOf(':') + 1));
      try (DatagramSocket socket = new DatagramSocket()) {
        socket.send(
            new DatagramPacket(
                bytes,
                bytes.length,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  @AfterEach
  void stopPeers() throws IOException {
    reports.shutdownNow();
    for (TargetStandin peer : peers) {
      peer.close();
    }
  }
}
