package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.PeerCodec.FrameError;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.TargetMessage.TargetLeaving;
import org.gooseberryhook.state.NodeId;
import org.junit.jupiter.api.Test;

class PeerTransportTest {

  private static final long TIMEOUT_SECONDS = 10;
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();

  /**
   * Guards against messages lost or reordered on an unbroken connection, and against a malformed
   * frame that is accepted or disturbs the connections of other peers.
   */
  @Test
  void messagesArriveInOrderAndMalformedFramesCloseOnlyTheirConnection() throws Exception {
    PeerTransport server =
        new PeerTransport(NodeId.of("127.0.0.1:1", 1), ANY_PORT, (from, m) -> received.add(m));
    PeerTransport client =
        new PeerTransport(NodeId.of("127.0.0.1:2", 7), ANY_PORT, (from, m) -> received.add(m));
    server.start();
    client.start();
    try {
      String address = "127.0.0.1:" + server.getBoundAddress().getPort();
      for (int i = 0; i < 100; i++) {
        client.send(address, new TargetLeaving("t" + i, "planned"));
      }
      for (int i = 0; i < 100; i++) {
        assertThat(next()).isEqualTo(new TargetLeaving("t" + i, "planned"));
      }
      assertThat(server.getCounts().bytesIn()).isEqualTo(client.getCounts().bytesOut());
      sendRaw(server, new byte[] {0x7f, 0, 0, 0, 1});
      sendRaw(server, new byte[] {0, 0, 0, 3, 1, 2, 3});
      sendRaw(server, new byte[] {0, 0, 0, 1, (byte) 0xc0});
      assertThat(server.getCounts().malformed())
          .containsEntry(FrameError.LENGTH, 1L)
          .containsEntry(FrameError.NOT_MESSAGE_PACK, 1L)
          .containsEntry(FrameError.ENVELOPE, 1L);
      client.disconnect(address);
      PeerMessage last = new TargetLeaving("last", "planned");
      client.send(address, last);
      assertThat(next()).isEqualTo(last);
    } finally {
      client.stop();
      server.stop();
    }
  }

  /**
   * Guards against a queue that grows without limit: messages for a peer that refuses connections,
   * or whose address is not valid, must be dropped.
   */
  @Test
  void messagesToAnUnreachablePeerAreDroppedAndCounted() throws Exception {
    PeerTransport client = new PeerTransport(NodeId.of("127.0.0.1:2", 7), ANY_PORT, (f, m) -> {});
    client.start();
    int port = client.getBoundAddress().getPort();
    client.stop();
    PeerTransport other = new PeerTransport(NodeId.of("127.0.0.1:3", 7), ANY_PORT, (f, m) -> {});
    other.start();
    try {
      int count = 2 * PeerConnection.MAX_QUEUED;
      for (int i = 0; i < count; i++) {
        other.send("127.0.0.1:" + port, new TargetLeaving("t" + i, "planned"));
      }
      other.send("no address", new TargetLeaving("t", "planned"));
      for (int i = 0; other.getCounts().dropped() < count + 1 && i < 1_000; i++) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertThat(other.getCounts().dropped()).isEqualTo(count + 1);
    } finally {
      other.stop();
    }
  }

  private Object next() throws InterruptedException {
    return received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Sends bytes and waits until the server has closed the connection. */
  private static void sendRaw(PeerTransport server, byte[] bytes) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      socket.connect(server.getBoundAddress());
      OutputStream out = socket.getOutputStream();
      out.write(ByteBuffer.wrap(bytes).array());
      out.flush();
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }
}
