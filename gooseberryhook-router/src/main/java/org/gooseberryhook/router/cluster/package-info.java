/**
 * The nodes of the system: what they tell one another and which of them plans the placement. Start
 * at {@link org.gooseberryhook.router.cluster.PeerTable}; only {@link
 * org.gooseberryhook.router.cluster.PeerReports} knows the format on the wire, and nothing here
 * does input or output.
 */
package org.gooseberryhook.router.cluster;
