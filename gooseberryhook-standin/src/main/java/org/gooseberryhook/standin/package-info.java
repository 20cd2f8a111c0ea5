/** Small stand-ins for the platform and the targets, for the demo, the tests and the load tool. */
package org.gooseberryhook.standin;
