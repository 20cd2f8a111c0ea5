package org.gooseberryhook.coordination;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/**
 * Chained hashes of a prompt's complete blocks. The hash of a block depends on all blocks before
 * it, so equal hashes mean equal prefixes.
 *
 * @param hashes one hash per complete block, in order; must not be modified
 * @param promptBytes length of the prompt in bytes
 * @since 0.1
 */
public record PromptBlocks(long[] hashes, int promptBytes) {

  /** Length of a block, in bytes. */
  public static final int BLOCK_BYTES = 256;

  /**
   * Maximum number of blocks hashed; longer prompts are distinguished only by their first 512 KiB.
   */
  public static final int MAX_BLOCKS = 2048;

  /** A prompt without a complete block. */
  public static final PromptBlocks EMPTY = new PromptBlocks(new long[0], 0);

  /**
   * Hashes a prompt.
   *
   * @param modelId the model; different models share no cache
   * @param modelVersion the version
   * @param prompt the prompt bytes
   * @return the hashes, never null
   */
  public static PromptBlocks of(String modelId, String modelVersion, byte[] prompt) {
    long[] hashes = new long[Math.min(MAX_BLOCKS, prompt.length / BLOCK_BYTES)];
    byte[] name = (modelId + '\n' + modelVersion).getBytes(StandardCharsets.UTF_8);
    long previous = LongHashFunction.xx3().hashBytes(name);
    for (int i = 0; i < hashes.length; i++) {
      previous = LongHashFunction.xx3(previous).hashBytes(prompt, i * BLOCK_BYTES, BLOCK_BYTES);
      hashes[i] = previous;
    }
    return new PromptBlocks(hashes, prompt.length);
  }

  /**
   * Returns the share of the prompt that a number of leading blocks covers.
   *
   * @param blocks number of leading blocks
   * @return a value from 0 to 1
   */
  public double shareOf(int blocks) {
    return promptBytes == 0 ? 0 : Math.min(1.0, (double) blocks * BLOCK_BYTES / promptBytes);
  }
}
