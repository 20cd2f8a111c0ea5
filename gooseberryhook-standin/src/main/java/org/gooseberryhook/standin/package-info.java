/**
 * Stand-ins for the platform's services and for the targets, used by the demo, the tests and the
 * load tool.
 */
package org.gooseberryhook.standin;
