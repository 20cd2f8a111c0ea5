package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PriorityClass;

/** The inputs of one search for a pipeline. */
record RouteSearch(
    RouteRequest request, RouteConstraints constraints, PipelineRanking ranking, long nowNanos) {

  boolean isBatch() {
    return request.priorityClass() == PriorityClass.BATCH;
  }

  /** Returns the share of a pipeline's slots that batch requests may use. */
  double batchShare() {
    return ranking.hasInteractiveDemand(nowNanos) ? PipelineRouter.BATCH_SLOT_SHARE : 1.0;
  }
}
