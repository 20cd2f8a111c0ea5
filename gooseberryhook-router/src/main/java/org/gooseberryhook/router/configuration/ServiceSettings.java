package org.gooseberryhook.router.configuration;

import java.util.Optional;

/**
 * A service: targets that run the same requests.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections connections that one target accepts from all callers
 * @param engineProfile figures of the engines, if the service runs a model in layers
 */
public record ServiceSettings(
    String name, String healthPath, int maxConnections, Optional<EngineProfile> engineProfile) {}
