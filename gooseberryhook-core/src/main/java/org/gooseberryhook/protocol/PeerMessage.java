package org.gooseberryhook.protocol;

/**
 * A message between entry nodes. Every message may be lost, duplicated, late or out of order. Each
 * permitted family is a sealed interface whose records are the messages; the simple name of a
 * record identifies it on the wire and never changes.
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
