package org.gooseberryhook.router.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.relay.FollowerMessage;
import org.gooseberryhook.router.relay.ListHistory;
import org.gooseberryhook.router.relay.ListPosition;
import org.gooseberryhook.router.relay.ListUpdate;
import org.gooseberryhook.router.relay.RelayCodec;
import org.gooseberryhook.router.relay.RelayFrame;

/**
 * Sends the lists of this node to the nodes that follow it. A follower that does not read its
 * connection is skipped and later gets all changes since its last frame in one, so nothing queues
 * up for it.
 */
final class RelayServer {

  static final int LENGTH_BYTES = 4;

  /** Limit on a frame, which holds at most the lists of targets and the configuration in whole. */
  static final int MAX_FRAME_BYTES = 4_194_304;

  /** Limit on a message of a follower, which holds its positions and its loads. */
  static final int MAX_MESSAGE_BYTES = 1_048_576;

  /** Time without a message after which the loads of a follower no longer count. */
  static final long MAX_LOAD_SILENCE_MS = 1_000;

  /** Maximum number of followers; above the design size of 390 nodes in one data centre. */
  private static final int MAX_FOLLOWERS = 1_024;

  private final EventLoop loop;
  private final String address;
  private final List<FeedFollower<?>> lists;
  private final Availability availability;
  private final FollowerLoads loads;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Map<Channel, Subscription> followers = new LinkedHashMap<>();

  /** Time of the last message of each follower whose loads count. */
  private final Map<Channel, Long> lastLoadsMs = new HashMap<>();

  private Channel serverChannel;

  /** What a follower has of the lists, and whether it reads compressed contents. */
  private record Subscription(Map<String, ListPosition> positions, boolean acceptsCompressed) {}

  /** State of the store as this node knows it. */
  interface Availability {
    /** Returns the nodes through which the lists come, from the reader to this node. */
    List<String> path();

    /** Returns whether this node's lists are recent. */
    boolean isRecent();

    /** Returns the time left for entries to be restored after an outage, in milliseconds. */
    long restoreGraceMs();
  }

  /** Loads of the followers and of all nodes. */
  interface FollowerLoads {
    /** Replaces the loads and amounts that a follower sent; none when it is gone. */
    void replaceFollower(
        String follower, Map<String, InFlightLoad> followerLoads, FleetSums followerSums);

    /** Returns the loads of all nodes, by target id. */
    Map<String, InFlightLoad> total();

    /** Returns the amounts of all nodes. */
    FleetSums totalSums();
  }

  RelayServer(
      EventLoop loop,
      String address,
      List<FeedFollower<?>> lists,
      Availability availability,
      FollowerLoads loads,
      MonotonicClock clock,
      DecisionLog log) {
    this.loop = loop;
    this.address = address;
    this.lists = List.copyOf(lists);
    this.availability = availability;
    this.loads = loads;
    this.clock = clock;
    this.log = log;
  }

