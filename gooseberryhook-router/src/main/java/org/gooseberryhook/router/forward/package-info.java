/**
 * The path of a request: {@link org.gooseberryhook.router.forward.CallerConnection} reads it,
 * {@link org.gooseberryhook.router.forward.RequestRouter} finds its route, {@link
 * org.gooseberryhook.router.forward.PlainExchange} or {@link
 * org.gooseberryhook.router.forward.StreamExchange} chooses a target, sends, relays and settles it.
 *
 * <p>All of it runs on one event loop, which confines the state without locks: an entry VM has one
 * processor at most, and a second thread would only add switches. Start at {@link
 * org.gooseberryhook.router.forward.CallerServer}.
 */
package org.gooseberryhook.router.forward;
