/**
 * Forwards requests from callers to targets. {@link org.gooseberryhook.router.forward.CallerServer}
 * accepts connections, {@link org.gooseberryhook.router.forward.CallerConnection} reads requests,
 * {@link org.gooseberryhook.router.forward.RequestRouter} finds their routes, and {@link
 * org.gooseberryhook.router.forward.PlainExchange} or {@link
 * org.gooseberryhook.router.forward.StreamExchange} chooses a target, sends the request and relays
 * the response.
 *
 * <p>Everything runs on one event loop, so that the state needs no locks. A second thread would
 * only add context switches, because an entry VM has one processor at most.
 */
package org.gooseberryhook.router.forward;
