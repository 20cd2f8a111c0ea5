package org.gooseberryhook.router.admission;

import java.util.OptionalDouble;

/**
 * What a node reports to the others about the limit of a target. Ages are as of the report.
 *
 * @param startedAtMs start of the target's life that named the limit, in Unix milliseconds
 * @param perSecond the limit, in requests a second of all nodes; empty if it has ended
 * @param sentAgeMs time since the request was sent whose answer says so, in milliseconds
 * @param receivedAgeMs time since that answer was received, in milliseconds
 * @param demandPerSecond requests a second that the sender could send to the target; 0 if it does
 *     not reach the target
 * @param sharedDemandPerSecond demand of all nodes among which the sender takes the limit to be
 *     shared
 */
public record LimitReport(
    long startedAtMs,
    OptionalDouble perSecond,
    long sentAgeMs,
    long receivedAgeMs,
    double demandPerSecond,
    double sharedDemandPerSecond) {}
