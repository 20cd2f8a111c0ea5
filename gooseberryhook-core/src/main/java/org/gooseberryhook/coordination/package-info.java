/**
 * Decision logic. Classes here take events, the current time and a random source, and return
 * decisions; they do no input or output.
 */
package org.gooseberryhook.coordination;
