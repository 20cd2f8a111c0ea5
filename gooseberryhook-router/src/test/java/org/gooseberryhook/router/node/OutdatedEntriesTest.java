package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.node.EntryOrder.EntryVersion;
import org.gooseberryhook.router.node.FeedResult.Change;
import org.junit.jupiter.api.Test;

/**
 * Tests that a write which the store carries out late does not bring an earlier state back, and
 * that no odd entry keeps a live target from being used.
 */
class OutdatedEntriesTest {

  private static final long HEARTBEAT_MS = 1_000;
  private static final long HOLD_MS = OutdatedEntries.HOLD_HEARTBEATS * HEARTBEAT_MS;
  private static final String ID = "t";

  private record Beat(long startedAtMs, long number, String state) {}

  private final List<String> events = new ArrayList<>();
  private final OutdatedEntries<Beat> entries =
      new OutdatedEntries<>(
          "list",
          new EntryOrder<>(OutdatedEntriesTest::version, Object::equals),
          () -> HEARTBEAT_MS,
          (kind, id, fields) -> events.add(kind));

  /** Starts of 0 stand for a target that does not state its start. */
  private static Optional<EntryVersion> version(Beat beat) {
    return beat.startedAtMs() == 0
        ? Optional.empty()
        : Optional.of(new EntryVersion(beat.startedAtMs(), beat.number()));
  }

  private static Change<Beat> change(long startedAtMs, long number, String state) {
    Beat beat = new Beat(startedAtMs, number, state);
    return new Change<>(ID, Optional.of(beat), Optional.of(new byte[] {1}));
  }

  private static Change<Beat> removal() {
    return new Change<>(ID, Optional.empty(), Optional.empty());
  }

  /** Returns the states that are applied after a response with one change. */
  private List<String> admit(Change<Beat> change, long nowMs) {
    return states(entries.admit(List.of(change), nowMs));
  }

  private List<String> admitNothing(long nowMs) {
    return states(entries.admit(List.of(), nowMs));
  }

  private static List<String> states(List<Change<Beat>> changes) {
    return changes.stream().map(c -> c.value().map(Beat::state).orElse("none")).toList();
  }

  @Test
  void anEarlierStateIsHeldBackUntilTheTargetWritesAgain() {
    assertThat(admit(change(1, 5, "ready"), 0)).containsExactly("ready");
    assertThat(admit(change(1, 9, "leaving"), 4_000)).containsExactly("leaving");
    assertThat(admit(change(1, 8, "ready"), 4_500)).isEmpty();
    assertThat(admit(change(1, 10, "leaving"), 5_000)).containsExactly("leaving");
    assertThat(admitNothing(100_000)).isEmpty();
    assertThat(events).containsExactly("entry-held");
  }

  @Test
  void severalLateWritesInARowAreHeldBack() {
    admit(change(1, 9, "leaving"), 0);
    for (int number = 5; number < 9; number++) {
      assertThat(admit(change(1, number, "ready"), number * 100)).isEmpty();
    }
    assertThat(events).containsExactly("entry-held");
  }

  @Test
  void aLateWriteOfAnEarlierStartIsHeldBack() {
    admit(change(1, 50, "first"), 0);
    assertThat(admit(change(2, 1, "second"), 1_000)).containsExactly("second");
    assertThat(admit(change(1, 51, "first"), 2_000)).isEmpty();
  }

  @Test
  void aTargetThatStartsAgainUnderItsIdIsUsedAtOnce() {
    admit(change(1, 50, "leaving"), 0);
    assertThat(admit(change(2, 1, "ready"), 100)).containsExactly("ready");
  }

  @Test
  void aLateWriteAfterTheRemovalBringsTheTargetNotBack() {
    admit(change(1, 9, "leaving"), 0);
    assertThat(admit(removal(), 1_000)).containsExactly("none");
    assertThat(admit(change(1, 8, "ready"), 1_500)).isEmpty();
    assertThat(admit(removal(), 5_000)).containsExactly("none");
    assertThat(admitNothing(100_000)).isEmpty();
  }

  /** Guards against a live target that is unused after its entry expired. */
  @Test
  void anEntryThatComesBackIsAcceptedAtOnce() {
    admit(change(1, 9, "ready"), 0);
    admit(removal(), 5_000);
    assertThat(admit(change(1, 14, "ready"), 6_000)).containsExactly("ready");
    admit(removal(), 10_000);
    assertThat(admit(change(1, 14, "ready"), 11_000)).containsExactly("ready");
  }

