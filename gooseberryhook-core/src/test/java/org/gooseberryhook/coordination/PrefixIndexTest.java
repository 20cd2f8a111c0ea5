package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.gooseberryhook.coordination.PrefixIndex.CacheEvent;
import org.gooseberryhook.coordination.PrefixIndex.Hit;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {

  private static final long[] NONE = {};

  /**
   * Guards against wrong prefix lengths, wrong pipelines and late events that restore removed
   * blocks.
   */
  @Test
  void hitsEqualThoseOfANaiveMap() {
    assertThat(countDifferences(false)).isZero();
  }

  /** Checks that the test above detects an index that treats late events as new. */
  @Test
  void anIndexThatAppliesLateStoresIsCaught() {
    assertThat(countDifferences(true)).isPositive();
  }

  /** Guards against unbounded growth and against eviction of blocks that are in use. */
  @Test
  void theIndexIsBoundedAndKeepsBlocksInUse() {
    PrefixIndex index = new PrefixIndex(6_400);
    long[] used = prompt(0, 20).hashes();
    index.store("p", used, 0);
    for (int i = 1; i < 2_000; i++) {
      index.store("p", prompt(i, 20).hashes(), i);
      assertThat(index.find(used, i)).containsExactly(new Hit("p", 20, 1));
    }
    assertThat(index.size()).isLessThanOrEqualTo(6_400).isGreaterThan(6_000);
  }

  /** Guards against full trust in entries whose removal may have been in a lost event. */
  @Test
  void aGapLowersTheTrustInEntriesFromBeforeIt() {
    PrefixIndex index = new PrefixIndex();
    long[] before = prompt(1, 3).hashes();
    long[] after = prompt(2, 3).hashes();
    index.onCacheEvent("p", new CacheEvent("t", 1, before, NONE), 10);
    index.onCacheEvent("p", new CacheEvent("t", 5, after, NONE), 20);
    assertThat(index.find(before, 30)).containsExactly(new Hit("p", 3, 0.5));
    assertThat(index.find(after, 30)).containsExactly(new Hit("p", 3, 1));
    index.removePipelines(List.of("p"));
    assertThat(index.find(after, 30)).isEmpty();
  }

  private static int countDifferences(boolean isTreatingLateEventsAsNew) {
    Random random = new Random(17);
    PrefixIndex index = new PrefixIndex();
    Map<Long, Set<String>> naive = new HashMap<>();
    Map<String, Long> sequences = new HashMap<>();
    int differences = 0;
    for (int step = 0; step < 20_000; step++) {
      String pipelineId = "p" + random.nextInt(4);
      long[] hashes = prompt(random.nextInt(30), 1 + random.nextInt(6)).hashes();
      int action = random.nextInt(4);
      if (action == 0) {
        index.store(pipelineId, hashes, step);
        add(naive, pipelineId, hashes);
      } else if (action == 1) {
        long[] removed = {hashes[hashes.length - 1]};
        long sequence = sequences.merge(pipelineId, 1L, Long::sum);
        index.onCacheEvent(pipelineId, new CacheEvent("t", sequence, NONE, removed), step);
        naive.getOrDefault(removed[0], new HashSet<>()).remove(pipelineId);
      } else if (action == 2 && sequences.containsKey(pipelineId)) {
        long late = sequences.get(pipelineId) + (isTreatingLateEventsAsNew ? 1 : 0);
        index.onCacheEvent(pipelineId, new CacheEvent("t", late, hashes, NONE), step);
      }
      long[] wanted = prompt(random.nextInt(30), 6).hashes();
      Set<String> found = new HashSet<>();
      index.find(wanted, step).forEach(hit -> found.add(hit.pipelineId() + hit.blockCount()));
      differences += found.equals(find(naive, wanted)) ? 0 : 1;
    }
    return differences;
  }

  private static void add(Map<Long, Set<String>> naive, String pipelineId, long[] hashes) {
    for (long hash : hashes) {
      naive.computeIfAbsent(hash, key -> new HashSet<>()).add(pipelineId);
    }
  }

  private static Set<String> find(Map<Long, Set<String>> naive, long[] hashes) {
    Set<String> found = new HashSet<>();
    for (int p = 0; p < 4; p++) {
      int length = 0;
      while (length < hashes.length
          && naive.getOrDefault(hashes[length], Set.of()).contains("p" + p)) {
        length++;
      }
      if (length > 0) {
        found.add("p" + p + length);
      }
    }
    return found;
  }

  /** Returns a prompt that shares its first two blocks with a third of all prompts. */
  private static PromptBlocks prompt(int number, int blocks) {
    byte[] bytes = new byte[blocks * PromptBlocks.BLOCK_BYTES];
    bytes[0] = (byte) (number % 3);
    for (int i = 2 * PromptBlocks.BLOCK_BYTES; i < bytes.length; i += PromptBlocks.BLOCK_BYTES) {
      bytes[i] = (byte) number;
      bytes[i + 1] = (byte) (number >> 8);
    }
    return PromptBlocks.of("m", "1", bytes);
  }
}
