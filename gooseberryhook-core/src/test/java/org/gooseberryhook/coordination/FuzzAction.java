package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** One action of a run; the meaning of {@code a}, {@code b} and {@code c} depends on the kind. */
record FuzzAction(long atMs, Kind kind, int a, int b, int c) {

  private static final int ACTIONS = 110;

  /** Kinds of actions. */
  enum Kind {
    CALLS,
    CRASHING_CALL,
    BURST,
    ONCE,
    KILL,
    PAUSE,
    PARTITION,
    LOSS,
    TABLE_UNAVAILABLE,
    TABLE_FAULTS,
    EDIT,
    STOP_NODE,
    STOP_TARGET,
    KILL_TARGET,
    ENGINE_FAULTS
  }

  /**
   * Draws the actions of a seed. Each seed has its own share of faults and omits about half of the
   * kinds, because a run with all of them at once rarely gets far enough to exceed a bound.
   */
  static List<FuzzAction> of(long seed) {
    SplittableRandom random = new SplittableRandom(~seed);
    List<Kind> kinds = new ArrayList<>(List.of(Kind.values()));
    kinds.removeIf(kind -> random.nextBoolean());
    int faultPercent = kinds.isEmpty() ? 0 : random.nextInt(40);
    List<FuzzAction> actions = new ArrayList<>();
    for (int i = 0; i < ACTIONS; i++) {
      int dice = random.nextInt(100);
      Kind drawn = random.nextInt(4) > 0 ? Kind.CALLS : Kind.ONCE;
      Kind kind = dice < faultPercent ? kinds.get(random.nextInt(kinds.size())) : drawn;
      long atMs = FuzzWorld.START_MS + random.nextLong(FuzzWorld.ACTIVE_MS);
      actions.add(
          new FuzzAction(
              atMs, kind, random.nextInt(1000), random.nextInt(1000), random.nextInt(1000)));
    }
    actions.sort(Comparator.comparingLong(FuzzAction::atMs));
    return actions;
  }
}
