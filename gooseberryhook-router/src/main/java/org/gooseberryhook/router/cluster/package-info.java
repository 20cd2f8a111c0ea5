/**
 * The nodes of the system: the reports that they exchange, and the lease that decides which of them
 * plans the placement. The entry point is {@link org.gooseberryhook.router.cluster.PeerTable}. Only
 * {@link org.gooseberryhook.router.cluster.PeerReportCodec} knows the wire format. Nothing in this
 * package does input or output.
 */
package org.gooseberryhook.router.cluster;
