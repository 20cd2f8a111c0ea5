/** HTTP and TCP servers and clients, settings, metrics and the assembly of a node. */
package org.gooseberryhook.transport;