  @Test
  void aWholeListShowsWhatIsInForceInsteadOfAnEarlierState() {
    admit(change(1, 9, "leaving"), 0);
    assertThat(states(entries.admitAll(List.of(change(1, 8, "ready")), 100)))
        .containsExactly("leaving");
    assertThat(states(entries.admitAll(List.of(), 200))).isEmpty();
    assertThat(states(entries.admitAll(List.of(change(1, 8, "ready")), 300))).isEmpty();
    assertThat(states(entries.admitAll(List.of(change(1, 10, "ready")), 400)))
        .containsExactly("ready");
  }

  /** Guards against a live target that is unused for ever after one senseless count. */
  @Test
  void aTargetWhoseFirstEntryHadAHugeCountIsUsedAfterTheHold() {
    admit(change(1, Long.MAX_VALUE, "leaving"), 0);
    assertThat(admit(change(1, 3, "ready"), 1_000)).isEmpty();
    assertThat(admit(change(1, 4, "ready"), 2_000)).isEmpty();
    assertThat(admitNothing(1_000 + HOLD_MS - 1)).isEmpty();
    assertThat(admitNothing(1_000 + HOLD_MS)).containsExactly("ready");
    assertThat(admit(change(1, 8, "ready again"), 1_100 + HOLD_MS)).containsExactly("ready again");
    assertThat(events).containsExactly("entry-held", "entry-accepted");
  }

  /** Guards against a live target that another writer keeps from being used by repeating itself. */
  @Test
  void aHugeCountAfterAPossibleOneOrdersNothing() {
    admit(change(1, 3, "ready"), 0);
    for (int i = 0; i < 10; i++) {
      long nowMs = 1_000L * i;
      assertThat(admit(change(1, Long.MAX_VALUE, "leaving"), nowMs)).containsExactly("leaving");
      assertThat(admit(change(1, 4 + i, "ready"), nowMs + 500)).containsExactly("ready");
    }
  }

  @Test
  void aTargetThatWasNotReadForLongMayHaveWrittenOften() {
    admit(change(1, 3, "ready"), 0);
    assertThat(admit(change(1, 3_603, "leaving"), 3_600_000)).containsExactly("leaving");
    assertThat(admit(change(1, 3_602, "ready"), 3_600_500)).isEmpty();
  }

  @Test
  void entriesOfUnknownVersionAreNeverHeldBack() {
    admit(change(0, 9, "leaving"), 0);
    assertThat(admit(change(0, 8, "ready"), 100)).containsExactly("ready");
    admit(change(1, 9, "leaving"), 200);
    assertThat(admit(change(0, 0, "odd"), 300)).containsExactly("odd");
    assertThat(admit(change(1, 10, "leaving"), 400)).containsExactly("leaving");
  }

  @Test
  void anInvalidEntryIsAppliedAndTheNextWriteToo() {
    admit(change(1, 9, "ready"), 0);
    Change<Beat> invalid = Change.invalid(ID, Optional.of(new byte[0]), "no object");
    assertThat(admit(invalid, 100)).containsExactly("none");
    assertThat(admit(change(1, 10, "ready"), 200)).containsExactly("ready");
  }

  /** Guards against a leaving target that is used after an outage in which it could not write. */
  @Test
  void theTimeOfAnOutageDoesNotCountForTheHold() {
    admit(change(1, 9, "leaving"), 0);
    admit(change(1, 8, "ready"), 100);
    entries.onStoreUnavailable(9_000);
    assertThat(admitNothing(9_100)).isEmpty();
    assertThat(admitNothing(9_000 + HOLD_MS)).containsExactly("ready");
  }

  @Test
  void afterARestoreOfTheStoreEarlierEntriesAreNotHeldBack() {
    admit(change(1, 9, "leaving"), 0);
    entries.clear();
    assertThat(admit(change(1, 8, "ready"), 100)).containsExactly("ready");
  }

  @Test
  void theVersionsOfMoreEntriesThanTheBoundAreForgotten() {
    admit(change(1, 9, "leaving"), 0);
    for (int i = 0; i < OutdatedEntries.MAX_ENTRIES; i++) {
      Change<Beat> other = change(1, 1, "ready");
      entries.admit(List.of(new Change<>("o" + i, other.value(), other.content())), 1);
    }
    assertThat(admit(change(1, 8, "ready"), 100)).containsExactly("ready");
  }
}
