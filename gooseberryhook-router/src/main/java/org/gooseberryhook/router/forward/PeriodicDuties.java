package org.gooseberryhook.router.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The periodic duties of a node, run one after the other. A duty that fails is logged and runs
 * again the next time; it keeps no other duty from running.
 */
public final class PeriodicDuties implements Runnable {

  private final Map<String, Runnable> duties = new LinkedHashMap<>();
  private final DecisionLog log;
  private final WorkMeter meter;

  /**
   * Creates a list without duties.
   *
   * @param log receives a line for each failure of a duty
   */
  public PeriodicDuties(DecisionLog log) {
    this(log, new WorkMeter());
  }

  /**
   * Creates a list without duties whose time is measured.
   *
   * @param log receives a line for each failure of a duty
   * @param meter measures the duties by their names
   */
  public PeriodicDuties(DecisionLog log, WorkMeter meter) {
    this.log = log;
    this.meter = meter;
  }

  /**
   * Adds a duty, which runs after those that were added before.
   *
   * @param name name of the duty in the log
   * @param duty the duty
   * @return these duties
   */
  public PeriodicDuties add(String name, Runnable duty) {
    duties.put(name, duty);
    return this;
  }

  /** Runs all duties. Throws nothing: the event loop would not run them again. */
  @Override
  public void run() {
    duties.forEach(
        (name, duty) -> {
          try {
            meter.run(name, duty);
          } catch (RuntimeException | Error e) {
            log.recordEvent("duty-failed", "", "duty", name, "error", e);
          }
        });
  }
}
