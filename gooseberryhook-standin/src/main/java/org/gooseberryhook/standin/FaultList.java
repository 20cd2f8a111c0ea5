package org.gooseberryhook.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * List of the faults that one stand-in injects. The first fault whose path prefix matches applies
 * to a request. A fault with a count is removed when it has applied to that many requests.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class FaultList {

  private final List<Fault> faults = new ArrayList<>();

  /**
   * Replaces all faults.
   *
   * @param newFaults the faults in order of precedence; empty for none
   */
  public synchronized void set(List<Fault> newFaults) {
    faults.clear();
    faults.addAll(newFaults);
  }

  /**
   * Replaces all faults with one fault.
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
   * Returns the faults that still apply, with their remaining counts.
   *
   * @return a copy, never null
   */
  public synchronized List<Fault> get() {
    return List.copyOf(faults);
  }

  /**
   * Returns the fault that applies to a request and decrements its count.
   *
   * @param path path of the request
   * @return the fault, or {@link Fault#NONE} if none applies
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
