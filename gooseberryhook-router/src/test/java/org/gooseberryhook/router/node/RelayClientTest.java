package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhook.router.relay.FollowerMessage;
import org.gooseberryhook.router.relay.ListPosition;
import org.gooseberryhook.router.relay.ListUpdate;
import org.gooseberryhook.router.relay.RelayCodec;
import org.gooseberryhook.router.relay.RelayFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the connection to the followed node against a source that the test controls. */
class RelayClientTest {

  private static final int TIMEOUT_MS = 5_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<RelayFrame> frames = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> lostSources = new LinkedBlockingQueue<>();
  private final AtomicLong revision = new AtomicLong();
  private final RelayClient client =
      new RelayClient(
          (EventLoop) group.next(),
          () -> new FollowerMessage(Map.of("list", position(revision.get())), Map.of()),
          frames::add,
          lostSources::add,
          (kind, attempt, fields) -> {});
  private ServerSocket source;

  @BeforeEach
  void start() throws Exception {
    source = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    source.setSoTimeout(TIMEOUT_MS);
  }

  @AfterEach
  void stop() throws Exception {
    group.next().submit(client::disconnect).get();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    source.close();
  }

  private static ListPosition position(long revision) {
    return new ListPosition(1, revision);
  }

  private static FollowerMessage readMessage(Socket connection) throws IOException {
    connection.setSoTimeout(TIMEOUT_MS);
    DataInputStream in = new DataInputStream(connection.getInputStream());
    return RelayCodec.decodeMessage(in.readNBytes(in.readInt()));
  }

  private static void sendFrame(Socket connection, long revision) throws IOException {
    ListUpdate update = new ListUpdate("list", Optional.of(position(revision)), 0, List.of());
    byte[] bytes =
        RelayCodec.encodeFrame(
            new RelayFrame(List.of("source"), true, 0, List.of(update), Map.of()));
    DataOutputStream out = new DataOutputStream(connection.getOutputStream());
    out.writeInt(bytes.length);
    out.write(bytes);
    out.flush();
  }

  /**
   * Guards against a follower that misses changes for good: it has read the whole list of an older
   * revision, and gets a frame with only the changes after a newer one, which the source had sent
   * before it knew.
   */
  @Test
  void aFrameSentBeforeTheSourceKnowsTheNewPositionsIsNotUsed() throws Exception {
    revision.set(7);
    String address = "127.0.0.1:" + source.getLocalPort();
    group.next().submit(() -> client.follow("source", address)).get();
    try (Socket first = source.accept()) {
      assertThat(readMessage(first).positions()).containsEntry("list", position(7));
      sendFrame(first, 8);
      assertThat(frames.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
      revision.set(5);
      CountDownLatch isLoopBusy = new CountDownLatch(1);
      CountDownLatch isSent = new CountDownLatch(1);
      Future<?> resubscribing =
          group
              .next()
              .submit(
                  () -> {
                    isLoopBusy.countDown();
                    isSent.await();
                    client.resubscribe();
                    return null;
                  });
      isLoopBusy.await();
      sendFrame(first, 9);
      isSent.countDown();
      resubscribing.get();
      assertThat(frames.poll(300, TimeUnit.MILLISECONDS)).isNull();
      try (Socket second = source.accept()) {
        assertThat(readMessage(second).positions()).containsEntry("list", position(5));
        sendFrame(second, 10);
        assertThat(frames.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isNotNull();
      }
    }
    assertThat(lostSources.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("source");
    assertThat(lostSources).isEmpty();
  }

  /** Guards against a node that follows no other one because a peer reports an odd address. */
  @ParameterizedTest
  @ValueSource(strings = {"", "10.0.0.1", "10.0.0.1:x", "10.0.0.1:65536"})
  void aSourceWithAnInvalidAddressIsLostAndAnotherOneFollowed(String invalid) throws Exception {
    group.next().submit(() -> client.follow("odd", invalid)).get();
    assertThat(lostSources.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("odd");
    String address = "127.0.0.1:" + source.getLocalPort();
    group.next().submit(() -> client.follow("source", address)).get();
    try (Socket connection = source.accept()) {
      assertThat(readMessage(connection).positions()).containsKey("list");
    }
  }
}
