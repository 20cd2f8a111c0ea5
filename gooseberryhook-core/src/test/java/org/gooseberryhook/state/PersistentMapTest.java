package org.gooseberryhook.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class PersistentMapTest {

  /**
   * Guards against entries lost when several keys share a bucket, and against changes of a copy
   * that become visible in the map from which it was made.
   */
  @Property(tries = 200, seed = "20264")
  void behavesAsACopiedHashMap(
      @ForAll @Size(max = 300) List<@IntRange(min = -400, max = 400) Integer> steps) {
    PersistentMap<Integer> map = PersistentMap.of();
    Map<String, Integer> expected = new HashMap<>();
    PersistentMap<Integer> older = map;
    Map<String, Integer> olderExpected = Map.of();
    for (int i = 0; i < steps.size(); i++) {
      // Pairs such as "Aa" and "BB" have equal hash codes and share a bucket.
      String key = keyOf(Math.abs(steps.get(i)) / 8);
      if (steps.get(i) < 0) {
        map = map.without(key);
        expected.remove(key);
      } else {
        map = map.with(key, i);
        expected.put(key, i);
      }
      if (i == steps.size() / 2) {
        older = map;
        olderExpected = new HashMap<>(expected);
      }
    }
    assertThat(map).isEqualTo(expected).hasSize(expected.size());
    assertThat(older).isEqualTo(olderExpected);
  }

  private static String keyOf(int number) {
    StringBuilder key = new StringBuilder();
    for (int bit = 0; bit < 6; bit++) {
      key.append((number >> bit & 1) == 0 ? "Aa" : "BB");
    }
    return key.toString();
  }
}
