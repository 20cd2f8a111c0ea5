package org.gooseberryhook.transport;

import java.util.Collection;
import org.gooseberryhook.protocol.CrashMessage;

/**
 * Is told when a target died under requests.
 *
 * @since 0.1
 */
public interface CrashReporter {

  /**
   * Reports a death.
   *
   * @param targetId the target
   * @param fingerprints the requests that were in flight on it
   */
  void onTargetDied(String targetId, Collection<Long> fingerprints);

  /**
   * Reports that a marked request completed.
   *
   * @param clears the clears to spread
   */
  void onCleared(CrashMessage.CrashClears clears);
}
