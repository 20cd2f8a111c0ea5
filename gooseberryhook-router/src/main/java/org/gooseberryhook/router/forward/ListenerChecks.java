package org.gooseberryhook.router.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds out which addresses refuse connections. A refusal does not prove that the target has ended:
 * it may be behind a cut that resets connections, or accept no more of them. Requests that lose
 * their target at the same moment share one connection to it. All methods must be called on the
 * event loop.
 */
final class ListenerChecks {

  private final EventLoop loop;

  /** Receivers of the results of the checks in progress, by address. */
  private final Map<String, List<Consumer<Boolean>>> waiting = new HashMap<>();

  ListenerChecks(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Connects to each address, unless that is in progress already, and closes the connection at
   * once.
   *
   * @param addresses IP addresses and ports
   * @param onResult receives the addresses that refused the connection, on the event loop, after at
   *     most {@link TargetChannelPool#CONNECT_TIMEOUT_MS}
   */
  void findClosed(Collection<String> addresses, Consumer<Set<String>> onResult) {
    Set<String> pending = new HashSet<>(addresses);
    Set<String> closed = new HashSet<>();
    if (pending.isEmpty()) {
      onResult.accept(Set.of());
      return;
    }
    for (String address : Set.copyOf(pending)) {
      check(
          address,
          isClosed -> {
            if (isClosed) {
              closed.add(address);
            }
            pending.remove(address);
            if (pending.isEmpty()) {
              onResult.accept(Set.copyOf(closed));
            }
          });
    }
  }

  private void check(String address, Consumer<Boolean> onResult) {
    List<Consumer<Boolean>> receivers = waiting.get(address);
    if (receivers != null) {
      receivers.add(onResult);
      return;
    }
    waiting.put(address, new ArrayList<>(List.of(onResult)));
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TargetChannelPool.CONNECT_TIMEOUT_MS)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(TargetChannelPool.socketAddress(address));
    connecting.addListener(
        done -> {
          connecting.channel().close();
          boolean isClosed =
              done.cause() instanceof ConnectException
                  && !(done.cause() instanceof ConnectTimeoutException);
          waiting.remove(address).forEach(receiver -> receiver.accept(isClosed));
        });
  }
}
