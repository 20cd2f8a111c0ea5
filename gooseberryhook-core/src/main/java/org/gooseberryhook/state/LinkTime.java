package org.gooseberryhook.state;

/**
 * The learned one-way time of the link between two places.
 *
 * @since 0.1
 */
public final class LinkTime {

  private volatile double nanos;

  LinkTime(double firstNanos) {
    nanos = firstNanos;
  }

  public double nanos() {
    return nanos;
  }

  public void setNanos(double value) {
    nanos = value;
  }
}
