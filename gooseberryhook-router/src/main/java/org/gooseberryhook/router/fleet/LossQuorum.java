package org.gooseberryhook.router.fleet;

/**
 * Decides by the reports of other nodes whether a target is lost to the whole fleet.
 *
 * <p>In a large fleet only a few nodes, its probers, probe a target that fails. Two reports are
 * required because a single node may have lost its own link, and one of them must be that of a
 * prober, because other nodes do not look again. An answer to any node outweighs failures of
 * others.
 */
public final class LossQuorum {

  /** Number of nodes that must report a target as lost. */
  static final int MIN_REPORTING_NODES = 2;

  /**
   * Age up to which an answer to a node that is no prober shows that the target is alive: an
   * interval of objections and two reports, which a fleet of 109 nodes sends every 1.4 s.
   */
  public static final long ANSWER_VALID_MS = 4_000;

  /**
   * Age of the last answer from which a node that got one probes a target again that others report
   * as lost. The answers of targets that only other targets use are seen in no other way.
   */
  public static final long OBJECTION_INTERVAL_MS = 1_000;

  private LossQuorum() {}

  /**
   * What the nodes report about a target. Nodes that lost their links to most targets are not
   * counted.
   *
   * @param reportingNodes number of nodes that fail to reach it
   * @param reportingProbers number of these that are its probers
   * @param answersProber whether a prober reports an answer
   * @param hasAnsweredLately whether it has answered any node within {@link #ANSWER_VALID_MS}
   */
  public record Evidence(
      int reportingNodes, int reportingProbers, boolean answersProber, boolean hasAnsweredLately) {}

  /**
   * Returns whether a target is lost, so that nodes that did not try it must not use it.
   *
   * @param evidence what the nodes report
   * @return true if enough of them fail to reach it and none does
   */
  public static boolean isLost(Evidence evidence) {
    return isReported(evidence) && !evidence.answersProber() && !evidence.hasAnsweredLately();
  }

  /**
   * Returns whether enough nodes report a target as lost, whether or not it answers others.
   *
   * @param evidence what the nodes report
   * @return true for two nodes and more, if a prober is among them
   */
  public static boolean isReported(Evidence evidence) {
    return evidence.reportingNodes() >= MIN_REPORTING_NODES && evidence.reportingProbers() > 0;
  }
}
