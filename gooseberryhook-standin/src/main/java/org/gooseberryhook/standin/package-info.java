/** Stand-ins for the platform's outside systems, served over HTTP on the loopback address. */
package org.gooseberryhook.standin;
