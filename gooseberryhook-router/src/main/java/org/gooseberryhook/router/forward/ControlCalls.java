package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** HTTP client for the node's own calls to the platform's store and to targets. */
public final class ControlCalls {

  private static final long MAX_IDLE_MS = 4_000;

  private final EventLoop loop;
  private final TargetChannelPool channelPool;

  /**
   * Creates a client without connections.
   *
   * @param loop the event loop on which results are delivered
   * @param clock monotonic clock
   * @param headerCodec reads the headers of responses
   */
  public ControlCalls(EventLoop loop, MonotonicClock clock, HeaderCodec headerCodec) {
    this.loop = loop;
    this.channelPool =
        new TargetChannelPool(
            loop, clock, headerCodec, (address, metadata, sentMs) -> {}, MAX_IDLE_MS);
  }

  /**
   * A request to be sent.
   *
   * @param method HTTP method
   * @param uri path and query
   * @param headers headers by name, besides those that each request has
   * @param body JSON body, empty if there is none
   * @param timeoutMs time limit from the call to the end of the response, in milliseconds
   * @param maxResponseBytes limit on the body of the response; a larger one ends the call and its
   *     connection
   */
  public record Request(
      HttpMethod method,
      String uri,
      Map<String, String> headers,
      byte[] body,
      long timeoutMs,
      int maxResponseBytes) {}

  /** The outcome of a call. */
  public sealed interface Result {

    /**
     * A response was received.
     *
     * @param status HTTP status
     * @param headers headers of the response
     * @param body the body
     */
    record Answered(int status, HttpHeaders headers, byte[] body) implements Result {}

    /**
     * The request was not sent.
     *
     * @param reason why it was not sent
     */
    record NotSent(String reason) implements Result {}

    /**
     * The request was sent and no whole response was received; it may have taken effect, or may
     * take effect later.
     *
     * @param reason why there is no response
     * @param isTooLarge whether its body is larger than {@link Request#maxResponseBytes}
     * @param isTimeout whether the connection was open and silent until the time limit
     */
    record Unanswered(String reason, boolean isTooLarge, boolean isTimeout) implements Result {

      /**
       * Creates the outcome of a call whose response failed for another reason than its size or
       * time.
       *
       * @param reason why there is no response
       */
      public Unanswered(String reason) {
        this(reason, false, false);
      }
    }
  }

  /**
   * Sends a request.
   *
   * @param address IP address and port
   * @param request the request
   * @param onResult receives the result on the event loop, exactly once
   */
  public void call(String address, Request request, Consumer<Result> onResult) {
    new Call(address, request, false, onResult)
        .start(
            (onReady, onFailed) ->
                channelPool.acquire(address, null, MAX_IDLE_MS, onReady, onFailed));
  }

  /**
   * Sends a request over a new connection, which later calls may use.
   *
   * @param address IP address and port
   * @param request the request
   * @param onResult receives the result on the event loop, exactly once
   */
  public void callAnew(String address, Request request, Consumer<Result> onResult) {
    new Call(address, request, false, onResult)
        .start((onReady, onFailed) -> channelPool.connect(address, onReady, onFailed));
  }

  /**
   * Sends a request over a new connection, which is closed after the response. Responses carry no
   * id, and a target may send one twice: on a connection with other calls, the second one could be
   * taken for the response to the next call.
   *
   * @param address IP address and port
   * @param request the request
   * @param onResult receives the result on the event loop, exactly once
   */
  public void callAlone(String address, Request request, Consumer<Result> onResult) {
    new Call(address, request, true, onResult)
        .start((onReady, onFailed) -> channelPool.connect(address, onReady, onFailed));
  }

  private final class Call implements ResponseListener {
    private final String address;
    private final Request request;
    private final boolean isAlone;
    private final Consumer<Result> onResult;
    private final ByteBuf responseBody = Unpooled.buffer();
    private TargetChannel channel;
    private ScheduledFuture<?> timer;
    private int status;
    private HttpHeaders headers;
    private boolean isDone;

    Call(String address, Request request, boolean isAlone, Consumer<Result> onResult) {
      this.address = address;
      this.request = request;
      this.isAlone = isAlone;
      this.onResult = onResult;
    }

    void start(BiConsumer<Consumer<TargetChannel>, Consumer<String>> connector) {
      timer =
          loop.schedule(
              () -> {
                if (channel != null) {
                  channel.abort();
                }
                finish(
                    channel == null
                        ? new Result.NotSent("no connection within the time limit of the call")
                        : new Result.Unanswered(
                            "no response within " + request.timeoutMs() + " ms", false, true));
              },
              request.timeoutMs(),
              TimeUnit.MILLISECONDS);
      connector.accept(this::send, reason -> finish(new Result.NotSent(reason)));
    }

    private void send(TargetChannel ready) {
      if (isDone) {
        ready.abort();
        return;
      }
      channel = ready;
      byte[] body = request.body();
      FullHttpRequest message =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(body));
      message.headers().set(HttpHeaderNames.HOST, address);
      request.headers().forEach(message.headers()::set);
      if (body.length > 0 || request.method().equals(HttpMethod.POST)) {
        message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setContentLength(message, body.length);
      }
      ready.send(message, null, this);
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders, ResponseMetadata metadata) {
      status = newStatus;
      headers = newHeaders;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (responseBody.readableBytes() + content.readableBytes() > request.maxResponseBytes()) {
        channel.abort();
        finish(
            new Result.Unanswered(
                "response body is larger than " + request.maxResponseBytes() + " bytes",
                true,
                false));
      } else {
        responseBody.writeBytes(content);
      }
    }

    @Override
    public void onEnd() {
      if (isAlone) {
        channel.abort();
      }
      byte[] bytes = new byte[responseBody.readableBytes()];
      responseBody.readBytes(bytes);
      finish(new Result.Answered(status, headers, bytes));
    }

    @Override
    public void onFailure(String reason) {
      finish(new Result.Unanswered(reason));
    }

    private void finish(Result result) {
      if (!isDone) {
        isDone = true;
        timer.cancel(false);
        onResult.accept(result);
      }
    }
  }
}
