package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PriorityClass;

/** One search for a pipeline. */
record RouteSearch(RouteRequest facts, RouteRule rule, RouteIndex index, long nowNanos) {

  boolean isBatch() {
    return facts.priorityClass() == PriorityClass.BATCH;
  }

  /** Returns the share of a pipeline's slots that batch work may fill. */
  double batchShare() {
    return index.hasInteractiveDemand(nowNanos) ? PipelineRouter.BATCH_SLOT_SHARE : 1.0;
  }
}
