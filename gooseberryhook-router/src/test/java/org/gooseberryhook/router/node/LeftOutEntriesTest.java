package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests what becomes of entries that are not valid. Guards against an odd entry of another writer
 * that nobody can find, or that keeps the other entries of its list from being read.
 */
class LeftOutEntriesTest {

  private final List<String> lines = new ArrayList<>();
  private final LeftOutEntries leftOut =
      new LeftOutEntries(
          "targets", (kind, attempt, fields) -> lines.add(kind + Arrays.toString(fields)));

  private static FeedResult.Change<String> entry(String key, EntryDecoder<String> decoder) {
    return FeedResult.Change.decode(key, Optional.of(new byte[1]), decoder);
  }

  private static FeedResult.Change<String> invalid(String key, String reason) {
    return entry(
        key,
        (k, content) -> {
          throw new IOException(reason);
        });
  }

  private static FeedResult.Change<String> valid(String key) {
    return entry(key, (k, content) -> Optional.of("value"));
  }

  @Test
  void anEntryIsLoggedWhenItsReasonChangesAndNotAtEachRead() {
    leftOut.update(List.of(invalid("a", "no service"), valid("b")));
    leftOut.update(List.of(invalid("a", "no service")));
    leftOut.replaceAll(List.of(invalid("a", "no service"), valid("b")));
    leftOut.update(List.of(invalid("a", "no zone")));
    assertThat(lines)
        .containsExactly(
            "entry-left-out[list, targets, key, a, reason, no service]",
            "entry-left-out[list, targets, key, a, reason, no zone]");
    assertThat(leftOut.count()).isEqualTo(1);
  }

  @Test
  void anEntryThatBecomesValidOrIsRemovedNoLongerCounts() {
    leftOut.update(List.of(invalid("a", "x"), invalid("b", "x"), invalid("c", "x")));
    leftOut.update(
        List.of(valid("a"), new FeedResult.Change<>("b", Optional.empty(), Optional.empty())));
    assertThat(leftOut.count()).isEqualTo(1);
    leftOut.replaceAll(List.of(valid("a")));
    assertThat(leftOut.count()).isZero();
    leftOut.update(List.of(invalid("c", "x")));
    assertThat(lines).hasSize(4);
  }

  @Test
  void theNumberOfRememberedEntriesIsBounded() {
    List<FeedResult.Change<String>> many = new ArrayList<>();
    for (int i = 0; i < LeftOutEntries.MAX_ENTRIES + 10; i++) {
      many.add(invalid("k" + i, "x"));
    }
    leftOut.replaceAll(many);
    assertThat(leftOut.count()).isEqualTo(LeftOutEntries.MAX_ENTRIES);
  }

  /** Guards against a whole page or update that is lost with one entry. */
  @Test
  void anEntryWhoseDecoderFailsInAnyWayIsInvalid() {
    FeedResult.Change<String> failed =
        entry(
            "a",
            (key, content) -> {
              throw new IllegalStateException("odd");
            });
    FeedResult.Change<String> deep =
        entry(
            "b",
            (key, content) -> {
              throw new StackOverflowError();
            });
    assertThat(failed.value()).isEmpty();
    assertThat(failed.defect()).hasValueSatisfying(text -> assertThat(text).contains("odd"));
    assertThat(deep.defect()).contains("java.lang.StackOverflowError");
  }

  /** Guards against odd entries that take the memory of a node and the frames to its followers. */
  @Test
  void theContentOfAnEntryThatIsTooLongIsNotKept() {
    byte[] longContent = new byte[FeedResult.Change.MAX_CONTENT_BYTES + 1];
    FeedResult.Change<String> change =
        FeedResult.Change.decode("a", Optional.of(longContent), (key, bytes) -> Optional.of("v"));
    assertThat(change.value()).isEmpty();
    assertThat(change.defect()).isPresent();
    assertThat(change.content().orElseThrow()).isEmpty();
  }

  /** Guards against log lines that are as long as the odd entry. */
  @Test
  void aReasonIsOneLineOfBoundedLength() {
    assertThat(invalid("a", "first\nsecond").defect()).contains("first");
    assertThat(invalid("a", "x".repeat(5_000)).defect())
        .hasValueSatisfying(text -> assertThat(text).hasSize(200));
  }
}