  void start() throws InterruptedException {
    serverChannel =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    addFraming(channel, MAX_MESSAGE_BYTES);
                    channel.pipeline().addLast(new SubscriptionHandler());
                  }
                })
            .bind(PeerReportSocket.toSocketAddress(address))
            .sync()
            .channel();
  }

  /** Adds the framing; a received frame above the limit ends the connection. */
  static void addFraming(Channel channel, int maxReceivedBytes) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(maxReceivedBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES));
  }

  /** Stops accepting followers and closes their connections, so that they look for another node. */
  void stop() {
    if (serverChannel != null) {
      serverChannel.close();
    }
    loop.execute(() -> List.copyOf(followers.keySet()).forEach(Channel::close));
  }

  int followerCount() {
    return followers.size();
  }

  /**
   * Forgets the loads of followers that have sent none lately: the connection of a machine that
   * lost its power stays open.
   */
  void expireLoads(long nowMs) {
    for (Map.Entry<Channel, Long> follower : Map.copyOf(lastLoadsMs).entrySet()) {
      if (nowMs - follower.getValue() > MAX_LOAD_SILENCE_MS) {
        forgetLoads(follower.getKey());
      }
    }
  }

  private void forgetLoads(Channel follower) {
    lastLoadsMs.remove(follower);
    loads.replaceFollower(follower.id().asShortText(), Map.of(), FleetSums.NONE);
  }

  /** Sends the state of the lists to all followers. Must be called on the event loop. */
  void push() {
    if (followers.isEmpty()) {
      return;
    }
    Map<Subscription, ByteBuf> encoded = new HashMap<>();
    for (Map.Entry<Channel, Subscription> follower : followers.entrySet()) {
      Channel channel = follower.getKey();
      if (channel.isWritable()) {
        ByteBuf frame = encoded.computeIfAbsent(follower.getValue(), this::encodeFrame);
        channel.writeAndFlush(frame.retainedDuplicate());
        follower.setValue(
            new Subscription(
                positionsAfter(follower.getValue().positions()),
                follower.getValue().acceptsCompressed()));
      }
    }
    encoded.values().forEach(ByteBuf::release);
  }

  private ByteBuf encodeFrame(Subscription subscription) {
    List<ListUpdate> updates = new ArrayList<>();
    for (FeedFollower<?> list : lists) {
      ListPosition from = subscription.positions().get(list.name());
      if (from != null) {
        newUpdate(list, from).ifPresent(updates::add);
      }
    }
    byte[] frame = encodeFrame(updates, subscription.acceptsCompressed());
    if (frame.length > MAX_FRAME_BYTES - LENGTH_BYTES) {
      // The follower's decoder would end the connection. The store delivers a list in pages.
      updates.replaceAll(
          update -> update.changes().isEmpty() ? update : newFullRead(update.list()));
      frame = encodeFrame(updates, subscription.acceptsCompressed());
    }
    return Unpooled.wrappedBuffer(frame);
  }

  private byte[] encodeFrame(List<ListUpdate> updates, boolean acceptsCompressed) {
    return RelayCodec.encodeFrame(
        new RelayFrame(
            availability.path(),
            availability.isRecent(),
            availability.restoreGraceMs(),
            updates,
            loads.total(),
            loads.totalSums()),
        acceptsCompressed);
  }

  /** Returns an update by which a follower reads the whole list from the store. */
  private static ListUpdate newFullRead(String list) {
    return new ListUpdate(list, Optional.empty(), 0, List.of());
  }

  /**
   * Returns an update for a follower, or empty if the follower's history is newer than this one.
   */
  private static Optional<ListUpdate> newUpdate(FeedFollower<?> list, ListPosition from) {
    ListHistory<?> history = list.history();
    ListPosition position = history.position();
    if (!position.isKnown() || position.era() < from.era()) {
      return Optional.empty();
    }
    if (!history.canContinueFrom(from)) {
      return Optional.of(newFullRead(list.name()));
    }
    return Optional.of(
        new ListUpdate(
            list.name(),
            Optional.of(position),
            Math.max(0, list.ageMs()),
            history.changesAfter(from.revision())));
  }

  private Map<String, ListPosition> positionsAfter(Map<String, ListPosition> before) {
    Map<String, ListPosition> after = new HashMap<>(before);
    for (FeedFollower<?> list : lists) {
      ListPosition position = list.history().position();
      ListPosition known = after.get(list.name());
      if (known != null && known.era() == position.era()) {
        after.put(
            list.name(),
            new ListPosition(known.era(), Math.max(known.revision(), position.revision())));
      } else if (known != null && known.era() < position.era()) {
        // The follower reads the whole list and then subscribes again.
        after.remove(list.name());
      }
    }
    return after;
  }

  private final class SubscriptionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf message) throws IOException {
      byte[] bytes = new byte[message.readableBytes()];
      message.readBytes(bytes);
      FollowerMessage received = RelayCodec.decodeMessage(bytes);
      if (followers.size() >= MAX_FOLLOWERS && !followers.containsKey(ctx.channel())) {
        ctx.close();
        return;
      }
      loads.replaceFollower(ctx.channel().id().asShortText(), received.loads(), received.sums());
      lastLoadsMs.put(ctx.channel(), clock.nowMs());
      if (!received.positions().isEmpty()) {
        followers.put(
            ctx.channel(), new Subscription(received.positions(), received.acceptsCompressed()));
        push();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      followers.remove(ctx.channel());
      forgetLoads(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.recordEvent("relay-link", "", "error", String.valueOf(cause.getMessage()));
      ctx.close();
    }
  }
}
