package org.gooseberryhook.router.node;

import org.gooseberryhook.router.admission.RetryBounds;

/**
 * Settings of a node.
 *
 * @param name name of the node, unique in the system
 * @param zone data centre
 * @param addresses where it listens
 * @param maxSockets sockets that the process may open
 * @param retries bounds of the repeats that all nodes may send to a service
 * @param stopGraceMs time from the signal to stop until the process is killed
 * @param directoryTtlSeconds longest time for which callers use an answer of the directory
 */
public record RouterSettings(
    String name,
    String zone,
    NodeAddresses addresses,
    int maxSockets,
    RetryBounds retries,
    long stopGraceMs,
    int directoryTtlSeconds) {}
