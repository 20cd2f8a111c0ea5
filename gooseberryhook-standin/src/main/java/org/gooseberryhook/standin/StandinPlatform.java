package org.gooseberryhook.standin;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;

/**
 * Stand-ins for any subset of the platform's systems, in one process on the loopback address.
 *
 * @since 0.1
 */
public final class StandinPlatform {

  private final Map<Part, StandinServer> servers = new EnumMap<>(Part.class);
  private final TableStandin table;
  private final ObjectStandin objects;
  private final WeightStandin weights;
  private final VmListStandin vms;
  private final ServiceStandin services;

  private StandinPlatform(Map<Part, Integer> ports) {
    table = ports.containsKey(Part.TABLE) ? new TableStandin(ports.get(Part.TABLE)) : null;
    objects = ports.containsKey(Part.OBJECTS) ? new ObjectStandin(ports.get(Part.OBJECTS)) : null;
    weights = ports.containsKey(Part.WEIGHTS) ? new WeightStandin(ports.get(Part.WEIGHTS)) : null;
    vms = ports.containsKey(Part.VMS) ? new VmListStandin(ports.get(Part.VMS)) : null;
    services =
        ports.containsKey(Part.SERVICES) ? new ServiceStandin(ports.get(Part.SERVICES)) : null;
    add(Part.TABLE, table == null ? null : table.getServer());
    add(Part.OBJECTS, objects == null ? null : objects.getServer());
    add(Part.WEIGHTS, weights == null ? null : weights.getServer());
    add(Part.VMS, vms == null ? null : vms.getServer());
    add(Part.SERVICES, services == null ? null : services.getServer());
  }

  /**
   * Returns stand-ins that are not started yet.
   *
   * @param ports the systems and their ports; 0 for a free port
   * @return the stand-ins, never null
   */
  public static StandinPlatform of(Map<Part, Integer> ports) {
    return new StandinPlatform(Map.copyOf(ports));
  }

  /**
   * Returns stand-ins on free ports that are not started yet.
   *
   * @param parts the systems; all if empty
   * @return the stand-ins, never null
   */
  public static StandinPlatform ofFreePorts(Part... parts) {
    Map<Part, Integer> ports = new EnumMap<>(Part.class);
    List<Part> chosen = parts.length == 0 ? List.copyOf(EnumSet.allOf(Part.class)) : List.of(parts);
    chosen.forEach(part -> ports.put(part, 0));
    return new StandinPlatform(ports);
  }

  /**
   * Starts all stand-ins. If one cannot start, those already started are stopped.
   *
   * @return this platform
   * @throws IllegalStateException if a port is in use
   */
  public StandinPlatform start() {
    List<StandinServer> started = new ArrayList<>();
    try {
      for (StandinServer server : servers.values()) {
        server.start();
        started.add(server);
      }
    } catch (IllegalStateException e) {
      started.forEach(StandinServer::stop);
      throw e;
    }
    return this;
  }

  /** Stops all stand-ins. They keep their data for the next start. */
  public void stop() {
    servers.values().forEach(StandinServer::stop);
  }

  /**
   * Returns the base URL of a system.
   *
   * @param part the system
   * @return for example {@code http://127.0.0.1:7001}
   * @throws IllegalArgumentException if this platform does not include the system
   */
  public String getBaseUrl(Part part) {
    return getServer(part).getBaseUrl();
  }

  /**
   * Returns the server of a system, which starts and stops its stand-in and holds its faults.
   *
   * @param part the system
   * @return the server, never null
   * @throws IllegalArgumentException if this platform does not include the system
   */
  public StandinServer getServer(Part part) {
    StandinServer server = servers.get(part);
    if (server == null) {
      throw new IllegalArgumentException(
          part + " is not part of this platform; include it when creating the platform");
    }
    return server;
  }

  /**
   * Returns the stand-in for the table service.
   *
   * @return the stand-in; null if this platform does not include it
   */
  public TableStandin getTable() {
    return table;
  }

  /**
   * Returns the stand-in for the object store.
   *
   * @return the stand-in; null if this platform does not include it
   */
  public ObjectStandin getObjects() {
    return objects;
  }

  /**
   * Returns the stand-in for the weight store.
   *
   * @return the stand-in; null if this platform does not include it
   */
  public WeightStandin getWeights() {
    return weights;
  }

  /**
   * Returns the stand-in for the VM list.
   *
   * @return the stand-in; null if this platform does not include it
   */
  public VmListStandin getVms() {
    return vms;
  }

  /**
   * Returns the stand-in for the plain services.
   *
   * @return the stand-in; null if this platform does not include it
   */
  public ServiceStandin getServices() {
    return services;
  }

  private void add(Part part, StandinServer server) {
    if (server != null) {
      servers.put(part, server);
    }
  }

  /**
   * System of the platform.
   *
   * @since 0.1
   */
  public enum Part {
    /** The table service. */
    TABLE,
    /** The object store. */
    OBJECTS,
    /** The weight store. */
    WEIGHTS,
    /** The VM list. */
    VMS,
    /** The plain services. */
    SERVICES
  }
}
