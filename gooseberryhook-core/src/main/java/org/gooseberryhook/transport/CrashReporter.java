package org.gooseberryhook.transport;

import java.util.Collection;
import org.gooseberryhook.protocol.CrashMessage;

/**
 * Receives the deaths of targets and the completions of requests with a crash mark.
 *
 * @since 0.1
 */
public interface CrashReporter {

  /**
   * Reports the death of a target.
   *
   * @param targetId id of the target
   * @param fingerprints fingerprints of the requests that were in flight on it; empty if no request
   *     is blamed
   */
  void onTargetDied(String targetId, Collection<Long> fingerprints);

  /**
   * Reports that a request with a crash mark completed.
   *
   * @param clears the cleared marks, to be sent to the other nodes
   */
  void onCleared(CrashMessage.CrashClears clears);
}
