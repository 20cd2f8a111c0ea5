package org.gooseberryhook.transport;

import java.util.List;

/**
 * Result of reading a settings file.
 *
 * @since 0.1
 */
public sealed interface SettingsResult {

  /**
   * The settings are valid.
   *
   * @param settings the settings
   * @since 0.1
   */
  record Loaded(NodeSettings settings) implements SettingsResult {}

  /**
   * The settings are not valid.
   *
   * @param faults all faults that were found, at least one
   * @since 0.1
   */
  record Faulty(List<SettingsFault> faults) implements SettingsResult {

    /** Creates the record; the list is copied. */
    public Faulty {
      faults = List.copyOf(faults);
    }
  }
}
