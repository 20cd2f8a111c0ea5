package org.gooseberryhook.router.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerReportCodec;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.WorkMeter;

/**
 * Sends and receives the reports of nodes as UDP datagrams. A report replaces the one before it, so
 * a lost one is not sent again; a stream would deliver stale reports after a loss.
 */
final class PeerReportSocket {

  /** Largest datagram. Netty's default receive buffer would truncate a report to 2,048 bytes. */
  private static final int MAX_DATAGRAM_BYTES = 65_535;

  private final EventLoop loop;
  private final String address;
  private final Consumer<PeerReport> onReport;
  private final DecisionLog log;

  /**
   * One in so many reports to a node that uses an earlier format is also sent in the present one.
   * Two nodes of the present version that first hear each other in an earlier format, as one does
   * that was started beside earlier versions, would otherwise keep to it for good.
   */
  static final int REPORTS_PER_PROBE = 8;

  /** Formats of the nodes that use an earlier one, by the address to which reports are sent. */
  private final Map<String, Integer> earlierFormats = new HashMap<>();

  /** Incarnations of the nodes that have used the present format, by the same address. */
  private final Map<String, Long> presentIncarnations = new HashMap<>();

  private int sentCount;

  private final WorkMeter meter;
  private Channel channel;

  PeerReportSocket(EventLoop loop, String address, Consumer<PeerReport> onReport, DecisionLog log) {
    this(loop, address, onReport, new WorkMeter(), log);
  }

  PeerReportSocket(
      EventLoop loop,
      String address,
      Consumer<PeerReport> onReport,
      WorkMeter meter,
      DecisionLog log) {
    this.meter = meter;
    this.loop = loop;
    this.address = address;
    this.onReport = onReport;
    this.log = log;
  }

  void start() throws InterruptedException {
    channel =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new ReportHandler())
            .bind(toSocketAddress(address))
            .sync()
            .channel();
  }

  void stop() {
    if (channel != null) {
      channel.close();
    }
  }

  void send(PeerReport report, Set<String> addresses) {
    Map<Integer, ByteBuf> encoded = new HashMap<>();
    sentCount++;
    for (String peer : addresses) {
      try {
        InetSocketAddress receiver = toSocketAddress(peer);
        int used = earlierFormats.getOrDefault(peer, PeerReportCodec.FORMAT_VERSION);
        boolean isProbed = sentCount % REPORTS_PER_PROBE == 0;
        for (int format :
            isProbed
                ? new TreeSet<>(List.of(used, PeerReportCodec.FORMAT_VERSION))
                : Set.of(used)) {
          ByteBuf bytes =
              encoded.computeIfAbsent(
                  format, f -> Unpooled.wrappedBuffer(PeerReportCodec.encode(report, f)));
          channel.write(new DatagramPacket(bytes.retainedDuplicate(), receiver));
        }
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        log.recordEvent("peer-address-invalid", "", "address", peer, "error", e.getMessage());
      }
    }
    encoded.values().forEach(ByteBuf::release);
    channel.flush();
  }

  static InetSocketAddress toSocketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Remembers which format a node reads: the present one, if it ever used that in its life. */
  private void rememberFormat(PeerReport report, int format) {
    String peer = report.reportAddress();
    if (format == PeerReportCodec.FORMAT_VERSION) {
      earlierFormats.remove(peer);
      if (presentIncarnations.size() < PeerTable.MAX_NODES) {
        presentIncarnations.put(peer, report.incarnation());
      }
    } else if (presentIncarnations.getOrDefault(peer, -1L) != report.incarnation()
        && earlierFormats.size() < PeerTable.MAX_NODES
        && !Integer.valueOf(format).equals(earlierFormats.put(peer, format))) {
      log.recordEvent("peer-format", "", "peer", report.node(), "format", format);
    }
  }

  private final class ReportHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      meter.add("report-bytes-received", packet.content().readableBytes(), 0);
      meter.run("reports-received", () -> receive(packet));
    }

    private void receive(DatagramPacket packet) {
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      try {
        PeerReport report = PeerReportCodec.decode(bytes);
        rememberFormat(report, PeerReportCodec.readFormat(bytes));
        onReport.accept(report);
      } catch (IOException e) {
        log.recordEvent(
            "peer-report-invalid", "", "from", packet.sender(), "error", e.getMessage());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.recordEvent("peer-link", "", "error", String.valueOf(cause.getMessage()));
    }
  }
}
