package org.gooseberryhook.router.node;

/**
 * Settings of a node.
 *
 * @param name name of the node, unique in the system
 * @param zone data centre
 * @param addresses where it listens
 * @param maxSockets sockets that the process may open
 * @param retryRatio repeats for each request that all nodes may send to a service
 * @param retrySlack repeats beside the ratio in a window
 * @param retryWindowMs length of that window
 * @param stopGraceMs time from the signal to stop until the process is killed
 * @param directoryTtlSeconds longest time for which callers use an answer of the directory
 */
public record RouterSettings(
    String name,
    String zone,
    NodeAddresses addresses,
    int maxSockets,
    double retryRatio,
    double retrySlack,
    long retryWindowMs,
    long stopGraceMs,
    int directoryTtlSeconds) {}
