package org.gooseberryhook.load;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import org.gooseberryhook.load.Experiment.ModelShape;

/** Generates prompts from the seed: a shared prefix, if the shape has any, and unique text. */
final class PromptGenerator {

  private static final List<String> WORDS =
      List.of(
          "ramp", "rise", "quote", "site", "sheet", "dealer", "reply", "carton", "door", "path");

  /** Odd multiplier that gives consecutive requests unrelated random seeds. */
  private static final long NUMBER_FACTOR = 0xD1B54A32D192ED03L;

  private final long seed;
  private final Map<ModelShape, List<String>> prefixes = new ConcurrentHashMap<>();

  PromptGenerator(long seed) {
    this.seed = seed;
  }

  String promptOf(ModelShape shape, long number) {
    SplittableRandom random = new SplittableRandom(seed ^ ((number + 1) * NUMBER_FACTOR));
    StringBuilder prompt = new StringBuilder(shape.promptChars());
    if (shape.prefixCount() > 0) {
      List<String> shared = prefixes.computeIfAbsent(shape, this::makePrefixes);
      prompt.append(shared.get(random.nextInt(shared.size())));
    }
    // The number makes every prompt unique even if the words are the same.
    prompt.append('#').append(number).append(' ');
    fill(prompt, random, shape.promptChars());
    return prompt.toString();
  }

  private List<String> makePrefixes(ModelShape shape) {
    SplittableRandom random = new SplittableRandom(seed + shape.prefixChars());
    return IntStream.range(0, shape.prefixCount())
        .mapToObj(
            i -> {
              StringBuilder prefix = new StringBuilder(i + " ");
              fill(prefix, random, shape.prefixChars());
              return prefix.toString();
            })
        .toList();
  }

  private static void fill(StringBuilder text, SplittableRandom random, int chars) {
    while (text.length() < chars) {
      text.append(WORDS.get(random.nextInt(WORDS.size()))).append(' ');
    }
  }
}
