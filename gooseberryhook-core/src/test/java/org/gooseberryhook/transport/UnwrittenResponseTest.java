package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against connections that stay open although their client gets no response. */
class UnwrittenResponseTest {

  private boolean isFull;

  /** A connection whose socket takes no bytes while it is full. */
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new HttpServerCodec(), new RequestBounds(100)) {
        @Override
        protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
          if (!isFull) {
            super.doWrite(buffer);
          }
        }
      };

  private void send(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  @Test
  void aConnectionOnWhichAWriteFailsIsClosed() {
    send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    // Content without a head, which the codec rejects.
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(new byte[1])));
    channel.runPendingTasks();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  void aConnectionThatIsClosingAndWhoseClientReadsNothingIsClosed() {
    isFull = true;
    send("no HTTP\r\n\r\n");
    channel.advanceTimeBy(50, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(channel.isOpen()).isTrue();
    channel.advanceTimeBy(11, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    assertThat(channel.isOpen()).isFalse();
  }
}
