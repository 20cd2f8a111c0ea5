package org.gooseberryhook.router.configuration;

import java.util.Optional;

/**
 * The settings of a service, which is a set of targets that can run the same requests.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections connections that one target accepts from all callers
 * @param engineProfile profile of the engines; empty if the service does not run a model in layers
 */
public record ServiceSettings(
    String name, String healthPath, int maxConnections, Optional<EngineProfile> engineProfile) {}
