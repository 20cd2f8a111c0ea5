package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Messages between quota holders and grantors. One message carries any number of workspaces.
 *
 * @since 0.1
 */
public sealed interface QuotaMessage extends PeerMessage {

  /**
   * Reports use to a grantor and asks it for units. By sending it the holder gives up the answers
   * to all its earlier asks about the same workspaces that it has not yet received.
   *
   * @param sequence number that the answer repeats; rises with every ask of one holder
   * @param needs one entry per workspace
   * @param completeShards shards for which {@code needs} names every workspace whose units or slots
   *     the sender has
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaAsk(long sequence, List<Need> needs, List<ShardTerm> completeShards)
      implements QuotaMessage {}

  /**
   * Answers {@link QuotaAsk}.
   *
   * @param sequence number of the ask
   * @param grants one entry per workspace for which the sender is the grantor
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaGiven(long sequence, List<Grant> grants) implements QuotaMessage {}

  /**
   * Tells that the sender is the grantor of shards, and asks for a complete report of each.
   *
   * @param terms the shards
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaTerms(List<ShardTerm> terms) implements QuotaMessage {}

  /**
   * A shard and the term of its grantor.
   *
   * @param shard index of the shard
   * @param term fencing number of the grantor
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ShardTerm(int shard, long term) {}

  /**
   * State and wishes of one holder for one workspace.
   *
   * @param workspaceId the workspace
   * @param term fencing number of the grantor whose units are held; 0 if none
   * @param held unspent units that the holder keeps; whatever else it was given is returned
   * @param spent requests and tokens spent in this term so far; slots in use now
   * @param wanted units asked for in addition to those held
   * @param leastTokens least number of tokens that is of use in addition to those held
   * @param corrections corrections that are not yet acknowledged
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Need(
      String workspaceId,
      long term,
      QuotaUnits held,
      QuotaUnits spent,
      QuotaUnits wanted,
      long leastTokens,
      List<Correction> corrections) {}

  /**
   * Difference between what was charged at admission and what ran.
   *
   * @param firstSequence ask that carried this correction first; it is applied once
   * @param stamp stamp of a grant that is not later than the admissions concerned
   * @param requests request units to give back
   * @param tokens token units to give back; negative for a debt
   * @param ran whether the work ran, so that the tokens were reserved until its end; false for work
   *     that did not run, which counts as never admitted
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Correction(long firstSequence, long stamp, long requests, long tokens, boolean ran) {}

  /**
   * Units for one workspace.
   *
   * @param workspaceId the workspace
   * @param term fencing number of the grantor
   * @param stamp position in the grantor's account, which corrections repeat
   * @param keepsHeld whether the units reported as held stay usable
   * @param granted additional units; a negative number of slots withdraws idle ones after a
   *     contract was lowered
   * @param retryAfterMs time until more units are likely to be free, in milliseconds
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Grant(
      String workspaceId,
      long term,
      long stamp,
      boolean keepsHeld,
      QuotaUnits granted,
      int retryAfterMs) {}
}
