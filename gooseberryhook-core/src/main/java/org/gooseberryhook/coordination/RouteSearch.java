package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PriorityClass;

/** One search for a pipeline. */
record RouteSearch(
    RouteRequest request, RouteConstraints constraints, PipelineRanking ranking, long nowNanos) {

  boolean isBatch() {
    return request.priorityClass() == PriorityClass.BATCH;
  }

  /** Returns the share of a pipeline's slots that batch work may fill. */
  double batchShare() {
    return ranking.hasInteractiveDemand(nowNanos) ? PipelineRouter.BATCH_SLOT_SHARE : 1.0;
  }
}
