package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerReportCodec;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the exchange of reports over real sockets. */
class PeerReportSocketTest {

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<PeerReport> received = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private static String freeAddress() throws SocketException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  /**
   * Guards against reports that are truncated at the size of the default receive buffer, and that
   * reach no node because the address of one cannot be used.
   */
  @Test
  void aReportOfAThousandTargetsArrivesWhole() throws Exception {
    Map<String, InFlightLoad> loads = new HashMap<>();
    for (int i = 0; i < 1_000; i++) {
      loads.put("i-0123456789abcdef-" + i, new InFlightLoad(i, 60_000L * i));
    }
    String address = freeAddress();
    EventLoop loop = (EventLoop) group.next();
    PeerReportSocket receiver =
        new PeerReportSocket(loop, address, received::add, (kind, attempt, fields) -> {});
    PeerReportSocket sender =
        new PeerReportSocket(loop, freeAddress(), r -> {}, (kind, attempt, fields) -> {});
    receiver.start();
    sender.start();
    PeerReport report = report("n", address, loads);
    loop.submit(() -> sender.send(report, new LinkedHashSet<>(List.of("x", "a:b", address)))).get();
    PeerReport arrived = received.poll(5, TimeUnit.SECONDS);
    assertThat(report.equals(arrived)).isTrue();
    sender.stop();
    receiver.stop();
  }

  private static PeerReport report(String node, String address, Map<String, InFlightLoad> loads) {
    return report(node, 1, address, loads);
  }

  private static PeerReport report(
      String node, long incarnation, String address, Map<String, InFlightLoad> loads) {
    return new PeerReport(
        node,
        incarnation,
        2,
        "c",
        address,
        true,
        0,
        false,
        loads,
        false,
        List.of(),
        Map.of(),
        CrashFindings.NONE,
        100,
        Map.of(),
        "a",
        true,
        3,
        Map.of(),
        Map.of(),
        Map.of("127.0.0.1:1", 5L));
  }

  /**
   * Guards against nodes of an earlier version that hear nothing of the others until they are
   * replaced, and against an earlier format that is kept after the replacement.
   */
  @Test
  void aNodeGetsReportsInTheFormatOfItsOwn() throws Exception {
    try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      peer.setSoTimeout(10_000);
      String peerAddress = "127.0.0.1:" + peer.getLocalPort();
      String address = freeAddress();
      PeerReportSocket socket =
          new PeerReportSocket(
              (EventLoop) group.next(), address, received::add, (kind, attempt, fields) -> {});
      socket.start();
      long incarnation = 0;
      for (int format : new int[] {6, PeerReportCodec.FORMAT_VERSION, 5}) {
        // A node changes its version with a restart only.
        PeerReport fromPeer = report("peer", ++incarnation, peerAddress, Map.of());
        byte[] bytes = PeerReportCodec.encode(fromPeer, format);
        peer.send(
            new DatagramPacket(bytes, bytes.length, PeerReportSocket.toSocketAddress(address)));
        assertThat(received.poll(10, TimeUnit.SECONDS)).isNotNull();
        group
            .next()
            .submit(
                () -> socket.send(report("n", address, Map.of()), Set.of(fromPeer.reportAddress())))
            .get();
        DatagramPacket answer = new DatagramPacket(new byte[1_000], 1_000);
        peer.receive(answer);
        byte[] answered = Arrays.copyOf(answer.getData(), answer.getLength());
        assertThat(PeerReportCodec.readFormat(answered)).isEqualTo(format);
      }
      socket.stop();
    }
  }

  /**
   * Guards against two nodes of the present version that keep to an earlier format for good, which
   * lacks a part of the report: one was started beside earlier versions, and the other one heard
   * that format first after its restart.
   */
  @Test
  void twoNodesThatHeardAnEarlierFormatFirstChangeToThePresentOne() throws Exception {
    EventLoop loop = (EventLoop) group.next();
    List<String> addresses = List.of(freeAddress(), freeAddress());
    BlockingQueue<PeerReport> receivedByOther = new LinkedBlockingQueue<>();
    List<PeerReportSocket> sockets =
        List.of(
            new PeerReportSocket(loop, addresses.get(0), received::add, (k, a, fields) -> {}),
            new PeerReportSocket(
                loop, addresses.get(1), receivedByOther::add, (k, a, fields) -> {}));
    List<PeerReport> reports =
        List.of(
            report("n0", 1, addresses.get(0), Map.of()),
            report("n1", 1, addresses.get(1), Map.of()));
    for (PeerReportSocket socket : sockets) {
      socket.start();
    }
    try (DatagramSocket earlier = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 2; i++) {
        byte[] bytes = PeerReportCodec.encode(reports.get(1 - i), 6);
        earlier.send(
            new DatagramPacket(
                bytes, bytes.length, PeerReportSocket.toSocketAddress(addresses.get(i))));
      }
    }
    assertThat(received.poll(10, TimeUnit.SECONDS)).isNotNull();
    assertThat(receivedByOther.poll(10, TimeUnit.SECONDS)).isNotNull();

    PeerReport arrived = null;
    PeerReport arrivedAtOther = null;
    for (int i = 0; i < 2 * PeerReportSocket.REPORTS_PER_PROBE; i++) {
      loop.submit(() -> sockets.get(0).send(reports.get(0), Set.of(addresses.get(1)))).get();
      arrivedAtOther = receivedByOther.poll(10, TimeUnit.SECONDS);
      loop.submit(() -> sockets.get(1).send(reports.get(1), Set.of(addresses.get(0)))).get();
      arrived = received.poll(10, TimeUnit.SECONDS);
    }
    // Only the present format has what these reports say of targets that leave.
    assertThat(arrivedAtOther).isEqualTo(reports.get(0));
    assertThat(arrived).isEqualTo(reports.get(1));
    sockets.forEach(PeerReportSocket::stop);
  }
}
