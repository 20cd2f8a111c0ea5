package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives a target's answer; all calls come on the event loop, none after the last. */
interface ResponseListener {

  /** The answer has begun. */
  void onHead(int status, HttpHeaders headers, ResponseMetadata facts);

  /** Bytes of the body; valid during the call only. */
  void onContent(ByteBuf content);

  /** The answer is complete. Last call. */
  void onEnd();

  /** The connection was lost or spoiled before the answer was complete. Last call. */
  void onFailure(String reason);
}
