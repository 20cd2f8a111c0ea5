package org.gooseberryhook.router.forward;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that can tell whether it has received anything that its event loop has not read. */
final class TargetSocketChannel extends NioSocketChannel {

  /**
   * Returns whether bytes, the end of the connection or a reset were received and not read. Bytes
   * may be lost by the check, so that the connection must be closed if this returns true.
   */
  boolean hasUnreadInput() {
    try {
      return javaChannel().read(ByteBuffer.allocate(1)) != 0;
    } catch (IOException e) {
      return true;
    }
  }
}
