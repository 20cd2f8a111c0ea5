package org.gooseberryhook.coordination;

import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.state.Pipeline;

/**
 * Chooses a pipeline for an attempt.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RouteChooser {

  /**
   * Chooses a pipeline.
   *
   * @param call the call
   * @param excludedTargetIds targets that failed this request
   * @return the pipeline, or empty if none can serve the call now
   */
  Optional<Pipeline> choose(ModelCall call, Set<String> excludedTargetIds);
}
