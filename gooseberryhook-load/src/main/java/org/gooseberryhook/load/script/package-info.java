/**
 * Generated scripts of targets, links, nodes and the caller of a stream, and a model of what the
 * caller may see. Start with {@link org.gooseberryhook.load.script.StreamScript}. Nothing here does
 * input or output; a player carries a script out and hands its observation to {@link
 * org.gooseberryhook.load.script.StreamModel}.
 */
package org.gooseberryhook.load.script;
