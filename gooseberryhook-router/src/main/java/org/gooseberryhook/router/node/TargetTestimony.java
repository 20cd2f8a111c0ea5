package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gooseberryhook.router.fleet.LossQuorum;
import org.gooseberryhook.router.fleet.ProbeSchedule;
import org.gooseberryhook.router.fleet.RefusalReview;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * What the nodes tell each other about targets that one of them suspects: which nodes fail to reach
 * a target, and which it answers. Reviews refused connections by that.
 */
final class TargetTestimony {

  private final ProberSelection probers;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Predicate<String> isSuspect;
  private final Predicate<String> isSlow;
  private final Predicate<TargetEntry> hasLaterStart;

  /** Suspects that other nodes last reported, by name of the node. */
  private final Map<String, Set<String>> suspectsByPeer = new HashMap<>();

  /** The names of the nodes that reported a suspect last, by its address. */
  private final Map<String, Set<String>> nodesBySuspect = new HashMap<>();

  /** Times of the last answers of suspects to other nodes, by name of the node and by address. */
  private final Map<String, Map<String, Long>> answersByPeerMs = new HashMap<>();

  /** Times of the last answers of targets that are slow or that another node suspects. */
  private final Map<String, Long> answersMs = new HashMap<>();

  /** Times of the first answers of targets since another node last began to suspect them. */
  private final Map<String, Long> objectionsMs = new HashMap<>();

  /** Addresses of suspects of this node that another one has reported as well. */
  private final Set<String> peerReportedSuspects = new HashSet<>();

  private final List<OpenReview> reviews = new ArrayList<>();

  /** A review of a refusal that has no result yet; one for all requests that met it. */
  private static final class OpenReview {
    private final RefusalReview review;
    private final List<Consumer<Boolean>> listeners = new ArrayList<>();
    private long answeredMs = RefusalReview.NO_ANSWER_MS;

    OpenReview(RefusalReview review) {
      this.review = review;
    }
  }

  /**
   * Creates an object without testimony.
   *
   * @param probers the other nodes, and which of them probe a target for all
   * @param clock monotonic clock
   * @param log log of the node
   * @param isSuspect whether this node suspects the target at an address
   * @param isSlow whether the target at an address is slow
   * @param hasLaterStart whether a target has shown a later start than the given entry
   */
  TargetTestimony(
      ProberSelection probers,
      MonotonicClock clock,
      DecisionLog log,
      Predicate<String> isSuspect,
      Predicate<String> isSlow,
      Predicate<TargetEntry> hasLaterStart) {
    this.probers = probers;
    this.clock = clock;
    this.log = log;
    this.isSuspect = isSuspect;
    this.isSlow = isSlow;
    this.hasLaterStart = hasLaterStart;
  }

  /** Reviews a refusal of a target; the listener gets the result when there is one. */
  void review(TargetEntry target, Consumer<Boolean> onReviewed) {
    // Reviews that an answer has decided are closed first: it came before this refusal.
    evaluateReviews();
    findOpenReview(target).listeners.add(onReviewed);
    evaluateReviews();
  }

  private OpenReview findOpenReview(TargetEntry target) {
    for (OpenReview open : reviews) {
      TargetEntry reviewed = open.review.target();
      if (reviewed.id().equals(target.id()) && reviewed.startedAtMs() == target.startedAtMs()) {
        return open;
      }
    }
    OpenReview opened = new OpenReview(new RefusalReview(target, clock.nowMs()));
    reviews.add(opened);
    return opened;
  }

  /** Closes the reviews that have a result by now, and tells those that wait for it. */
  void evaluateReviews() {
    for (OpenReview open : List.copyOf(reviews)) {
      String address = open.review.target().address();
      RefusalReview.Evidence evidence =
          new RefusalReview.Evidence(
              hasLaterStart.test(open.review.target()),
              Math.max(open.answeredMs, lastAnswerToPeersMs(address)),
              probers.otherCount(),
              failingPeers(address));
      RefusalReview.Verdict verdict = open.review.evaluate(evidence, clock.nowMs());
      boolean isOver = verdict != RefusalReview.Verdict.OPEN;
      if (isOver || open.review.isExpired(clock.nowMs())) {
        reviews.remove(open);
        log.recordEvent(
            "refusal-reviewed",
            "",
            "target",
            address,
            "verdict",
            verdict,
            "evidence",
            evidence,
            "afterMs",
            clock.nowMs() - open.review.refusedMs());
      }
      if (isOver) {
        open.listeners.forEach(l -> l.accept(verdict == RefusalReview.Verdict.ENDED));
      }
    }
  }

