package org.gooseberryhook.state;

/**
 * Learned one-way latency of the network link between two data centres, in nanoseconds. The value
 * may be read and set from any thread.
 *
 * @since 0.1
 */
public final class LinkTime {

  private volatile double nanos;

  LinkTime(double initialNanos) {
    nanos = initialNanos;
  }

  public double nanos() {
    return nanos;
  }

  public void setNanos(double value) {
    nanos = value;
  }
}
