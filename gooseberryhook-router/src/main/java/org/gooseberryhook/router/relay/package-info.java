/**
 * Distribution of the platform's lists from the node that reads them to the other nodes: who reads,
 * who follows whom, and what is sent. Start with {@link
 * org.gooseberryhook.router.relay.SourceSelector}. Nothing in this package does input or output.
 */
package org.gooseberryhook.router.relay;
