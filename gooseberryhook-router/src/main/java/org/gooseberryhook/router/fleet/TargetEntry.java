package org.gooseberryhook.router.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/**
 * Entry of a target in the platform's list, as the target reports it.
 *
 * @param id id of the target; a restarted target may keep it or get a new one
 * @param service name of the service that it runs
 * @param address IP address and port
 * @param dataCentre name of its data centre
 * @param slots number of requests that it runs at once, from 1 to {@link #MAX_SLOTS}
 * @param isLeaving whether it is about to leave
 * @param acceleratorKind name of its kind of accelerator, empty for plain services
 * @param layers layers that it holds, if any
 * @param startedAtMs time at which it started, in Unix milliseconds, at most {@link
 *     #MAX_STARTED_AT_MS}; 0 if unknown
 * @param modelVersion version of its weights, not negative; 0 if unknown
 * @param heartbeats number of times that the target has written its entry since its start, not
 *     negative; 0 if unknown
 */
public record TargetEntry(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    boolean isLeaving,
    String acceleratorKind,
    Optional<LayerRange> layers,
    long startedAtMs,
    long modelVersion,
    long heartbeats) {

  /** Largest number of slots, far above the few hundred requests that engines batch. */
  public static final int MAX_SLOTS = 65_536;

  /** Latest possible start: the end of the year 2099, in Unix milliseconds. */
  public static final long MAX_STARTED_AT_MS = 4_102_444_799_999L;

  /**
   * Checks the figures, which other programs may have written. One that no target can have would
   * draw all requests to its address, or outlast every later start there.
   *
   * @throws IllegalArgumentException if a figure is out of its bounds
   */
  public TargetEntry {
    require(slots >= 1 && slots <= MAX_SLOTS, "slots must be from 1 to " + MAX_SLOTS);
    require(
        startedAtMs >= 0 && startedAtMs <= MAX_STARTED_AT_MS,
        "time of the start must be from 0 to " + MAX_STARTED_AT_MS);
    require(modelVersion >= 0, "version of the weights must not be negative");
    require(heartbeats >= 0, "number of heartbeats must not be negative");
  }

  /**
   * Creates an entry of a target that does not number its heartbeats.
   *
   * @param id id of the target
   * @param service name of the service that it runs
   * @param address IP address and port
   * @param dataCentre name of its data centre
   * @param slots number of requests that it runs at once
   * @param isLeaving whether it is about to leave
   * @param acceleratorKind name of its kind of accelerator, empty for plain services
   * @param layers layers that it holds, if any
   * @param startedAtMs time at which it started, in Unix milliseconds; 0 if unknown
   * @param modelVersion version of its weights; 0 if unknown
   * @throws IllegalArgumentException if a figure is out of its bounds
   */
  public TargetEntry(
      String id,
      String service,
      String address,
      String dataCentre,
      int slots,
      boolean isLeaving,
      String acceleratorKind,
      Optional<LayerRange> layers,
      long startedAtMs,
      long modelVersion) {
    this(
        id,
        service,
        address,
        dataCentre,
        slots,
        isLeaving,
        acceleratorKind,
        layers,
        startedAtMs,
        modelVersion,
        0);
  }

  /**
   * Returns whether another entry differs from this one in the number of heartbeats at most.
   *
   * @param other the other entry
   * @return true if both describe the same state of the target
   */
  public boolean isSameState(TargetEntry other) {
    return equals(other.withHeartbeats(heartbeats));
  }

  private static void require(boolean condition, String requirement) {
    if (!condition) {
      throw new IllegalArgumentException(requirement);
    }
  }

  /**
   * Returns whether the target of another entry started after this one. A start that is not yet
   * possible is taken for earlier than any other: the entry of another program could otherwise keep
   * an address from its target.
   *
   * @param other entry with the address of this one
   * @param latestStartMs latest possible start by the clock of this node, in Unix milliseconds; if
   *     that clock is far behind, both starts are impossible and compared as usual
   * @return true if the other target started later, or at the same time and has the greater id
   */
  public boolean isSupersededBy(TargetEntry other, long latestStartMs) {
    boolean isPossible = startedAtMs <= latestStartMs;
    if (isPossible != other.startedAtMs <= latestStartMs) {
      return !isPossible;
    }
    return startedAtMs != other.startedAtMs
        ? startedAtMs < other.startedAtMs
        : id.compareTo(other.id) < 0;
  }

  /**
   * Leaves out the entries whose address another target has taken over: an entry remains listed for
   * a while after its target has ended.
   *
   * @param entries entries, several of which may have the same address
   * @param latestStartMs latest possible start, in Unix milliseconds
   * @return of each address the entry of the last start, in the order of the entries
   */
  public static List<TargetEntry> latestStarts(List<TargetEntry> entries, long latestStartMs) {
    Map<String, TargetEntry> latest = new HashMap<>();
    for (TargetEntry entry : entries) {
      latest.merge(entry.address, entry, (a, b) -> a.isSupersededBy(b, latestStartMs) ? b : a);
    }
    return entries.stream().filter(entry -> latest.get(entry.address) == entry).toList();
  }

  /**
   * Returns a copy of this entry with other layers.
   *
   * @param newLayers the layers
   * @return the entry, never null
   */
  public TargetEntry withLayers(LayerRange newLayers) {
    return withLayers(Optional.of(newLayers));
  }

  /**
   * Returns a copy of this entry with other layers or none.
   *
   * @param newLayers the layers, or empty for a target without layers
   * @return the entry, never null
   */
  public TargetEntry withLayers(Optional<LayerRange> newLayers) {
    return new TargetEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        isLeaving,
        acceleratorKind,
        newLayers,
        startedAtMs,
        modelVersion,
        heartbeats);
  }

  /**
   * Returns a copy of this entry with another version of the weights.
   *
   * @param version the version, 0 if unknown
   * @return the entry, never null
   */
  public TargetEntry withModelVersion(long version) {
    return new TargetEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        isLeaving,
        acceleratorKind,
        layers,
        startedAtMs,
        version,
        heartbeats);
  }

  /**
   * Returns a copy of this entry with another number of heartbeats.
   *
   * @param number the number, 0 if unknown
   * @return the entry, never null
   */
  public TargetEntry withHeartbeats(long number) {
    return new TargetEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        isLeaving,
        acceleratorKind,
        layers,
        startedAtMs,
        modelVersion,
        number);
  }

  /**
   * Returns a copy of this entry whose target is about to leave.
   *
   * @return the entry, never null
   */
  public TargetEntry asLeaving() {
    return new TargetEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        true,
        acceleratorKind,
        layers,
        startedAtMs,
        modelVersion,
        heartbeats);
  }
}
