package org.gooseberryhook.router.admission;

/**
 * Names the requests whose lengths are learned together.
 *
 * @param route name of the route
 * @param workspace name of the workspace, empty if unknown
 */
public record CostKey(String route, String workspace) {}
