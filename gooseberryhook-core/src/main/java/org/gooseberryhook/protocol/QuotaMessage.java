package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages between quota holders and grantors.
 *
 * @since 0.1
 */
public sealed interface QuotaMessage extends PeerMessage {

  /**
   * Asks a grantor for units.
   *
   * @param sequence number that the answer repeats
   * @param workspaceId the workspace
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaAsk(long sequence, String workspaceId) implements QuotaMessage {}
}
