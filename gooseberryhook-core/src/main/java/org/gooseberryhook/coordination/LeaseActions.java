package org.gooseberryhook.coordination;

import java.util.List;

/**
 * Calls and messages that the caller of a {@link DutyLeaseKeeper} must send.
 *
 * @param calls calls to the table service
 * @param messages messages to other nodes
 * @since 0.1
 */
public record LeaseActions(List<TableCall> calls, List<OutgoingMessage> messages) {}
