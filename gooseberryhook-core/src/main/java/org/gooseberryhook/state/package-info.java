/** Immutable domain data and sharded in-memory state, without input or output. */
package org.gooseberryhook.state;
