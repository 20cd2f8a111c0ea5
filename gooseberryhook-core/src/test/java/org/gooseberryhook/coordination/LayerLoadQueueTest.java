package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.coordination.LayerLoadQueue.Candidate;
import org.junit.jupiter.api.Test;

class LayerLoadQueueTest {

  /**
   * Guards against a data centre that returns with many empty targets and blocks the loads of the
   * others.
   */
  @Test
  void placesTakeTurnsAndOneTargetLoadsAtATime() {
    LayerLoadQueue queue = new LayerLoadQueue();
    List<Candidate> waiting = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      waiting.add(new Candidate("a" + i, "big"));
    }
    waiting.add(new Candidate("z1", "small"));
    waiting.add(new Candidate("z2", "small"));
    List<String> order = new ArrayList<>();
    while (!waiting.isEmpty()) {
      String started = queue.start(waiting, 0).orElseThrow();
      assertThat(queue.start(waiting, 0)).isEmpty();
      order.add(started);
      waiting.removeIf(candidate -> candidate.targetId().equals(started));
      queue.finish("another");
      assertThat(queue.isLoading(started)).isTrue();
      queue.finish(started);
    }
    assertThat(order.subList(0, 4)).contains("z1", "z2");
  }

  /** Guards against a load slot that stays blocked because its target never confirms the load. */
  @Test
  void aLoadThatNeverEndsFreesItsSlotAfterTheTimeout() {
    LayerLoadQueue queue = new LayerLoadQueue();
    queue.start(List.of(new Candidate("a", "p")), 0);
    List<Candidate> next = List.of(new Candidate("b", "p"));
    assertThat(queue.start(next, LayerLoadQueue.LOAD_TIMEOUT_NANOS - 1)).isEmpty();
    assertThat(queue.start(next, LayerLoadQueue.LOAD_TIMEOUT_NANOS)).isEqualTo(Optional.of("b"));
  }
}
