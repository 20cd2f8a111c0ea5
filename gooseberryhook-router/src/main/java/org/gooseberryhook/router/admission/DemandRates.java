package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;

/** Requests a second that a node receives for each service, averaged over some seconds. */
final class DemandRates {

  /** Time in which an old request loses all but a third of its weight. */
  private static final double MEAN_LIFE_MS = 5_000;

  private static final double MS_PER_SECOND = 1_000;

  /** Maximum number of services that are remembered. */
  private static final int MAX_SERVICES = 1_024;

  private final Map<String, Rate> rates = new HashMap<>();

  private record Rate(double perSecond, long atMs) {
    private double at(long nowMs) {
      return perSecond * Math.exp(-(nowMs - atMs) / MEAN_LIFE_MS);
    }
  }

  void record(String service, long nowMs) {
    if (rates.size() >= MAX_SERVICES && !rates.containsKey(service)) {
      rates.clear();
    }
    rates.put(service, new Rate(perSecond(service, nowMs) + MS_PER_SECOND / MEAN_LIFE_MS, nowMs));
  }

  double perSecond(String service, long nowMs) {
    Rate rate = rates.get(service);
    return rate == null ? 0 : rate.at(nowMs);
  }
}
