package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads and writes the headers of one deployment; decides nothing. */
public interface HeaderCodec {

  /**
   * Reads a caller's headers.
   *
   * @param headers the headers
   * @return what they say, never null
   */
  RequestMetadata readRequest(HttpHeaders headers);

  /**
   * Removes the headers that only the system may set, and the caller's key.
   *
   * @param headers headers of a caller's request
   */
  void removeReserved(HttpHeaders headers);

  /**
   * Adds the headers for a target.
   *
   * @param headers headers of the request to the target
   * @param facts what to say
   */
  void writeForwardHeaders(HttpHeaders headers, ForwardMetadata facts);

  /**
   * Reads a target's headers.
   *
   * @param status status of the answer
   * @param headers the headers
   * @return what they say, never null
   */
  ResponseMetadata readResponse(int status, HttpHeaders headers);
}
