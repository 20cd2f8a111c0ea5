/** Load and experiment tool: open-loop callers, faults by schedule, and reports. */
package org.gooseberryhook.load;
