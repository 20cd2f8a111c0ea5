package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.Set;

/**
 * Values that a node sends to another one with a request that it relays. They grant nothing: the
 * other node checks the caller's key again and relays no further.
 *
 * @param sends number of targets that got the request from this node and may have run it
 * @param remainingMs time left until the request's deadline, in milliseconds
 * @param lastEventId id of the last event that the caller received, if a stream is resumed
 * @param runningAddresses addresses of targets at which a run of the stream may be in progress
 */
public record RelayMetadata(
    int sends, long remainingMs, Optional<String> lastEventId, Set<String> runningAddresses) {}
