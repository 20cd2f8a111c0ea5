package org.gooseberryhook.router.node;

import java.util.Optional;

/**
 * Where a node listens.
 *
 * @param callers address for callers' requests
 * @param readiness address of the readiness page
 * @param directory address of the directory of nodes, if this node serves it
 * @param reports address for the reports of other nodes
 * @param metrics address of the metrics page
 */
public record NodeAddresses(
    String callers, String readiness, Optional<String> directory, String reports, String metrics) {}
