package org.gooseberryhook.transport;

import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.internal.netty.HeadersMultiMap;
import io.jooby.internal.netty.NettyDateService;
import io.jooby.internal.netty.NettyPipeline;
import io.jooby.internal.netty.NettyRequestDecoder;
import io.jooby.netty.buffer.NettyDataBufferFactory;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Jooby's Netty server with {@link RequestBounds} in front of the routes.
 *
 * <p>Jooby's own server has no extension point for such a handler. It passes requests that the
 * codec could not decode on to the routes, refuses a too long body without a stated length only
 * after all of it was read, and waits for headers without a time limit. This class builds the same
 * pipeline from Jooby's parts.
 */
final class BoundedServer extends Server.Base {

  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_CHUNK_BYTES = 16_384;
  private static final int ACCEPT_BACKLOG = 8_192;
  private static final long STOP_QUIET_MS = 0;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final Executor worker;
  private final long headerTimeoutMs;
  private List<Jooby> applications = List.of();
  private EventLoopGroup acceptor;
  private EventLoopGroup loops;
  private ScheduledExecutorService dates;

  /**
   * Creates a server that does not listen yet.
   *
   * @param options listen address and request limits
   * @param worker runs the routes' handlers
   * @param headerTimeoutMs time in which all headers of a request must arrive, in milliseconds
   */
  BoundedServer(ServerOptions options, Executor worker, long headerTimeoutMs) {
    this.worker = worker;
    this.headerTimeoutMs = headerTimeoutMs;
    setOptions(options);
  }

  @Override
  protected ServerOptions defaultOptions() {
    return new ServerOptions();
  }

  @Override
  public String getName() {
    return "netty";
  }

  @Override
  public Server start(Jooby... apps) {
    applications = List.of(apps);
    NettyDataBufferFactory buffers = new NettyDataBufferFactory(ByteBufAllocator.DEFAULT);
    applications.forEach(app -> app.setBufferFactory(buffers));
    fireStart(applications, worker);
    acceptor = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loops = new MultiThreadIoEventLoopGroup(getOptions().getIoThreads(), NioIoHandler.newFactory());
    dates = Executors.newSingleThreadScheduledExecutor();
    new ServerBootstrap()
        .group(acceptor, loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new BoundedPipeline(new NettyDateService(dates), decoderConfig()))
        .bind(getOptions().getHost(), getOptions().getPort())
        .syncUninterruptibly();
    fireReady(applications);
    return this;
  }

  private HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(getOptions().getMaxHeaderSize())
        .setMaxChunkSize(MAX_CHUNK_BYTES)
        .setHeadersFactory(HeadersMultiMap.httpHeadersFactory())
        .setTrailersFactory(HeadersMultiMap.httpHeadersFactory());
  }

  @Override
  public Server stop() {
    fireStop(applications);
    acceptor.shutdownGracefully(STOP_QUIET_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    loops.shutdownGracefully(STOP_QUIET_MS, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    dates.shutdown();
    return this;
  }

  private final class BoundedPipeline extends NettyPipeline {

    private final HttpDecoderConfig decoderConfig;

    BoundedPipeline(NettyDateService dateService, HttpDecoderConfig decoderConfig) {
      super(
          null,
          dateService,
          decoderConfig,
          applications,
          getOptions().getMaxRequestSize(),
          getOptions().getMaxFormFields(),
          getOptions().getBufferSize(),
          getOptions().getDefaultHeaders(),
          false,
          false,
          null);
      this.decoderConfig = decoderConfig;
    }

    @Override
    public void initChannel(SocketChannel channel) {
      super.initChannel(channel);
      RequestBounds bounds = new RequestBounds(getOptions().getMaxRequestSize(), headerTimeoutMs);
      ChannelPipeline pipeline = channel.pipeline();
      pipeline.replace("decoder", "decoder", new StrictRequestDecoder(decoderConfig));
      pipeline.addFirst(bounds.newByteHandler());
      pipeline.addAfter("encoder", "bounds", bounds);
    }
  }

  /** Refuses requests whose body length is ambiguous. */
  private static final class StrictRequestDecoder extends NettyRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig config) {
      super(config);
    }

    /**
     * Refuses a request with both headers. A proxy and a server that each follow a different one
     * see different request ends, which allows request smuggling.
     */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
  }
}