  private boolean isSuspectedByPeer(String address) {
    return nodesBySuspect.containsKey(address);
  }

  /** Returns how many other nodes fail to reach a target; one that answers them is only slow. */
  private int failingPeers(String address) {
    return (int) nodesSuspecting(address).stream().filter(node -> !answers(node, address)).count();
  }

  private boolean answers(String node, String address) {
    return answersByPeerMs.getOrDefault(node, Map.of()).containsKey(address);
  }

  /**
   * Returns what the nodes with links report about a target. This node counts as one of them if it
   * suspects the target itself.
   */
  LossQuorum.Evidence evidence(String address) {
    Set<String> chosen = probers.probers(address);
    Set<String> failing = new HashSet<>(nodesSuspecting(address));
    failing.removeIf(node -> answers(node, address) || !probers.hasLinks(node));
    if (isSuspect.test(address)) {
      failing.add(probers.self());
    }
    int failingProbers = (int) failing.stream().filter(chosen::contains).count();
    boolean answersProber = chosen.stream().anyMatch(node -> answers(node, address));
    boolean answersHere = chosen.contains(probers.self()) && answersMs.containsKey(address);
    return new LossQuorum.Evidence(
        failing.size(), failingProbers, answersProber || answersHere, hasAnsweredLately(address));
  }

  private boolean hasAnsweredLately(String address) {
    return hasAnsweredAnySince(address, clock.nowMs() - LossQuorum.ANSWER_VALID_MS);
  }

  private boolean hasAnsweredAnySince(String address, long validSinceMs) {
    return hasAnsweredSince(address, validSinceMs)
        || answersByPeerMs.values().stream()
            .anyMatch(
                answers ->
                    answers.getOrDefault(address, RefusalReview.NO_ANSWER_MS) >= validSinceMs);
  }

  /**
   * Returns whether this node should find out whether a target still answers it that others report
   * as lost. The nodes that may do so follow each other until one of them reports an answer.
   */
  boolean mustObjectAgain(String address) {
    if (!answersMs.containsKey(address) || !LossQuorum.isReported(evidence(address))) {
      return false;
    }
    long delayMs =
        LossQuorum.OBJECTION_INTERVAL_MS + ProbeSchedule.deferralMs(probers.rank(address));
    return !hasAnsweredAnySince(address, clock.nowMs() - delayMs);
  }

  /** Returns whether another node with links reports that it fails to reach a target. */
  boolean isReportedLost(String address) {
    return nodesSuspecting(address).stream()
        .anyMatch(node -> probers.hasLinks(node) && !answers(node, address));
  }

  /** Returns the addresses that several nodes suspect or find slow, this one included. */
  Set<String> oftenReportedAddresses() {
    Set<String> addresses = new HashSet<>();
    nodesBySuspect.forEach(
        (address, nodes) -> {
          if (nodes.size() > 1 || isSuspect.test(address)) {
            addresses.add(address);
          }
        });
    return addresses;
  }

  /** Returns whether a prober of a target reports an answer that it got since a time. */
  boolean hasAnsweredProberSince(String address, long sinceMs) {
    return probers.probers(address).stream()
        .map(node -> answersByPeerMs.getOrDefault(node, Map.of()).get(address))
        .anyMatch(answeredMs -> answeredMs != null && answeredMs >= sinceMs);
  }

  private long lastAnswerToPeersMs(String address) {
    return answersByPeerMs.values().stream()
        .mapToLong(answers -> answers.getOrDefault(address, RefusalReview.NO_ANSWER_MS))
        .max()
        .orElse(RefusalReview.NO_ANSWER_MS);
  }

  /** Notes that a target has answered this node, under the start that the list shows. */
  void onAnswered(String address) {
    for (OpenReview open : reviews) {
      if (open.review.target().address().equals(address)) {
        open.answeredMs = clock.nowMs();
      }
    }
    boolean isReported = isSlow.test(address) || isSuspectedByPeer(address);
    if (isReported && !isSuspect.test(address)) {
      answersMs.put(address, clock.nowMs());
      objectionsMs.putIfAbsent(address, clock.nowMs());
    }
  }

