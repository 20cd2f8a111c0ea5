package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order, the fairness and the bound of waiting requests. */
class WaitQueueTest {

  private final WaitQueue<String> queue = new WaitQueue<>();

  private WaitQueue.Waiter<String> add(int rank, long expiryMs, String value) {
    return queue.add(new WaitQueue.SchedulingInfo(rank, "w", 1), expiryMs, value);
  }

  private WaitQueue.Waiter<String> addOf(String workspace, double cost, String value) {
    return queue.add(new WaitQueue.SchedulingInfo(1, workspace, cost), 100, value);
  }

  /** Dispatches the queue with capacity for a number of requests; returns those that started. */
  private List<String> start(int capacity) {
    List<String> started = new ArrayList<>();
    queue.dispatch(value -> false, value -> started.size() < capacity && started.add(value));
    return started;
  }

  @Test
  void moreUrgentRequestsStartFirstAndEqualOnesInOrderOfArrival() {
    add(1, 100, "late");
    add(1, 100, "later");
    add(0, 100, "urgent");
    assertThat(start(3)).containsExactly("urgent", "late", "later");
  }

  @Test
  void requestsThatWaitTooLongAreRemoved() {
    add(1, 100, "short");
    add(1, 200, "long");
    assertThat(queue.removeExpired(150)).containsExactly("short");
    assertThat(queue.size()).isEqualTo(1);
  }

  @Test
  void aFullQueueRemovesItsLastRequest() {
    for (int i = 0; i < WaitQueue.MAX_WAITING; i++) {
      add(1, 100, "r" + i);
      assertThat(queue.removeOverflow()).isEmpty();
    }
    add(1, 100, "one more");
    assertThat(queue.removeOverflow()).contains("one more");
    add(0, 100, "urgent");
    assertThat(queue.removeOverflow()).contains("r" + (WaitQueue.MAX_WAITING - 1));
    assertThat(queue.size()).isEqualTo(WaitQueue.MAX_WAITING);
  }

  @Test
  void aSmallRequestOvertakesALargeOneThatCannotStart() {
    add(1, 100, "large");
    add(1, 100, "small");
    queue.dispatch(value -> false, "small"::equals);
    assertThat(queue.removeExpired(1_000)).containsExactly("large");
  }

  /** Guards against free capacity that is left unused because no waiting stream may use it. */
  @Test
  void requestsThatMustNotUseTheFreeCapacityDoNotKeepOthersWaiting() {
    for (int i = 0; i < 10; i++) {
      add(0, 100, "resumed" + i);
    }
    add(1, 100, "new");
    List<String> started = new ArrayList<>();
    queue.dispatch(
        value -> value.startsWith("resumed"), value -> value.equals("new") && started.add(value));
    assertThat(started).containsExactly("new");
  }

  /** Guards against a pass over the queue that takes long because many streams cannot start. */
  @Test
  void fewRequestsThatMustNotUseTheFreeCapacityAreTriedInOnePass() {
    for (int i = 0; i < 100; i++) {
      add(0, 100, "resumed" + i);
    }
    List<String> tried = new ArrayList<>();
    queue.dispatch(
        value -> true,
        value -> {
          tried.add(value);
          return false;
        });
    assertThat(tried).hasSizeLessThan(40);
  }

  /** Guards against a burst of one workspace that keeps the others waiting until they expire. */
  @Test
  void workspacesTakeTurnsWhenOneSendsManyRequests() {
    for (int i = 0; i < 50; i++) {
      addOf("many", 1, "many" + i);
    }
    addOf("few", 1, "few0");
    addOf("few", 1, "few1");
    assertThat(start(5)).containsExactly("many0", "few0", "many1", "few1", "many2");
  }

  @Test
  void largeRequestsTakeMoreOfTheirWorkspacesShare() {
    for (int i = 0; i < 4; i++) {
      addOf("large", 3, "large" + i);
      addOf("small", 1, "small" + i);
    }
    assertThat(start(5)).containsExactly("large0", "small0", "small1", "small2", "large1");
  }

  /** Guards against a workspace that is delayed later because of requests that never started. */
  @Test
  void removedRequestsDoNotCountAgainstTheirWorkspace() {
    addOf("other", 1, "other0");
    List<WaitQueue.Waiter<String>> removed = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      removed.add(addOf("many", 1, "many" + i));
    }
    removed.forEach(queue::remove);
    addOf("other", 1, "other1");
    addOf("many", 1, "back");
    assertThat(start(3)).containsExactly("other0", "back", "other1");
  }

  @Test
  void pastRequestsDoNotCountOnceTheQueueIsEmpty() {
    for (int i = 0; i < 20; i++) {
      addOf("many", 1, "many" + i);
    }
    assertThat(start(20)).hasSize(20);
    addOf("many", 1, "next");
    addOf("few", 1, "first");
    assertThat(start(2)).containsExactly("next", "first");
  }

  /** Guards against a workspace above its share that starts before others, or never. */
  @Test
  void aWorkspaceAboveItsShareWaitsBehindOthersOfItsRankAndIsNotStarved() {
    addOf("first", 1, "first0");
    addOf("first", 1, "first1");
    queue.addBehindRank(new WaitQueue.SchedulingInfo(1, "above", 1), 100, "above0");
    queue.addBehindRank(new WaitQueue.SchedulingInfo(1, "above", 1), 100, "above1");
    addOf("second", 1, "second0");
    queue.add(new WaitQueue.SchedulingInfo(2, "second", 1), 100, "less urgent");
    assertThat(start(3)).containsExactly("first0", "second0", "first1");
    for (int i = 0; i < 4; i++) {
      addOf("third", 1, "third" + i);
    }
    assertThat(start(6))
        .containsExactly("third0", "above0", "third1", "above1", "third2", "third3");
  }
}
