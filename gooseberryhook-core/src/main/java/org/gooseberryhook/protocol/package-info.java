/** Peer messages, caller bodies, typed results and the ports to outside systems. */
package org.gooseberryhook.protocol;
