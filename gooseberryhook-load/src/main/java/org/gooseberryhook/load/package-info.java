/** Load and experiment tool, and programs that measure decision logic in one process. */
package org.gooseberryhook.load;
