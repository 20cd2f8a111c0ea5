package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * Messages that divide the limits of contracts among the nodes. The grantor of a shard of
 * workspaces keeps their budgets; every node that admits requests is a holder, which spends units
 * that grantors have given it. One message carries any number of workspaces.
 *
 * @since 0.1
 */
public sealed interface QuotaMessage extends PeerMessage {

  /**
   * Reports usage to a grantor and requests units from it. A holder sends it periodically while it
   * has anything to report, soon after it refused a request for lack of units, and in response to
   * {@link QuotaTerms}. After sending it, the holder ignores responses to its earlier requests
   * about the same workspaces.
   *
   * @param sequence number that the response repeats; rises with every request of one holder
   * @param needs one entry per workspace
   * @param completeShards shards for which {@code needs} names every workspace whose units or slots
   *     the sender holds, each with the term that the report is for
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaAsk(long sequence, List<Need> needs, List<ShardTerm> completeShards)
      implements QuotaMessage {}

  /**
   * Responds to {@link QuotaAsk}.
   *
   * @param sequence number of the request
   * @param grants one entry per workspace for which the sender is the grantor
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaGiven(long sequence, List<Grant> grants) implements QuotaMessage {}

  /**
   * Announces that the sender is the grantor of shards, and requests a complete report of each. A
   * new grantor repeats it to every node that has not reported yet.
   *
   * @param terms the shards, each with the sender's term
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record QuotaTerms(List<ShardTerm> terms) implements QuotaMessage {}

  /**
   * Shard of workspaces and the term of its grantor.
   *
   * @param shard index of the shard
   * @param term fencing number of the grantor
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ShardTerm(int shard, long term) {}

  /**
   * Holdings, usage and requested units of one holder for one workspace.
   *
   * @param workspaceId id of the workspace
   * @param term fencing number of the grantor whose units are held; 0 if none
   * @param held unspent units that the holder keeps; it returns all other units that it was granted
   * @param spent requests and tokens spent in this term so far; slots in use now
   * @param wanted units requested in addition to those held
   * @param leastTokens minimum useful number of tokens in addition to those held
   * @param corrections corrections that the grantor has not yet acknowledged
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
   * Difference between the units charged at admission and the units actually used.
   *
   * @param firstSequence number of the first request that carried this correction; the grantor
   *     applies the correction once
   * @param stamp stamp of a grant that is not later than the admissions concerned
   * @param requests request units to refund
   * @param tokens token units to refund; negative if more were used than charged
   * @param ran whether the requests ran, so that their tokens were reserved until their end; false
   *     for requests that did not run, which count as never admitted
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Correction(long firstSequence, long stamp, long requests, long tokens, boolean ran) {}

  /**
   * Units that a grantor gives to a holder for one workspace.
   *
   * @param workspaceId id of the workspace
   * @param term fencing number of the grantor
   * @param stamp position in the grantor's ledger, which later corrections repeat
   * @param keepsHeld whether the holder may go on spending the units that it reported as held
   * @param granted additional units; a negative number of slots withdraws idle ones, for example
   *     after a contract was lowered
   * @param retryAfterMs time until more units are likely to be available, in milliseconds
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
