package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.protocol.ConfigurationMessage.SnapshotAsk;
import org.gooseberryhook.protocol.ConfigurationMessage.SnapshotPart;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.Versioned;

/**
 * Assembles a configuration snapshot from the parts that one peer sends. Several parts are
 * requested at a time, because fetching 185 parts one by one from the other region took more than
 * ten seconds. Not thread-safe.
 */
final class SnapshotAssembly {

  /** Maximum parts in flight; at about 54 KB each they take 0.5 MB. */
  private static final int MAX_PARTS_IN_FLIGHT = 8;

  private static final int MAX_PARTS = 10_000;

  private final String address;
  private final long version;
  private final List<List<Versioned<ConfigurationChange>>> parts = new ArrayList<>();
  private int receivedCount;
  private int nextPart = 1;

  /**
   * Creates an assembly for the snapshot of the first part, which must then be added like the
   * others.
   */
  SnapshotAssembly(String address, SnapshotPart first) {
    this.address = address;
    this.version = first.version();
    for (int i = 0; i < first.partCount(); i++) {
      parts.add(null);
    }
  }

  static boolean isValidFirstPart(SnapshotPart first) {
    return first.partCount() >= 1 && first.partCount() <= MAX_PARTS;
  }

  long getVersion() {
    return version;
  }

  /** Adds a part; returns false if it belongs to another snapshot or was added before. */
  boolean add(String sender, SnapshotPart part) {
    boolean isSame = sender.equals(address) && part.version() == version;
    boolean isInRange = part.part() >= 0 && part.part() < parts.size();
    if (!isSame || !isInRange || parts.get(part.part()) != null) {
      return false;
    }
    parts.set(part.part(), part.records());
    receivedCount++;
    return true;
  }

  /** Requests the next parts, up to the limit of parts in flight. */
  List<Outgoing> requestNext() {
    List<Outgoing> requests = new ArrayList<>();
    while (nextPart < parts.size() && nextPart < receivedCount + MAX_PARTS_IN_FLIGHT) {
      requests.add(toRequest(nextPart));
      nextPart++;
    }
    return requests;
  }

  /** Requests again the parts that were requested and not received. */
  List<Outgoing> requestMissing() {
    List<Outgoing> requests = new ArrayList<>();
    for (int part = 0; part < nextPart; part++) {
      if (parts.get(part) == null) {
        requests.add(toRequest(part));
      }
    }
    return requests;
  }

  boolean isComplete() {
    return receivedCount == parts.size();
  }

  Configuration build() {
    List<Versioned<ConfigurationChange>> records = new ArrayList<>();
    parts.forEach(records::addAll);
    return Configuration.ofRecords(version, records);
  }

  private Outgoing toRequest(int part) {
    return new Outgoing(address, new SnapshotAsk(version, part));
  }
}
