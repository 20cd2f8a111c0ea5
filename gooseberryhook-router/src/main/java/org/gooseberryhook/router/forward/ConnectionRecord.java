package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.function.IntConsumer;

/**
 * What happened on a caller's connection, for the log line about its end. It is also the first
 * handler of the connection, so that it sees when bytes arrive.
 */
final class ConnectionRecord extends ChannelInboundHandlerAdapter {

  /** Why a connection ended. */
  enum EndReason {
    /** The caller closed it. */
    CLOSED("closed"),
    IDLE("idle"),
    HEADER_LATE("header-late"),
    STOPPING("stopping"),
    /** The response broke off after its start. */
    ABORTED("aborted"),
    REFUSED("refused"),
    AFTER_RESPONSE("after-response"),
    /** The caller took nothing of its response. */
    WRITE_STALLED("write-stalled"),
    /** A write failed although the connection was open. */
    WRITE_FAILED("write-failed"),
    EXCEPTION("exception");

    private final String label;

    EndReason(String label) {
      this.label = label;
    }
  }

  private final ForwardContext context;
  private final IntConsumer onBytes;
  private final long openedMs;
  private EndReason reason = EndReason.CLOSED;
  private long lastBytesMs;
  private long receivedBytes;
  private long unservedBytes;
  private int servedRequests;
  private String attemptId = "";

  /**
   * Creates the record of a connection that is opened now.
   *
   * @param context shared state
   * @param onBytes receives the number of bytes that arrive, before they are decoded
   */
  ConnectionRecord(ForwardContext context, IntConsumer onBytes) {
    this.context = context;
    this.onBytes = onBytes;
    this.openedMs = context.clock().nowMs();
    this.lastBytesMs = openedMs;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    lastBytesMs = context.clock().nowMs();
    int bytes = ((ByteBuf) message).readableBytes();
    receivedBytes += bytes;
    unservedBytes += bytes;
    onBytes.accept(bytes);
    ctx.fireChannelRead(message);
  }

  /**
   * Returns a handler, to be put behind the encoder, that closes the connection if a write fails
   * although it is open. What follows on it would not belong to the response that its caller waits
   * for. If the caller has closed the connection, Netty has closed it too and then fails its
   * writes.
   */
  ChannelHandler writeHandler() {
    return new ChannelOutboundHandlerAdapter() {
      @Override
      public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ChannelPromise written = promise.unvoid();
        written.addListener(
            done -> {
              if (!done.isSuccess() && ctx.channel().isActive()) {
                onWriteFailed(done.cause());
                ctx.close();
              }
            });
        ctx.write(message, written);
      }
    };
  }

  private void onWriteFailed(Throwable cause) {
    context.log().recordEvent("write-failed", attemptId, "served", servedRequests, "why", cause);
    reason = EndReason.WRITE_FAILED;
  }

  /** Returns the number of bytes that arrived. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Returns the number of bytes that arrived after the last request that was read as a whole. */
  long unservedBytes() {
    return unservedBytes;
  }

  /** Returns the attempt id of the request in progress, empty if there is none. */
  String attemptId() {
    return attemptId;
  }

  /** Records that a request was read as a whole. */
  void onRequest(String newAttemptId, int undecodedBytes) {
    attemptId = newAttemptId;
    unservedBytes = undecodedBytes;
  }

  /** Records that the response to a request was written as a whole. */
  void onResponse() {
    servedRequests++;
    attemptId = "";
  }

  /** Records why the connection is about to be closed; the first reason counts. */
  void onClosing(EndReason newReason) {
    if (reason == EndReason.CLOSED) {
      reason = newReason;
    }
  }

  /**
   * Logs the end of the connection, unless the caller closed it between two requests or its last
   * response was complete.
   *
   * @param isServing whether a request was in progress
   * @param isResponseStarted whether its response had started
   * @param pendingMessages number of decoded messages that were left
   */
  void onClosed(boolean isServing, boolean isResponseStarted, int pendingMessages) {
    boolean isByNode = reason != EndReason.CLOSED && reason != EndReason.EXCEPTION;
    boolean isIncomplete = isServing || unservedBytes > 0 || pendingMessages > 0;
    boolean isCut = isIncomplete && reason != EndReason.REFUSED;
    if (!isCut && (!isByNode || reason == EndReason.AFTER_RESPONSE)) {
      return;
    }
    String cutKind = isByNode ? "request-cut" : "request-abandoned";
    long nowMs = context.clock().nowMs();
    context
        .log()
        .recordEvent(
            isCut ? cutKind : "connection-closed",
            attemptId,
            "by",
            isByNode ? "node" : "caller",
            "why",
            reason.label,
            "ageMs",
            nowMs - openedMs,
            "sinceBytesMs",
            nowMs - lastBytesMs,
            "unservedBytes",
            unservedBytes,
            "served",
            servedRequests,
            "inProgress",
            isServing,
            "responseStarted",
            isResponseStarted,
            "pending",
            pendingMessages);
  }
}
