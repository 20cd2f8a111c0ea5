package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * The limits that targets name in their answers, in requests a second of all nodes together, and
 * the permits of this node to send them requests.
 *
 * <p>Nodes tell each other the limits, so that each keeps to one that another has heard. {@link
 * LimitShare} divides a limit among them. A limit belongs to one life of a target: another target
 * at its address, or a later start, has none.
 *
 * <p>Has no clock and performs no I/O. All times are monotonic and in milliseconds. Used on one
 * thread.
 */
public final class TargetLimits {

  /** Maximum number of targets whose limits are kept; further ones are not limited. */
  static final int MAX_TARGETS = 4_096;

  /**
   * Maximum number of limits in a report. Of the others, a node uses the part that falls to one
   * node.
   */
  static final int MAX_REPORTED = 64;

  /** Time for which the end of a limit is reported to nodes that may still keep to it. */
  static final long ENDED_RETENTION_MS = 10_000;

  /** Factors between which the demand must stay for the reported one to remain as it is. */
  private static final double STABLE_DEMAND_MIN = 0.6;

  private static final double STABLE_DEMAND_MAX = 1.7;

  /** Longest time until the next permit that is stated; shares change meanwhile. */
  private static final long MAX_PERMIT_WAIT_MS = 10_000;

  private static final double MS_PER_SECOND = 1_000;

  private final String self;
  private final Nodes nodes;
  private final RandomGenerator random;
  private final Listener listener;
  private final DemandRates demand = new DemandRates();

  /** Limits in force and those that ended lately, by id of the target. */
  private final Map<String, HeldLimit> heldById = new LinkedHashMap<>();

  private long firstTickMs = Long.MAX_VALUE;
  private long revision;
  private long refusals;

  /** What is known of the other nodes. */
  public interface Nodes {

    /**
     * Returns the nodes that may send requests, whether or not they are heard.
     *
     * @return names of the nodes, this one included
     */
    Collection<String> known();

    /**
     * Returns the time after which what a silent node reported is dropped.
     *
     * @return milliseconds
     */
    long maxReportAgeMs();
  }

