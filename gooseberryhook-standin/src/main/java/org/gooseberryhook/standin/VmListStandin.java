package org.gooseberryhook.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.gooseberryhook.protocol.VmEntry;

/**
 * Stand-in for the VM list. Changes become visible after a lag.
 *
 * <ul>
 *   <li>{@code GET /vms} returns a list of {@link VmEntry}.
 *   <li>{@code PUT /vms/{vmId}} with a {@link VmEntry} adds or replaces a VM; {@code DELETE
 *       /vms/{vmId}} removes it.
 *   <li>{@code PUT /lag} with {@code {lagMs}} sets the lag in milliseconds.
 * </ul>
 *
 * @since 0.1
 */
public final class VmListStandin {

  private static final long NANOS_PER_MS = 1_000_000;
  private static final int MAX_PENDING_CHANGES = 100_000;

  private final StandinServer server;
  private final LongSupplier nanoClock;
  private final TreeMap<String, VmEntry> visible = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();
  private long lagMs;

  /**
   * Creates a stand-in without lag that is not started yet.
   *
   * @param port port on the loopback address; 0 for a free one
   */
  public VmListStandin(int port) {
    this(port, System::nanoTime);
  }

  /**
   * Creates a stand-in with a given clock that has no lag and is not started yet.
   *
   * @param port port on the loopback address; 0 for a free one
   * @param nanoClock monotonic clock in nanoseconds
   */
  public VmListStandin(int port, LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
    this.server =
        new StandinServer("vm-list-standin", port)
            .route("GET", "/vms", request -> StandinResponse.ofJson(StandinResponse.OK, list()))
            .route("PUT", "/vms/{vmId}", this::putVm)
            .route("DELETE", "/vms/{vmId}", this::deleteVm)
            .route("PUT", "/lag", this::putLag);
  }

  /**
   * Returns the HTTP server, which starts and stops the stand-in and holds its faults.
   *
   * @return the server, never null
   */
  public StandinServer getServer() {
    return server;
  }

  /**
   * Sets the lag. Changes that are already visible stay visible.
   *
   * @param lagMs time until a change becomes visible, in milliseconds, at least 0
   * @throws IllegalArgumentException if the lag is negative
   */
  public synchronized void setLag(long lagMs) {
    if (lagMs < 0) {
      throw new IllegalArgumentException("lagMs must be at least 0, not " + lagMs);
    }
    list();
    this.lagMs = lagMs;
  }

  /**
   * Adds or replaces a VM. The change becomes visible after the lag.
   *
   * @param vm the VM
   * @throws IllegalStateException if too many changes are not visible yet
   */
  public void put(VmEntry vm) {
    change(vm.vmId(), vm);
  }

  /**
   * Removes a VM. The change becomes visible after the lag.
   *
   * @param vmId id of the VM
   * @throws IllegalStateException if too many changes are not visible yet
   */
  public void delete(String vmId) {
    change(vmId, null);
  }

  private synchronized void change(String vmId, VmEntry vm) {
    list();
    if (pending.size() >= MAX_PENDING_CHANGES) {
      throw new IllegalStateException(
          "more than " + MAX_PENDING_CHANGES + " changes are not visible yet; lower the lag");
    }
    pending.add(new Change(nanoClock.getAsLong(), vmId, vm));
  }

  private synchronized List<VmEntry> list() {
    long nowNanos = nanoClock.getAsLong();
    while (!pending.isEmpty() && nowNanos - pending.peek().atNanos() >= lagMs * NANOS_PER_MS) {
      Change change = pending.poll();
      if (change.vm() == null) {
        visible.remove(change.vmId());
      } else {
        visible.put(change.vmId(), change.vm());
      }
    }
    return List.copyOf(visible.values());
  }

  private StandinResponse putVm(StandinRequest request) throws IOException {
    VmEntry vm = StandinResponse.MAPPER.readValue(request.body(), VmEntry.class);
    String vmId = request.pathValues().get("vmId");
    if (!vmId.equals(vm.vmId())) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST, "path has vmId " + vmId + " but body has " + vm.vmId());
    }
    put(vm);
    return StandinResponse.ofJson(StandinResponse.OK, vm);
  }

  private StandinResponse deleteVm(StandinRequest request) {
    delete(request.pathValues().get("vmId"));
    return StandinResponse.ofJson(StandinResponse.OK, request.pathValues());
  }

  private StandinResponse putLag(StandinRequest request) throws IOException {
    JsonNode body = StandinResponse.MAPPER.readTree(request.body());
    setLag(body.path("lagMs").asLong(-1));
    return StandinResponse.ofJson(StandinResponse.OK, body);
  }

  private record Change(long atNanos, String vmId, VmEntry vm) {}
}
