package org.gooseberryhook.load;

import java.util.SplittableRandom;

/**
 * Assignment of time blocks to the variants of a comparison. A round has as many blocks as there
 * are variants and runs each variant once, in an order drawn from the seed, so that a drift of the
 * machine's speed affects all variants alike.
 */
final class BlockSchedule {

  /** Odd multiplier that gives consecutive rounds unrelated random seeds. */
  private static final long ROUND_FACTOR = 0x9E3779B97F4A7C15L;

  private final long seed;
  private final int variantCount;
  private final long blockNanos;

  BlockSchedule(long seed, int variantCount, long blockNanos) {
    this.seed = seed;
    this.variantCount = variantCount;
    this.blockNanos = blockNanos;
  }

  /** Returns the block, counted from 0, that a time since the start falls in. */
  int blockAt(long atNanos) {
    return (int) (atNanos / blockNanos);
  }

  /** Returns the index of the variant that a block runs. */
  int variantOf(int block) {
    return orderOf(block / variantCount)[block % variantCount];
  }

  private int[] orderOf(int round) {
    SplittableRandom random = new SplittableRandom(seed ^ ((round + 1) * ROUND_FACTOR));
    int[] order = new int[variantCount];
    for (int i = 0; i < variantCount; i++) {
      int other = random.nextInt(i + 1);
      order[i] = order[other];
      order[other] = i;
    }
    return order;
  }
}
