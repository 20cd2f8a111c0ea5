package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryhook.protocol.CrashMessage.Clear;
import org.gooseberryhook.protocol.CrashMessage.CrashClears;
import org.gooseberryhook.protocol.CrashMessage.CrashMarks;
import org.gooseberryhook.protocol.CrashMessage.Mark;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;

class CrashMarkRegistryTest {

  private static final long NOW = TimeUnit.HOURS.toNanos(5);

  /**
   * Guards against a crashing request that is repeated on one target after another, and against
   * refusal of the requests that ran beside it.
   */
  @Property(tries = 60, seed = "11")
  void aCrashingRequestIsRefusedAfterThreeTargetsAndItsBatchCompletes(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int callers) {
    for (int nodes : new int[] {9, 390}) {
      CrashSimulation simulation = new CrashSimulation(nodes, nodes == 9 ? 30 : 3_700, seed);
      simulation.run(callers, 20, 30_000);
      assertThat(simulation.lostTargets).isLessThanOrEqualTo(3 + simulation.startsWithoutAllMarks);
      assertThat(simulation.refusedCrashing).isPositive();
      assertThat(simulation.refusedOthers).isZero();
      assertThat(simulation.areOthersFinished()).isTrue();
    }
  }

  /**
   * Guards against a fourth lost target when a single caller waits for the marks to reach all
   * nodes; prints the figures for several callers.
   */
  @Test
  void aSingleCallerLosesAtMostThreeTargets() {
    for (int nodes : new int[] {9, 390}) {
      for (int callers : new int[] {1, 4, 16}) {
        int maxLost = 0;
        int maxStarts = 0;
        int maxFinishMs = 0;
        for (long seed = 0; seed < 20; seed++) {
          CrashSimulation simulation = new CrashSimulation(nodes, nodes == 9 ? 30 : 3_700, seed);
          simulation.run(callers, 20, 30_000);
          maxLost = Math.max(maxLost, simulation.lostTargets);
          maxStarts = Math.max(maxStarts, simulation.startsWithoutAllMarks);
          maxFinishMs = Math.max(maxFinishMs, simulation.getLastFinishMs());
          assertThat(simulation.lostTargets)
              .isLessThanOrEqualTo(callers == 1 ? 3 : 3 + simulation.startsWithoutAllMarks);
        }
        System.out.printf(
            "crash marks: nodes=%d callers=%d worst of 20 seeds: targets lost=%d,"
                + " starts without all marks=%d, last other request finished after %d ms%n",
            nodes, callers, maxLost, maxStarts, maxFinishMs);
      }
    }
  }

  /**
   * Guards against counting one crash twice and against results that depend on the order of
   * messages, because peers send marks repeatedly and in any order.
   */
  @Property(tries = 300, seed = "12")
  void mergingIsIdempotentAndCommutative(@ForAll long seed) {
    Random random = new Random(seed);
    List<Object> messages = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      long fingerprint = random.nextInt(4);
      String eventId = "e" + random.nextInt(6);
      long ageMs = random.nextInt(1_000);
      messages.add(
          random.nextInt(4) > 0
              ? new CrashMarks(List.of(new Mark(fingerprint, eventId, random.nextBoolean(), ageMs)))
              : new CrashClears(
                  List.of(
                      new Clear(
                          fingerprint,
                          "c" + index,
                          List.of(eventId),
                          random.nextInt(8) == 0,
                          ageMs))));
    }
    CrashMarkRegistry first = mergeAll(messages);
    messages.addAll(messages.subList(0, 10));
    Collections.shuffle(messages, random);
    assertThat(mergeAll(messages).list(10, NOW)).isEqualTo(first.list(10, NOW));
  }

  /** Guards against marks that reappear from peers after an operator cleared them. */
  @Test
  void aClearOverridesOlderMarksFromPeersAndMarksExpireAfterAnHour() {
    CrashMarkRegistry registry = new CrashMarkRegistry();
    CrashMarks seen = registry.recordCrash("t1#1", List.of(7L), NOW);
    long laterNanos = NOW + TimeUnit.SECONDS.toNanos(10);
    registry.clear(7, "operator-1", laterNanos);
    registry.merge(seen, laterNanos);
    registry.merge(new CrashMarks(List.of(new Mark(7, "unseen", false, 11_000))), laterNanos);
    assertThat(registry.getRule(7, laterNanos)).isEqualTo(new RunRule.Normal());
    registry.merge(new CrashMarks(List.of(new Mark(7, "after", false, 0))), laterNanos + 1);
    assertThat(registry.getRule(7, laterNanos + 1)).isEqualTo(new RunRule.ApartFromOtherSuspects());
    long expiredNanos = laterNanos + 1 + TimeUnit.HOURS.toNanos(1);
    assertThat(registry.getRule(7, expiredNanos)).isEqualTo(new RunRule.Normal());
  }

  /** Guards against marks and clears that another node decodes differently. */
  @Test
  void messagesAreDecodedAsEncoded() throws IOException {
    ObjectMapper mapper = new MessagePackMapper();
    CrashMarks marks = new CrashMarks(List.of(new Mark(-5, "t#1", true, 12)));
    CrashClears clears =
        new CrashClears(List.of(new Clear(-5, "c", List.of("t#1", "t#2"), true, 3)));
    assertThat(mapper.readValue(mapper.writeValueAsBytes(marks), CrashMarks.class))
        .isEqualTo(marks);
    assertThat(mapper.readValue(mapper.writeValueAsBytes(clears), CrashClears.class))
        .isEqualTo(clears);
  }

  /**
   * Guards against unbounded memory, and against a flood of marks that evicts a request with many
   * marks.
   */
  @Test
  void aFullRegistryEvictsRequestsWithFewMarksFirst() {
    CrashMarkRegistry registry = new CrashMarkRegistry();
    for (int crash = 0; crash < 3; crash++) {
      registry.recordCrash("bad#" + crash, List.of(-7L), NOW);
    }
    for (long fingerprint = 0; fingerprint < 30_000; fingerprint++) {
      registry.recordCrash("flood#" + fingerprint, List.of(fingerprint), NOW + fingerprint);
      assertThat(registry.size()).isLessThanOrEqualTo(CrashMarkRegistry.MAX_FINGERPRINTS);
    }
    assertThat(registry.getRule(-7, NOW + 30_000)).isEqualTo(new RunRule.Refused());
  }

  private static CrashMarkRegistry mergeAll(List<Object> messages) {
    CrashMarkRegistry registry = new CrashMarkRegistry();
    for (Object message : messages) {
      if (message instanceof CrashMarks marks) {
        registry.merge(marks, NOW);
      } else {
        registry.merge((CrashClears) message, NOW);
      }
    }
    return registry;
  }
}
