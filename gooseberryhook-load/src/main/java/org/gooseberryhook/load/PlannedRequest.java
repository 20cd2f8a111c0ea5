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
 * @param block block of the comparison it belongs to, counted from 0
 * @param variant index of the variant it goes to
 */
record PlannedRequest(
    long number, long atNanos, Workspace workspace, RequestShape shape, int block, int variant) {}
