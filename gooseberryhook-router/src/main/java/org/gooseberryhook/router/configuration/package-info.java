/**
 * The configuration that is in force: routes, services, workspaces and limits, as immutable data.
 * The entry point is {@link org.gooseberryhook.router.configuration.RoutingConfiguration}.
 */
package org.gooseberryhook.router.configuration;
