package org.gooseberryhook.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * The faults of one stand-in. Each request meets the first fault in the list whose path matches; a
 * fault with a count leaves the list when the count is used up.
 *
 * @since 0.1
 */
public final class FaultList {

  private final List<Fault> faults = new ArrayList<>();

  /**
   * Replaces all faults.
   *
   * @param newFaults the faults in the order in which they are met; empty for none
   */
  public synchronized void set(List<Fault> newFaults) {
    faults.clear();
    faults.addAll(newFaults);
  }

  /**
   * Replaces all faults by one.
   *
   * @param fault the fault
   */
  public void set(Fault fault) {
    set(List.of(fault));
  }

  /** Removes all faults. */
  public void clear() {
    set(List.of());
  }

  /**
   * Returns the faults that are left.
   *
   * @return a copy, never null
   */
  public synchronized List<Fault> get() {
    return List.copyOf(faults);
  }

  /**
   * Takes the fault of a request.
   *
   * @param path path of the request
   * @return the fault, or {@link Fault#NONE}
   */
  synchronized Fault take(String path) {
    for (int i = 0; i < faults.size(); i++) {
      Fault fault = faults.get(i);
      if (path.startsWith(fault.pathPrefix())) {
        countDown(i, fault);
        return fault;
      }
    }
    return Fault.NONE;
  }

  private void countDown(int index, Fault fault) {
    if (fault.count() == 1) {
      faults.remove(index);
    } else if (fault.count() > 1) {
      faults.set(
          index, new Fault(fault.kind(), fault.delayMs(), fault.count() - 1, fault.pathPrefix()));
    }
  }
}
