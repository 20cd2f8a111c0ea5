/**
 * The configuration that is in force: routes, services, workspaces and limits, as immutable data.
 * Start at {@link org.gooseberryhook.router.configuration.RoutingConfiguration}.
 */
package org.gooseberryhook.router.configuration;
