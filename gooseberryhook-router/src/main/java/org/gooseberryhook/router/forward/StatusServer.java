package org.gooseberryhook.router.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** HTTP server for the node's status pages, such as readiness, addresses and metrics. */
public final class StatusServer {

  private static final int MAX_REQUEST_BYTES = 8_192;
  private static final int IDLE_SECONDS = 20;

  private final EventLoop loop;
  private final String address;
  private final Map<String, Function<Map<String, List<String>>, StatusResponse>> pages;
  private Channel listener;

  /**
   * A response with the content of a page.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body the body
   */
  public record StatusResponse(int status, String contentType, String body) {}

  /**
   * Creates a server that does not listen yet.
   *
   * @param loop the event loop on which pages are computed
   * @param address IP address and port to listen on
   * @param pages functions that compute the pages by path from the query parameters
   */
  public StatusServer(
      EventLoop loop,
      String address,
      Map<String, Function<Map<String, List<String>>, StatusResponse>> pages) {
    this.loop = loop;
    this.address = address;
    this.pages = Map.copyOf(pages);
  }

  /**
   * Starts listening.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new PageHandler());
                  }
                })
            .bind(TargetChannelPool.socketAddress(address))
            .sync()
            .channel();
  }

  /** Stops listening. */
  public void stop() {
    if (listener != null) {
      listener.close();
    }
  }

  private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      Function<Map<String, List<String>>, StatusResponse> page = pages.get(query.path());
      StatusResponse pageResponse =
          page == null
              ? new StatusResponse(404, "text/plain", "no such page")
              : page.apply(query.parameters());
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(pageResponse.status()),
              Unpooled.copiedBuffer(pageResponse.body(), StandardCharsets.UTF_8));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, pageResponse.contentType());
      HttpUtil.setContentLength(response, response.content().readableBytes());
      boolean isKeepAlive = HttpUtil.isKeepAlive(request);
      if (!isKeepAlive) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      ctx.writeAndFlush(response)
          .addListener(
              done -> {
                if (!isKeepAlive) {
                  ctx.close();
                }
              });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
