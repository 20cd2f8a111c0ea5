/** Immutable domain data and sharded in-memory state; no input or output. */
package org.gooseberryhook.state;
