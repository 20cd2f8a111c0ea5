package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives a target's response. All calls come on the event loop; {@link #onEnd} or {@link
 * #onFailure} is the last one.
 */
interface ResponseListener {

  /** Called when the response head was received. */
  void onHead(int status, HttpHeaders headers, ResponseMetadata metadata);

  /** Called with bytes of the body; the buffer is valid during the call only. */
  void onContent(ByteBuf content);

  /** Called before {@link #onEnd} if the response has trailers. */
  default void onTrailers(HttpHeaders trailers) {}

  /** Called when the response is complete. */
  void onEnd();

  /** Called when the connection was lost or the response was invalid before its end. */
  void onFailure(String reason);
}
