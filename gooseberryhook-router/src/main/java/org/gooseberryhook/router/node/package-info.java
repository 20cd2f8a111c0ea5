/**
 * A node of the router: follows the platform's lists, exchanges reports with the other nodes, plans
 * the placement while it holds the lease, and serves callers. The entry point is {@link
 * org.gooseberryhook.router.node.RouterNode}.
 */
package org.gooseberryhook.router.node;