  /** Is told when a limit begins, changes or ends. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Handles a change.
     *
     * @param target the target
     * @param before the limit before, in requests a second; empty if there was none
     * @param now what holds now
     * @param source name of the node whose answer or report told so
     * @param share what this node has of the limit; smaller while the other nodes learn of it
     */
    void onChanged(
        TargetEntry target,
        OptionalDouble before,
        LimitObservation now,
        String source,
        LimitShare share);
  }

  /** The limit of one target, with what the nodes claim of it and this node's permits. */
  private static final class HeldLimit {
    private final Map<String, LimitReport> claims = new HashMap<>();
    private final ShareHistory shares = new ShareHistory();
    private TargetEntry target;
    private LimitObservation observation;
    private PermitBucket bucket;
    private double demandPerSecond = LimitShare.MIN_DEMAND_PER_SECOND;
    private LimitShare share = new LimitShare(0, 0);
    private int knownCount;

    /** Whether the share has to be computed again. */
    private boolean isShareStale = true;

    private HeldLimit(TargetEntry target, LimitObservation observation) {
      this.target = target;
      this.observation = observation;
    }

    private void putClaim(String node, LimitReport claim) {
      LimitReport before = claims.put(node, claim);
      isShareStale |=
          before == null
              || before.demandPerSecond() != claim.demandPerSecond()
              || before.sharedDemandPerSecond() != claim.sharedDemandPerSecond();
    }

    private void removeClaim(String node) {
      isShareStale |= claims.remove(node) != null;
    }
  }

  /**
   * Creates an object without limits.
   *
   * @param self name of this node
   * @param nodes what is known of the other nodes
   * @param random spreads the first requests of the nodes over time
   * @param listener is told of changes
   */
  public TargetLimits(String self, Nodes nodes, RandomGenerator random, Listener listener) {
    this.self = self;
    this.nodes = nodes;
    this.random = random;
    this.listener = listener;
  }

  /**
   * Counts a request of a caller, whichever target it is sent to.
   *
   * @param service name of the service
   * @param nowMs the present time
   */
  public void recordRequest(String service, long nowMs) {
    demand.record(service, nowMs);
  }

  /**
   * Handles what an answer of a target says, or does not say, about its limit.
   *
   * @param target the target
   * @param observation what the answer says
   */
  public void onAnswer(TargetEntry target, LimitObservation observation) {
    if (observation.isLimit() || heldById.containsKey(target.id())) {
      merge(target, observation, self);
    }
  }

  /**
   * Replaces what another node reports.
   *
   * @param node name of the node
   * @param reports its reports by id of the target
   * @param listed finds targets by id
   * @param nowMs the present time
   */
  public void onReports(
      String node,
      Map<String, LimitReport> reports,
      Function<String, Optional<TargetEntry>> listed,
      long nowMs) {
    heldById.forEach(
        (id, held) -> {
          if (!reports.containsKey(id)) {
            held.removeClaim(node);
          }
        });
    reports.forEach(
        (id, report) ->
            listed
                .apply(id)
                .filter(target -> target.startedAtMs() == report.startedAtMs())
                .ifPresent(target -> onReport(node, target, report, nowMs)));
  }

  private void onReport(String node, TargetEntry target, LimitReport report, long nowMs) {
    if (report.perSecond().isEmpty() && !heldById.containsKey(target.id())) {
      return;
    }
    merge(
        target,
        new LimitObservation(
            report.perSecond(), nowMs - report.sentAgeMs(), nowMs - report.receivedAgeMs()),
        node);
    HeldLimit held = heldById.get(target.id());
    if (held != null && report.perSecond().isPresent()) {
      held.putClaim(node, report);
    } else if (held != null) {
      held.removeClaim(node);
    }
  }

  /**
   * Forgets the reports of a node that is gone; the limits that it told remain.
   *
   * @param node name of the node
   */
  public void onNodeGone(String node) {
    heldById.values().forEach(held -> held.removeClaim(node));
  }

  private void merge(TargetEntry target, LimitObservation observation, String source) {
    HeldLimit held = heldById.get(target.id());
    boolean isOtherLife = held != null && held.target.startedAtMs() != target.startedAtMs();
    if (isOtherLife) {
      heldById.remove(target.id());
    }
    if (held == null || isOtherLife) {
      if (observation.isLimit() && heldById.size() < MAX_TARGETS) {
        HeldLimit added = new HeldLimit(target, observation);
        heldById.put(target.id(), added);
        onChanged(added, OptionalDouble.empty(), source);
      }
      return;
    }
    OptionalDouble before = held.observation.perSecond();
    held.observation = held.observation.mergedWith(observation);
    if (!before.equals(held.observation.perSecond())) {
      onChanged(held, before, source);
    }
  }

  private void onChanged(HeldLimit held, OptionalDouble before, String source) {
    // What another node told, it has told all: passing it on at once would flood a large fleet.
    revision += source.equals(self) ? 1 : 0;
    held.isShareStale = true;
    if (before.isEmpty()) {
      held.shares.clear();
      held.bucket = null;
    }
    held.share = shareOf(held, held.claims, nodes.known());
    listener.onChanged(held.target, before, held.observation, source, held.share);
  }

  private LimitShare shareOf(
      HeldLimit held, Map<String, LimitReport> claims, Collection<String> known) {
    return LimitShare.of(
        held.target.id(),
        held.observation.perSecond().orElse(0),
        self,
        held.demandPerSecond,
        claims,
        known);
  }

  /**
   * Computes the shares of this node again and adds the permits that have accrued. Must be called
   * often.
   *
   * @param listed finds targets by id; limits of others are forgotten
   * @param isReachable whether this node reaches a target
   * @param nowMs the present time
   */
  public void tick(
      Function<String, Optional<TargetEntry>> listed,
      Predicate<TargetEntry> isReachable,
      long nowMs) {
    firstTickMs = Math.min(firstTickMs, nowMs);
    if (heldById.isEmpty()) {
      return;
    }
    heldById.values().removeIf(held -> isOver(held, listed, nowMs));
    Collection<String> known = nodes.known();
    int number = 0;
    for (HeldLimit held : heldById.values()) {
      boolean isReported = number++ < MAX_REPORTED;
      if (held.observation.isLimit()) {
        updateDemand(held, isReachable.test(held.target), nowMs);
        refill(held, isReported ? held.claims : Map.of(), known, nowMs);
      }
    }
  }

  private static boolean isOver(
      HeldLimit held, Function<String, Optional<TargetEntry>> listed, long nowMs) {
    Optional<TargetEntry> target = listed.apply(held.target.id());
    boolean isSameLife =
        target.filter(t -> t.startedAtMs() == held.target.startedAtMs()).isPresent();
    target.filter(t -> isSameLife).ifPresent(t -> held.target = t);
    boolean hasEndedLongAgo =
        !held.observation.isLimit() && nowMs - held.observation.receivedMs() > ENDED_RETENTION_MS;
    return !isSameLife || hasEndedLongAgo;
  }

  private void updateDemand(HeldLimit held, boolean isReachable, long nowMs) {
    double measured =
        isReachable
            ? Math.max(
                LimitShare.MIN_DEMAND_PER_SECOND, demand.perSecond(held.target.service(), nowMs))
            : 0;
    double ratio = measured / held.demandPerSecond;
    if (!(ratio >= STABLE_DEMAND_MIN && ratio <= STABLE_DEMAND_MAX)) {
      held.demandPerSecond = measured;
      held.isShareStale = true;
    }
  }

  private void refill(
      HeldLimit held, Map<String, LimitReport> claims, Collection<String> known, long nowMs) {
    if (held.isShareStale || held.knownCount != known.size()) {
      held.isShareStale = false;
      held.knownCount = known.size();
      held.share = shareOf(held, claims, known);
    }
    long windowMs = nodes.maxReportAgeMs();
    // After its start, a node may not know yet how many others there are.
    boolean isStarting = nowMs - firstTickMs < windowMs;
    held.shares.add(isStarting ? 0 : held.share.perSecond(), nowMs, windowMs);
    if (held.bucket == null) {
      held.bucket = new PermitBucket(random.nextDouble(), nowMs);
    }
    held.bucket.refill(held.shares.perSecond(), nowMs);
  }

  /**
   * Returns whether a target has a limit.
   *
   * @param target entry of the target
   * @return true if a limit is in force
   */
  public boolean isLimited(TargetEntry target) {
    return findLimited(target).isPresent();
  }

  /**
   * Returns the limit of a target for all nodes together.
   *
   * @param target entry of the target
   * @return requests a second; empty if no limit is in force
   */
  public OptionalDouble limitPerSecond(TargetEntry target) {
    return findLimited(target)
        .map(held -> held.observation.perSecond())
        .orElse(OptionalDouble.empty());
  }

  private Optional<HeldLimit> findLimited(TargetEntry target) {
    if (heldById.isEmpty()) {
      return Optional.empty();
    }
    return Optional.ofNullable(heldById.get(target.id()))
        .filter(held -> held.observation.isLimit())
        .filter(held -> held.target.startedAtMs() == target.startedAtMs());
  }

  /**
   * Returns whether a request may be sent to a target now. Refusals are counted, see {@link
   * #refusalCount}.
   *
   * @param target entry of the target
   * @return true if it has no limit, or this node has a permit
   */
  public boolean hasPermit(TargetEntry target) {
    Optional<HeldLimit> limited = findLimited(target);
    boolean isAllowed =
        limited.isEmpty() || (limited.get().bucket != null && limited.get().bucket.hasPermit());
    refusals += isAllowed ? 0 : 1;
    return isAllowed;
  }

  /**
   * Takes a permit for a request that is about to be sent.
   *
   * @param target entry of the target
   * @return false if the target has a limit and this node has no permit
   */
  public boolean tryTake(TargetEntry target) {
    Optional<HeldLimit> limited = findLimited(target);
    return limited.isEmpty() || (limited.get().bucket != null && limited.get().bucket.tryTake());
  }

  /**
   * Returns a permit that was taken and not used.
   *
   * @param target entry of the target
   */
  public void giveBack(TargetEntry target) {
    findLimited(target)
        .ifPresent(held -> Optional.ofNullable(held.bucket).ifPresent(PermitBucket::giveBack));
  }

  /**
   * Returns how many requests this node may send to a target within a time.
   *
   * @param target entry of the target
   * @param timeMs time from now
   * @return infinite if the target has no limit
   */
  public double permitsWithin(TargetEntry target, long timeMs) {
    Optional<HeldLimit> limited = findLimited(target);
    if (limited.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    return limited.get().bucket == null ? 0 : limited.get().bucket.permitsWithin(timeMs);
  }

  /**
   * Returns the time until this node may send a request to a target. A node without a share states
   * the time in which another node does: callers come back to any of them.
   *
   * @param target entry of the target
   * @return milliseconds; 0 if the target has no limit
   */
  public long msUntilPermit(TargetEntry target) {
    return findLimited(target).map(TargetLimits::msUntilPermit).orElse(0L);
  }

  private static long msUntilPermit(HeldLimit held) {
    double limitPerSecond = held.observation.perSecond().orElseThrow();
    double usualMs = Math.max(1, held.knownCount) * MS_PER_SECOND / limitPerSecond;
    long maxMs = (long) Math.min(MAX_PERMIT_WAIT_MS, usualMs);
    return held.bucket == null ? maxMs : held.bucket.msUntilPermit(maxMs);
  }

  /**
   * Returns what this node reports to the others.
   *
   * @param nowMs the present time
   * @return limits in force and those that ended lately, by id of the target
   */
  public Map<String, LimitReport> reports(long nowMs) {
    if (heldById.isEmpty()) {
      return Map.of();
    }
    Map<String, LimitReport> reports = new HashMap<>();
    List<HeldLimit> reported = new ArrayList<>(heldById.values());
    for (HeldLimit held : reported.subList(0, Math.min(MAX_REPORTED, reported.size()))) {
      LimitObservation observation = held.observation;
      reports.put(
          held.target.id(),
          new LimitReport(
              held.target.startedAtMs(),
              observation.perSecond(),
              Math.min(Integer.MAX_VALUE, nowMs - observation.sentMs()),
              nowMs - observation.receivedMs(),
              held.demandPerSecond,
              held.share.sharedDemandPerSecond()));
    }
    return reports;
  }

  /**
   * Returns a number that grows with each limit that begins, changes or ends by an answer to this
   * node, which the others need to know soon.
   *
   * @return the number
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the number of limits in force.
   *
   * @return number of targets
   */
  public int inForceCount() {
    return (int) heldById.values().stream().filter(held -> held.observation.isLimit()).count();
  }

  /**
   * Returns how often a limited target was left out of a choice for want of a permit.
   *
   * @return number since the start
   */
  public long refusalCount() {
    return refusals;
  }
}
