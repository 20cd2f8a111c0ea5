package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.state.LayerRange;

/** Targets and an engine profile for tests. */
public final class TestFleet {

  /** Profile of an 80-layer model on three kinds of accelerators. */
  public static final EngineProfile PROFILE =
      new EngineProfile(
          134,
          1_315_343,
          1.02,
          0.01023,
          0.0137,
          105_000,
          0.309,
          512,
          3,
          80,
          1_750,
          14_000,
          5,
          774,
          204,
          65_767,
          22_000,
          Map.of(
              "large", new AcceleratorKind("large", 72_000, 2.4, 3.2),
              "middle", new AcceleratorKind("middle", 43_200, 5.6, 2.7),
              "small", new AcceleratorKind("small", 21_600, 16, 8.2)));

  /** Profile of engines that read prompts faster and keep less memory for each token. */
  public static final EngineProfile FAST_PREFILL_PROFILE =
      new EngineProfile(
          134,
          845_400,
          1.02,
          0.00658,
          0.00881,
          164_000,
          0.199,
          512,
          5,
          80,
          1_750,
          14_000,
          5,
          774,
          204,
          42_270,
          8_800,
          PROFILE.acceleratorKinds());

  private TestFleet() {}

  /**
   * Returns the entry of an engine.
   *
   * @param number number from which its id and address are formed, below 250
   * @param dataCentre name of its data centre
   * @param kind name of its kind of accelerator
   * @param layers first layer and end (exclusive); null or none for an engine without layers
   * @return the entry
   */
  public static TargetEntry engine(int number, String dataCentre, String kind, int... layers) {
    return new TargetEntry(
        "t-" + number,
        "model",
        String.format("10.0.0.%03d:80", number),
        dataCentre,
        134,
        false,
        kind,
        layers == null || layers.length == 0
            ? Optional.empty()
            : Optional.of(LayerRange.of(layers[0], layers[1])),
        1,
        1);
  }

  /**
   * Returns engines without layers in three data centres: 4 large, 11 middle and 18 small ones.
   *
   * @return the entries
   */
  public static List<TargetEntry> emptyFleet() {
    List<TargetEntry> fleet = new ArrayList<>();
    addEngines(fleet, "a", 2, 2, 5);
    addEngines(fleet, "b", 1, 3, 8);
    addEngines(fleet, "c", 1, 6, 5);
    return fleet;
  }

  /**
   * Returns engines without layers in one data centre.
   *
   * @param large number of large engines
   * @param middle number of middle engines
   * @param small number of small engines
   * @return the entries
   */
  public static List<TargetEntry> emptyDataCentre(int large, int middle, int small) {
    List<TargetEntry> engines = new ArrayList<>();
    addEngines(engines, "a", large, middle, small);
    return engines;
  }

  private static void addEngines(
      List<TargetEntry> fleet, String dataCentre, int large, int middle, int small) {
    for (int i = 0; i < large; i++) {
      fleet.add(engine(fleet.size(), dataCentre, "large"));
    }
    for (int i = 0; i < middle; i++) {
      fleet.add(engine(fleet.size(), dataCentre, "middle"));
    }
    for (int i = 0; i < small; i++) {
      fleet.add(engine(fleet.size(), dataCentre, "small"));
    }
  }
}
