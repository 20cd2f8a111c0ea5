package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * The targets to which a request was sent and what is known for certain about each send. Immutable.
 *
 * <p>A target counts towards the attempts of the route once it got the request, unless it has
 * stated that the request did not run, or has shown a later start. A target that does not respond,
 * resets connections or refuses new ones may be alive and still run the request. Further sends to
 * the same target do not count, but are bounded.
 *
 * @param sends the sends that were not refused, in order
 * @param refusals number of sends of which a target has stated that the request did not run
 * @param earlierSends number of targets that got the request from other nodes, which count: from
 *     the one that relayed the request to this one, or from one that was offered it
 */
record SendLedger(List<Send> sends, int refusals, int earlierSends) {

  /** A ledger without sends. */
  static final SendLedger EMPTY = new SendLedger(List.of(), 0, 0);

  /**
   * Number of sends to ended targets that do not count. A request whose targets keep ending may be
   * what ends them.
   */
  static final int MAX_UNCOUNTED_ENDED = 1;

  /**
   * Sends by this node for each attempt that the route allows. A stream whose connections to one
   * target break again and again is not resumed there without end.
   */
  static final int MAX_SENDS_PER_ATTEMPT = 2;

  private static final int MAX_DESCRIBED_SENDS = 8;

  /** What is known about a send that was not refused. */
  enum Verdict {
    /** The target may run the request, or may have run it. */
    POSSIBLY_RUN,
    /** The target has started again; it may have run the request before. */
    ENDED
  }

  /**
   * A send that was not refused.
   *
   * @param target entry of the target as of the send
   * @param verdict what is known about it
   */
  record Send(TargetEntry target, Verdict verdict) {
    private Send ended() {
      return new Send(target, Verdict.ENDED);
    }
  }

  SendLedger {
    sends = List.copyOf(sends);
  }

  /**
   * Returns the ledger of a request that another node has relayed or served before.
   *
   * @param earlierSends number of targets that got it from other nodes and may have run it
   * @return a ledger without sends of this node
   */
  static SendLedger ofRelayed(int earlierSends) {
    return new SendLedger(List.of(), 0, earlierSends);
  }

  /**
   * Adds a send.
   *
   * @param target entry of the target
   * @return the new ledger, never null
   */
  SendLedger withSend(TargetEntry target) {
    Stream<Send> added = Stream.of(new Send(target, Verdict.POSSIBLY_RUN));
    return new SendLedger(Stream.concat(sends.stream(), added).toList(), refusals, earlierSends);
  }

  /**
   * Adds sends of another node that was offered the request and does not serve it any more.
   *
   * @param count number of its targets that may have run the request
   * @return the new ledger, never null
   */
  SendLedger withSendsElsewhere(int count) {
    return new SendLedger(sends, refusals, earlierSends + count);
  }

  /**
   * Records that the target of the last send has stated that the request did not run.
   *
   * @return the new ledger, never null
   * @throws IndexOutOfBoundsException if there is no send
   */
  SendLedger withLastRefused() {
    return new SendLedger(sends.subList(0, sends.size() - 1), refusals + 1, earlierSends);
  }

  /**
   * Records which targets have ended. The verdict on a target that was found to have ended stays.
   *
   * @param hasEnded whether a target, as it was at the send, is known to have ended
   * @return the new ledger, never null
   */
  SendLedger withEnded(Predicate<TargetEntry> hasEnded) {
    return new SendLedger(
        sends.stream().map(send -> hasEnded.test(send.target()) ? send.ended() : send).toList(),
        refusals,
        earlierSends);
  }

  /** Returns the number of all sends. */
  int total() {
    return earlierSends + sends.size() + refusals;
  }

  /** Returns whether there is any send. */
  boolean isSent() {
    return total() > 0;
  }

  /** Returns the number of targets that got the request and did not refuse it, at any node. */
  int possiblyRun() {
    return earlierSends + countTargets(sends.stream());
  }

  /** Counts targets by address and start: a later start at an address is another target. */
  private static int countTargets(Stream<Send> sends) {
    return (int)
        sends
            .map(Send::target)
            .map(target -> Map.entry(target.address(), target.startedAtMs()))
            .distinct()
            .count();
  }

  /** Returns whether any target may have run the request, even if it has ended since. */
  boolean mayHaveRun() {
    return possiblyRun() > 0;
  }

  /**
   * Returns whether the request was sent to a target, which did not refuse it.
   *
   * @param target entry of the target; one of a later start at the same address is another target
   * @return true if one of the sends went there
   */
  boolean wasSentTo(TargetEntry target) {
    return sends.stream()
        .map(Send::target)
        .anyMatch(
            sent ->
                sent.address().equals(target.address())
                    && sent.startedAtMs() == target.startedAtMs());
  }

  /**
   * Returns whether the request may be sent once more.
   *
   * @param maxAttempts number of targets that the route allows; at least one is always allowed
   * @return true if fewer targets than that count, and this node has not sent it too often
   */
  boolean hasAttemptsLeft(int maxAttempts) {
    int allowed = Math.max(1, maxAttempts);
    int ended = countTargets(sends.stream().filter(send -> send.verdict() == Verdict.ENDED));
    return possiblyRun() - Math.min(MAX_UNCOUNTED_ENDED, ended) < allowed
        && sends.size() < MAX_SENDS_PER_ATTEMPT * allowed;
  }

  /**
   * Returns the targets of the sends that were not refused and that are not known to have ended.
   */
  List<TargetEntry> liveTargets() {
    return sends.stream()
        .filter(send -> send.verdict() == Verdict.POSSIBLY_RUN)
        .map(Send::target)
        .toList();
  }

  /**
   * Returns a text of bounded length for the log.
   *
   * @return id, address and verdict of the last sends, then the number of refusals
   */
  String describe() {
    StringJoiner text = new StringJoiner(",");
    List<Send> last = sends.subList(Math.max(0, sends.size() - MAX_DESCRIBED_SENDS), sends.size());
    for (Send send : last) {
      text.add(send.target().id() + "@" + send.target().address() + "=" + send.verdict());
    }
    return text.add("refused=" + refusals).toString();
  }
}
