package org.gooseberryhook.router.node;

import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/** Withdraws the crashes that were counted for targets which were only out of reach. */
record CrashWithdrawal(CrashCauses crashCauses, MonotonicClock clock, DecisionLog log)
    implements ListedStarts.AliveListener {

  @Override
  public void onAlive(String address, long sinceMs) {
    int count =
        crashCauses.withdrawCrashes(CrashCauses.targetHash(address), sinceMs, clock.nowMs());
    if (count > 0) {
      log.recordEvent("crashes-withdrawn", "", "target", address, "observations", count);
    }
  }
}
