package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.gooseberryhook.state.Member;

/**
 * Messages of failure detection. Claims about members travel inside them.
 *
 * @since 0.1
 */
public sealed interface MembershipMessage extends PeerMessage {

  /** Configuration version of a node that has no trusted configuration yet. */
  long NO_VERSION = -1;

  /**
   * Asks a member for a sign of life.
   *
   * @param sequence number that the answer repeats
   * @param configurationVersion version in force at the sender, or {@link #NO_VERSION}
   * @param viewHash hash of the sender's view of the members
   * @param claims claims about members, bounded
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Probe(long sequence, long configurationVersion, int viewHash, List<Member> claims)
      implements MembershipMessage {
    /** Creates a probe; the claims are copied and must not be null. */
    public Probe {
      claims = List.copyOf(claims);
    }
  }

  /**
   * Answers a probe.
   *
   * @param sequence number of the probe
   * @param configurationVersion version in force at the sender, or {@link #NO_VERSION}
   * @param viewHash hash of the sender's view of the members
   * @param claims claims about members, bounded
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ProbeAnswer(long sequence, long configurationVersion, int viewHash, List<Member> claims)
      implements MembershipMessage {
    /** Creates an answer; the claims are copied and must not be null. */
    public ProbeAnswer {
      claims = List.copyOf(claims);
    }
  }

  /**
   * Asks a peer to probe a member on behalf of the sender.
   *
   * @param sequence number that the answer repeats
   * @param targetAddress the member
   * @param claims claims about members, bounded
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record IndirectProbe(long sequence, String targetAddress, List<Member> claims)
      implements MembershipMessage {
    /** Creates an indirect probe; nothing may be null. */
    public IndirectProbe {
      Objects.requireNonNull(targetAddress, "targetAddress");
      claims = List.copyOf(claims);
    }
  }

  /**
   * Tells that the member of an indirect probe answered.
   *
   * @param sequence number of the indirect probe
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record IndirectAnswer(long sequence) implements MembershipMessage {}

  /**
   * Spreads claims that are new.
   *
   * @param claims claims about members, bounded
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Gossip(List<Member> claims) implements MembershipMessage {
    /** Creates a message; the claims are copied and must not be null. */
    public Gossip {
      claims = List.copyOf(claims);
    }
  }

  /**
   * Introduces the sender and asks for the receiver's whole view.
   *
   * @param self the sender's claim about itself
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Join(Member self) implements MembershipMessage {
    /** Creates a join; the claim must not be null. */
    public Join {
      Objects.requireNonNull(self, "self");
    }
  }

  /**
   * A part of the sender's view.
   *
   * @param members members, bounded; the first part starts with the sender
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record MemberList(List<Member> members) implements MembershipMessage {
    /** Creates a part; the list is copied and must not be null. */
    public MemberList {
      members = List.copyOf(members);
    }
  }
}
