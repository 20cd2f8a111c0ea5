package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages that spread configuration.
 *
 * @since 0.1
 */
public sealed interface ConfigurationMessage extends PeerMessage {

  /**
   * Asks for the log entries after a version.
   *
   * @param afterVersion last version that the sender has applied
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigPull(long afterVersion) implements ConfigurationMessage {}
}
