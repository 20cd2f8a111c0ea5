package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalInt;
import java.util.Set;

/** Reads and writes the headers that a deployment uses between callers, router and targets. */
public interface HeaderCodec {

  /**
   * Reads a caller's headers.
   *
   * @param headers the headers
   * @return the values that the router uses, never null
   */
  RequestMetadata readRequest(HttpHeaders headers);

  /**
   * Removes the headers that only the router may set, and the caller's key.
   *
   * @param headers headers of a caller's request
   */
  void removeReserved(HttpHeaders headers);

  /**
   * Adds the router's headers for a target.
   *
   * @param headers headers of the request to the target
   * @param metadata values to write
   */
  void writeForwardHeaders(HttpHeaders headers, ForwardMetadata metadata);

  /**
   * Adds the headers of a request that is relayed to another node. They must be reserved.
   *
   * @param headers headers of the caller's request, with its key
   * @param metadata values to write
   */
  void writeRelayHeaders(HttpHeaders headers, RelayMetadata metadata);

  /**
   * Adds the number of targets that may have run a stream which this node ends early.
   *
   * @param fields headers or trailers of the response to the node that relayed the stream
   * @param sends the number, with the targets that got the stream from that node
   */
  void writeRelayedSends(HttpHeaders fields, int sends);

  /**
   * Reads the number of targets that may have run a stream which another node ended early.
   *
   * @param fields headers or trailers of the response of that node
   * @return the number, 0 if it is not valid, empty if it is not stated
   */
  OptionalInt readRelayedSends(HttpHeaders fields);

  /**
   * Adds the addresses of targets at which a run of a stream that this node ends early may still be
   * in progress.
   *
   * @param fields headers or trailers of the response to the node that relayed the stream
   * @param addresses the addresses; nothing is added if there are none
   */
  void writeRunningAddresses(HttpHeaders fields, Set<String> addresses);

  /**
   * Reads the addresses of targets at which a run of a stream that another node ended early may
   * still be in progress.
   *
   * @param fields headers or trailers of the response of that node
   * @return the addresses, empty if none are stated
   */
  Set<String> readRunningAddresses(HttpHeaders fields);

  /**
   * Reads a target's headers.
   *
   * @param status HTTP status of the response
   * @param headers the headers
   * @return the values that the router uses, never null
   */
  ResponseMetadata readResponse(int status, HttpHeaders headers);
}
