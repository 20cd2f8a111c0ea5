/** Load and experiment tools. */
package org.gooseberryhook.load;
