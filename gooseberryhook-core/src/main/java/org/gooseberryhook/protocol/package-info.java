/**
 * Messages between nodes, bodies of requests and responses, and the ports to outside systems with
 * their typed results.
 */
package org.gooseberryhook.protocol;
