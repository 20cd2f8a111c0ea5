package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.gooseberryhook.state.Member;

/**
 * Messages of the failure detector, which also carry claims about members. A claim states the
 * status of one member; the receiver merges it by {@link Member#isOverriding}.
 *
 * @since 0.1
 */
public sealed interface MembershipMessage extends PeerMessage {

  /** Configuration version of a node that has no trusted configuration yet. */
  long NO_VERSION = -1;

  /**
   * Requests a {@link ProbeAnswer} from a member to check that it is alive. Each node sends it to
   * one member per probe period, and also to members whose status is disputed.
   *
   * @param sequence number that the response repeats
   * @param configurationVersion version in force at the sender, or {@link #NO_VERSION}
   * @param viewHash hash of the sender's view of the members, by which the receiver detects a
   *     difference
   * @param claims claims about members, bounded in number
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
   * Responds to {@link Probe}.
   *
   * @param sequence number of the probe
   * @param configurationVersion version in force at the sender, or {@link #NO_VERSION}
   * @param viewHash hash of the sender's view of the members, by which the receiver detects a
   *     difference
   * @param claims claims about members, bounded in number
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ProbeAnswer(long sequence, long configurationVersion, int viewHash, List<Member> claims)
      implements MembershipMessage {
    /** Creates a response; the claims are copied and must not be null. */
    public ProbeAnswer {
      claims = List.copyOf(claims);
    }
  }

  /**
   * Requests that the receiver probe a member on behalf of the sender, after the member has not
   * responded to the sender's own probe in time.
   *
   * @param sequence number of the sender's own probe, which {@link IndirectAnswer} repeats
   * @param targetAddress peer address of the member to probe
   * @param claims claims about members, bounded in number
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
   * Reports to the sender of an {@link IndirectProbe} that the member has responded. There is no
   * message for a member that has not.
   *
   * @param sequence number of the indirect probe
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record IndirectAnswer(long sequence) implements MembershipMessage {}

  /**
   * Carries claims independently of probes: recent claims to a random member, or one claim to a
   * node whose own claim is outdated.
   *
   * @param claims claims about members, bounded in number
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
   * Introduces the sender and requests the receiver's whole view, which arrives as {@link
   * MemberList} messages. A node sends it when it starts, when it finds that its view differs from
   * the receiver's, and after it has refuted a claim.
   *
   * @param self the sender's claim about itself
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Join(Member self) implements MembershipMessage {
    /** Creates a message; the claim must not be null. */
    public Join {
      Objects.requireNonNull(self, "self");
    }
  }

  /**
   * Carries a part of the sender's view of the members in response to {@link Join}.
   *
   * @param members the members, bounded in number; the first part starts with the sender
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
