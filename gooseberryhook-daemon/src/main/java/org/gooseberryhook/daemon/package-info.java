/** The command line and the thin daemon. */
package org.gooseberryhook.daemon;
