/**
 * A node of the router: follows the platform's lists, talks to the other nodes, plans the placement
 * when it holds the lease, and serves callers. Start at {@link
 * org.gooseberryhook.router.node.RouterNode}.
 */
package org.gooseberryhook.router.node;
