package org.gooseberryhook.router.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.gooseberryhook.router.admission.CostModel;
import org.gooseberryhook.router.configuration.Route;

/**
 * Estimates whether a request would end before a stopping node ends those that are left. One that
 * would not is refused, so that its caller tries another node at once; sent on, it could run and
 * its caller would not learn the result.
 *
 * <p>The estimates are high quantiles of the recent times of the route: an unnecessary refusal
 * costs the caller another attempt, but a request that is cut may have an effect that must not be
 * repeated.
 */
final class StopForecast {

  /** Routes whose times are kept; those used least recently are dropped. */
  static final int MAX_ROUTES = 1_024;

  private static final long MICROS_PER_MS = 1_000;

  private final Map<String, RouteTimes> times =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RouteTimes> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  private OptionalLong stopMs = OptionalLong.empty();

  private static final class RouteTimes {
    private final RecentTimes wholeMs = new RecentTimes();
    private final RecentTimes firstEventMs = new RecentTimes();
    private final RecentTimes microsPerToken = new RecentTimes();
  }

  /**
   * Sets when the node ends the requests that are left.
   *
   * @param timeMs monotonic time in milliseconds
   */
  void setStop(long timeMs) {
    stopMs = OptionalLong.of(timeMs);
  }

  /**
   * Records how long a request took from its send to the end of its response.
   *
   * @param route its route
   * @param tookMs time in milliseconds
   */
  void recordServed(Route route, long tookMs) {
    timesOf(route).wholeMs.add(tookMs);
  }

  /**
   * Records that a request had not ended when its time was over. Changes nothing if requests of the
   * route are known to take that long.
   *
   * @param route its route
   * @param sinceSendMs time since its send in milliseconds
   */
  void recordUnfinished(Route route, long sinceSendMs) {
    if (expectedMs(route) < sinceSendMs) {
      recordServed(route, sinceSendMs);
    }
  }

  /**
   * Records how long a stream took that one target served from its first to its last event.
   *
   * @param route its route
   * @param firstEventMs time from the send to the first event in milliseconds
   * @param tookMs time from the send to the end in milliseconds
   * @param tokens number of tokens in the events
   */
  void recordStream(Route route, long firstEventMs, long tookMs, int tokens) {
    recordServed(route, tookMs);
    RouteTimes routeTimes = timesOf(route);
    routeTimes.firstEventMs.add(firstEventMs);
    routeTimes.microsPerToken.add((tookMs - firstEventMs) * MICROS_PER_MS / Math.max(1, tokens));
  }

  /**
   * Returns whether a request that is sent now is likely to end before the node stops.
   *
   * @param route its route
   * @param nowMs monotonic time in milliseconds
   * @return true if the node is not stopping
   */
  boolean mayEnd(Route route, long nowMs) {
    return stopMs.isEmpty() || nowMs + expectedMs(route) <= stopMs.getAsLong();
  }

  /**
   * Returns whether a stream that is sent now is likely to end before the node stops.
   *
   * @param route its route
   * @param metadata what the caller states about the length of the stream
   * @param generatedTokens number of tokens that the caller has received
   * @param nowMs monotonic time in milliseconds
   * @return true if the node is not stopping
   */
  boolean mayStreamEnd(Route route, RequestMetadata metadata, int generatedTokens, long nowMs) {
    return stopMs.isEmpty()
        || nowMs + expectedStreamMs(route, metadata, generatedTokens) <= stopMs.getAsLong();
  }

  /** Returns the expected time of a request, the target latency of a route without known times. */
  private long expectedMs(Route route) {
    RouteTimes known = times.get(route.name());
    return known == null
        ? route.targetLatencyMs()
        : known.wholeMs.high().orElse(route.targetLatencyMs());
  }

  /**
   * Returns the expected time of a stream: that of its tokens if the caller estimates them, else
   * that of the longer recent streams, or less if the caller limits the tokens further.
   */
  private long expectedStreamMs(Route route, RequestMetadata metadata, int generatedTokens) {
    RouteTimes known = times.get(route.name());
    if (known == null || known.firstEventMs.high().isEmpty()) {
      return expectedMs(route);
    }
    OptionalInt estimate = metadata.estimatedOutputTokens();
    double estimatedTokens =
        estimate.isPresent() ? estimate.getAsInt() * CostModel.ESTIMATE_MARGIN : Integer.MAX_VALUE;
    double tokens = Math.min(metadata.maxOutputTokens().orElse(Integer.MAX_VALUE), estimatedTokens);
    double tokensLeft = Math.max(0, tokens - generatedTokens);
    long microsPerToken = known.microsPerToken.high().getAsLong();
    long tokensMs =
        known.firstEventMs.high().getAsLong()
            + (long) (tokensLeft * microsPerToken / MICROS_PER_MS);
    return estimate.isPresent() ? tokensMs : Math.min(tokensMs, expectedMs(route));
  }

  private RouteTimes timesOf(Route route) {
    return times.computeIfAbsent(route.name(), name -> new RouteTimes());
  }
}
