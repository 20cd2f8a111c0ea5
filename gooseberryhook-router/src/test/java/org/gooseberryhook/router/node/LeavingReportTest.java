package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerReportCodec;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests what nodes tell each other about targets that said in an answer that they leave. Guards
 * against nodes that go on sending to such a target until it has told each of them.
 */
class LeavingReportTest extends RouterNodeHarness {

  private static final int MAX_REPORTS = 200;

  private DatagramSocket peer;
  private long sequence;

  @BeforeEach
  void openPeer() throws IOException {
    peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    peer.setSoTimeout(10_000);
  }

  @AfterEach
  void closePeer() {
    peer.close();
  }

  private void report(Map<String, Long> announcedLeaving) throws Exception {
    PeerReport report =
        new PeerReport(
            "peer",
            1,
            ++sequence,
            "127.0.0.1:1",
            "127.0.0.1:" + peer.getLocalPort(),
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
            Map.of("plain", 2),
            Map.of(),
            announcedLeaving);
    byte[] bytes = PeerReportCodec.encode(report);
    peer.send(
        new DatagramPacket(bytes, bytes.length, PeerReportSocket.toSocketAddress(reportAddress)));
    awaitGauge("gooseberryhook_live_peers 1.0");
  }

  /** Returns the first announcements that the node reports, or none if it reports none. */
  private Map<String, Long> awaitAnnounced() throws IOException {
    Map<String, Long> announced = Map.of();
    for (int i = 0; i < MAX_REPORTS && announced.isEmpty(); i++) {
      DatagramPacket packet = new DatagramPacket(new byte[65_536], 65_536);
      peer.receive(packet);
      byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
      announced = PeerReportCodec.decode(bytes).announcedLeaving();
    }
    return announced;
  }

  private void addTargets(String extraOfFirst) throws IOException {
    for (String extra : List.of(extraOfFirst, "")) {
      addTarget(
          "plain",
          null,
          (request, out) ->
              TargetStandin.writeResponse(out, request, 200, "signed: s\r\n" + extra, "ok"));
    }
  }

  private long requestsOfFirst() {
    return targets.get(0).requests().stream().filter(r -> r.contains("/x")).count();
  }

  @Test
  void aTargetThatToldAnotherNodeThatItLeavesGetsNoRequest() throws Exception {
    addTargets("");
    startNode();
    String leaving = idOf(targets.get(0));
    report(Map.of(leaving, 1L));
    assertThat(awaitAnnounced()).isEqualTo(Map.of(leaving, 1L));
    for (int i = 0; i < 20; i++) {
      assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200");
    }
    assertThat(requestsOfFirst()).isZero();
  }

  /** Guards against a target that is left out because its life before left. */
  @Test
  void anotherLifeOfATargetThatLeftGetsRequests() throws Exception {
    addTargets("");
    startNode();
    String leaving = idOf(targets.get(1));
    report(Map.of(idOf(targets.get(0)), 9L, leaving, 1L));
    assertThat(awaitAnnounced()).isEqualTo(Map.of(leaving, 1L));
    assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200");
    assertThat(requestsOfFirst()).isEqualTo(1);
  }

  @Test
  void aNodeReportsATargetThatToldItThatItLeaves() throws Exception {
    addTargets("leaving: 1\r\n");
    startNode();
    report(Map.of());
    while (requestsOfFirst() == 0) {
      exchange(get("/read/x"));
    }
    assertThat(awaitAnnounced()).isEqualTo(Map.of(idOf(targets.get(0)), 1L));
  }
}
