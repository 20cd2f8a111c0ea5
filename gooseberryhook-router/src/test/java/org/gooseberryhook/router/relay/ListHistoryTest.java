package org.gooseberryhook.router.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.router.relay.ListHistory.Entry;
import org.gooseberryhook.router.relay.ListUpdate.ListChange;
import org.junit.jupiter.api.Test;

/** Tests that followers end with the entries of the reader, and that heartbeats are not relayed. */
class ListHistoryTest {

  private static Entry<String> entry(String key, String value) {
    byte[] content = value.getBytes(StandardCharsets.UTF_8);
    return new Entry<>(key, Optional.of(value), Optional.of(content));
  }

  private static Entry<String> removal(String key) {
    return new Entry<>(key, Optional.empty(), Optional.empty());
  }

  /** Guards against traffic and decoding on all nodes for each heartbeat of each target. */
  @Test
  void anEntryThatIsWrittenAgainWithTheSameValueIsNotRelayed() {
    ListHistory<String> history = new ListHistory<>();
    history.replaceAll(List.of(entry("a", "1")), new ListPosition(1, 10));
    assertThat(history.apply(List.of(entry("a", "1")), 11)).isEmpty();
    assertThat(history.changesAfter(10)).isEmpty();
    assertThat(history.position()).isEqualTo(new ListPosition(1, 11));
  }

  @Test
  void aFollowerFromBeforeTheFirstReadOrAnotherEraMustReadAll() {
    ListHistory<String> history = new ListHistory<>();
    history.replaceAll(List.of(entry("a", "1")), new ListPosition(1, 10));
    assertThat(history.canContinueFrom(new ListPosition(1, 9))).isFalse();
    assertThat(history.canContinueFrom(new ListPosition(1, 10))).isTrue();
    history.replaceAll(List.of(entry("a", "0")), new ListPosition(2, 5));
    assertThat(history.canContinueFrom(new ListPosition(1, 10))).isFalse();
    assertThat(history.canContinueFrom(new ListPosition(2, 5))).isTrue();
  }

  @Test
  void aFullReadThatLacksAnEntryIsRelayedAsItsRemoval() {
    ListHistory<String> history = new ListHistory<>();
    history.replaceAll(List.of(entry("a", "1"), entry("b", "1")), new ListPosition(1, 10));
    history.replaceAll(List.of(entry("b", "1")), new ListPosition(1, 20));
    List<ListChange> changes = history.changesAfter(10);
    assertThat(changes).extracting(ListChange::key).containsExactly("a");
    assertThat(changes.get(0).content()).isEmpty();
  }

  /**
   * Guards against lost or doubled changes: a follower that joins at any revision, and gets frames
   * at any later ones, has the reader's entries after each frame.
   */
  @Property(tries = 200)
  void aFollowerThatGetsTheChangesAfterItsRevisionHasTheReadersEntries(@ForAll long seed) {
    Random random = new Random(seed);
    ListHistory<String> reader = new ListHistory<>();
    Map<String, String> store = new HashMap<>();
    reader.replaceAll(List.of(), new ListPosition(1, 0));
    Map<String, String> follower = new HashMap<>();
    long followerRevision = 0;
    for (long revision = 1; revision < 60; revision++) {
      String key = "k" + random.nextInt(6);
      List<Entry<String>> change = new ArrayList<>();
      if (random.nextInt(3) == 0) {
        store.remove(key);
        change.add(removal(key));
      } else {
        String value = "v" + random.nextInt(3);
        store.put(key, value);
        change.add(entry(key, value));
      }
      reader.apply(change, revision);
      if (random.nextInt(4) == 0) {
        for (ListChange received : reader.changesAfter(followerRevision)) {
          if (received.content().isPresent()) {
            follower.put(
                received.key(), new String(received.content().get(), StandardCharsets.UTF_8));
          } else {
            follower.remove(received.key());
          }
        }
        followerRevision = reader.position().revision();
        assertThat(follower).isEqualTo(store);
      }
    }
  }
}
