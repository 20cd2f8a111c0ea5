package org.gooseberryhook.protocol;

/**
 * Message between entry nodes. A message may be lost, duplicated, delayed or reordered. Each
 * permitted type is a sealed interface whose records are the messages; the simple name of a record
 * identifies it on the wire and must never change.
 *
 * @since 0.1
 */
public sealed interface PeerMessage
    permits ConfigurationMessage,
        CrashMessage,
        MembershipMessage,
        PledgeMessage,
        QuotaMessage,
        TargetMessage {}