  /** Returns the times since the last answers of targets that are slow or suspected by others. */
  Map<String, Long> answerAgesMs() {
    Map<String, Long> agesMs = new HashMap<>();
    answersMs.forEach((address, answeredMs) -> agesMs.put(address, clock.nowMs() - answeredMs));
    return agesMs;
  }

  /**
   * Returns what this node tells at once about the suspects of others: since when they answer, or
   * that they do not. Only a few nodes do that for each target.
   */
  Map<String, Long> urgentAnswers() {
    Map<String, Long> testimony = new HashMap<>();
    if (suspectsByPeer.isEmpty()) {
      return testimony;
    }
    for (String address : nodesBySuspect.keySet()) {
      boolean isKnown = objectionsMs.containsKey(address) || isSuspect.test(address);
      if (isKnown && probers.isProber(address)) {
        testimony.put(address, objectionsMs.getOrDefault(address, RefusalReview.NO_ANSWER_MS));
      }
    }
    return testimony;
  }

  private void forgetUnreportedAnswers() {
    answersMs.keySet().removeIf(address -> !isSlow.test(address) && !isSuspectedByPeer(address));
    objectionsMs.keySet().retainAll(answersMs.keySet());
  }

  /** Returns the names of the other nodes that suspect a target, or find it slow. */
  Set<String> nodesSuspecting(String address) {
    return nodesBySuspect.getOrDefault(address, Set.of());
  }

  /** Returns whether a suspect answers another node. */
  boolean answersOtherNode(String address) {
    return lastAnswerToPeersMs(address) != RefusalReview.NO_ANSWER_MS;
  }

  /** Returns those of this node's suspects that no other node has reported since. */
  Set<String> unreported(Collection<String> suspects) {
    Set<String> unreported = new HashSet<>(suspects);
    peerReportedSuspects.retainAll(unreported);
    unreported.removeAll(peerReportedSuspects);
    return unreported;
  }

  /** Returns the suspects that a node last reported. */
  Set<String> suspectsOf(String node) {
    return suspectsByPeer.getOrDefault(node, Set.of());
  }

  /** Applies what a node reports: its suspects, and the times since the answers of others' ones. */
  void onReport(String node, List<String> suspects, Map<String, Long> answerAgesMs) {
    Map<String, Long> peerAnswersMs = new HashMap<>();
    answerAgesMs.forEach(
        (address, ageMs) -> peerAnswersMs.put(address, clock.nowMs() - Math.max(0, ageMs)));
    peerReportedSuspects.addAll(suspects);
    replaceSuspects(node, Set.copyOf(suspects));
    answersByPeerMs.put(node, peerAnswersMs);
    answersByPeerMs.values().removeIf(Map::isEmpty);
    forgetUnreportedAnswers();
    evaluateReviews();
  }

  private void replaceSuspects(String node, Set<String> suspects) {
    Set<String> before = suspectsOf(node);
    for (String address : before) {
      Set<String> nodes = nodesBySuspect.get(address);
      if (!suspects.contains(address) && nodes.remove(node) && nodes.isEmpty()) {
        nodesBySuspect.remove(address);
      }
    }
    suspects.forEach(a -> nodesBySuspect.computeIfAbsent(a, k -> new HashSet<>()).add(node));
    suspectsByPeer.put(node, suspects);
    suspectsByPeer.values().removeIf(Set::isEmpty);
  }

  /** Notes that another node began to suspect a target, so that only later answers object. */
  void onNewSuspicion(String address) {
    objectionsMs.remove(address);
  }

  /** Notes that this node fails to reach a target. */
  void onFailure(String address) {
    answersMs.remove(address);
    objectionsMs.remove(address);
  }

  /** Returns whether a target has answered this node since a time. */
  boolean hasAnsweredSince(String address, long sinceMs) {
    return answersMs.getOrDefault(address, RefusalReview.NO_ANSWER_MS) >= sinceMs;
  }

  /** Forgets what a node that is gone reported. */
  void onPeerGone(String node) {
    replaceSuspects(node, Set.of());
    answersByPeerMs.remove(node);
    forgetUnreportedAnswers();
  }

  /** Forgets the targets that are no longer listed. */
  void retainListed(Set<String> listed) {
    answersMs.keySet().retainAll(listed);
    objectionsMs.keySet().retainAll(listed);
  }
}
