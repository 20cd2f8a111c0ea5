package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the order and the bound of waiting requests. */
class WaitQueueTest {

  private final WaitQueue<String> queue = new WaitQueue<>();

  @Test
  void moreUrgentRequestsGoFirstAndEqualOnesInOrderOfArrival() {
    queue.add(1, 100, "late");
    queue.add(1, 100, "later");
    queue.add(0, 100, "urgent");
    List<String> started = new ArrayList<>();
    queue.drain(started::add);
    assertThat(started).containsExactly("urgent", "late", "later");
  }

  @Test
  void requestsThatWaitedTooLongAreGivenBack() {
    queue.add(1, 100, "short");
    queue.add(1, 200, "long");
    assertThat(queue.expire(150)).containsExactly("short");
    assertThat(queue.size()).isEqualTo(1);
  }

  @Test
  void aFullQueueTakesNoMore() {
    for (int i = 0; i < WaitQueue.MAX_WAITING; i++) {
      assertThat(queue.add(1, 100, "r")).isNotNull();
    }
    assertThat(queue.add(0, 100, "one more")).isNull();
  }

  @Test
  void aSmallRequestPassesALargeOneThatFindsNoRoom() {
    queue.add(1, 100, "large");
    queue.add(1, 100, "small");
    queue.drain("small"::equals);
    assertThat(queue.expire(1_000)).containsExactly("large");
  }
}
