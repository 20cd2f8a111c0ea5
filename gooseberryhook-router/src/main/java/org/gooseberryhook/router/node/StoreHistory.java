package org.gooseberryhook.router.node;

import java.util.function.LongConsumer;

/**
 * The number of the store's history. It rises when the store comes back from a copy: what was
 * written since the copy is lost, and revisions are given out again.
 */
@FunctionalInterface
public interface StoreHistory {

  /**
   * Sets the receiver of the number.
   *
   * @param onNumber receives the number on the event loop, when it becomes known and whenever it
   *     rises
   */
  void listen(LongConsumer onNumber);
}
