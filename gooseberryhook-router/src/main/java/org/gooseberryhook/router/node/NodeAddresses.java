package org.gooseberryhook.router.node;

import java.util.Optional;

/**
 * Addresses, as {@code host:port}, at which a node listens.
 *
 * @param callers address for requests of callers
 * @param readiness address of the readiness page
 * @param directory address of the directory that lists the ready nodes, if this node serves it
 * @param reports UDP address for the reports of other nodes
 * @param metrics address of the metrics page
 */
public record NodeAddresses(
    String callers, String readiness, Optional<String> directory, String reports, String metrics) {}
