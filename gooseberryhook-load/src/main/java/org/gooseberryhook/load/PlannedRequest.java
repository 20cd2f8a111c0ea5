package org.gooseberryhook.load;

import org.gooseberryhook.load.Experiment.RequestShape;
import org.gooseberryhook.load.Experiment.Workspace;

/**
 * A request with its intended arrival.
 *
 * @param number position among all arrivals, counted from 0
 * @param atNanos intended arrival since the start, in nanoseconds
 * @param workspace the workspace
 * @param shape the kind of request
 * @param block time block of the comparison that the arrival falls in, counted from 0
 * @param variant index of the variant that receives the request
 */
record PlannedRequest(
    long number, long atNanos, Workspace workspace, RequestShape shape, int block, int variant) {}
