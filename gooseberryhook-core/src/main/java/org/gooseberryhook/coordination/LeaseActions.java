package org.gooseberryhook.coordination;

import java.util.List;

/**
 * What a lease keeper wants done.
 *
 * @param calls calls to the table service
 * @param messages messages to other nodes
 * @since 0.1
 */
public record LeaseActions(List<TableCall> calls, List<OutgoingMessage> messages) {}
