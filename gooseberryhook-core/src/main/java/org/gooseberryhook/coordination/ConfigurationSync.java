package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.ConfigurationMessage;
import org.gooseberryhook.protocol.ConfigurationMessage.ConfigEntries;
import org.gooseberryhook.protocol.ConfigurationMessage.ConfigPull;
import org.gooseberryhook.protocol.ConfigurationMessage.ConfigPush;
import org.gooseberryhook.protocol.ConfigurationMessage.SnapshotAsk;
import org.gooseberryhook.protocol.ConfigurationMessage.SnapshotPart;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.Versioned;

/**
 * Distributes accepted configuration changes to every node: new entries are pushed to peers, a node
 * that receives a higher version pulls the missing entries, and a node that is far behind fetches a
 * snapshot in parts. The caller sends the returned messages. Thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationSync {

  private static final int PUSH_PEERS = 3;
  private static final int POLLERS_PER_PLACE = 2;
  private static final long PULL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The writer limits a change to 4,000 bytes, so a response stays below the limit of 1 MiB. */
  private static final int MAX_ENTRIES_PER_RESPONSE = 200;

  private static final int RECORDS_PER_PART = 200;

  /** Retries without a received part, after which the snapshot is fetched from another node. */
  private static final int MAX_PART_RETRIES = 3;

  private static final long SNAPSHOT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * Entries are pushed to peers only up to this number at once; more show that this node was
   * behind, so that its peers have them already.
   */
  private static final int MAX_FORWARDED_ENTRIES = 4;

  private final Membership membership;
  private final ConfigurationStore store;
  private long highestKnownVersion;
  private boolean isAnyVersionKnown;
  private boolean isReady;
  private boolean isPulling;
  private int partRetries;
  private long pullDeadlineNanos;
  private ServedSnapshot servedSnapshot;
  private SnapshotAssembly assembly;

  /** A snapshot that other nodes are fetching from this one. */
  private record ServedSnapshot(
      long version, List<Versioned<ConfigurationChange>> records, long expiresNanos) {}

  /**
   * Creates the synchronization of one node.
   *
   * @param membership the members; receives the version in force
   * @param store this node's copy of the configuration
   */
  public ConfigurationSync(Membership membership, ConfigurationStore store) {
    this.membership = membership;
    this.store = store;
  }

  /**
   * Applies entries that this node wrote or read from the table service, and pushes them to peers
   * if they are few.
   *
   * @param entries entries in order
   * @param nowNanos monotonic time
   * @param random random source for the choice of peers
   * @return messages to send
   */
  public synchronized List<Outgoing> onEntries(
      List<ConfigurationLogEntry> entries, long nowNanos, RandomGenerator random) {
    List<Outgoing> out = new ArrayList<>();
    List<ConfigurationLogEntry> applied = applyAll(entries);
    if (applied.size() <= MAX_FORWARDED_ENTRIES) {
      applied.forEach(entry -> pushToPeers(entry, 0, null, random, out));
    }
    return out;
  }

  /**
   * Handles the version that a probe or its response carries; a higher version than the own one
   * starts a pull.
   *
   * @param sender the run that sent it
   * @param version the version in force there, or {@link MembershipMessage#NO_VERSION}
   * @param nowNanos monotonic time
   * @return messages to send
   */
  public synchronized List<Outgoing> onPeerVersion(NodeId sender, long version, long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    if (version == MembershipMessage.NO_VERSION) {
      return out;
    }
    onVersionKnown(version);
    if (version > store.get().version()) {
      pull(sender.address(), nowNanos, out);
    }
    return out;
  }

  /**
   * Handles the head that was read from the table service.
   *
   * @param version the version of the last accepted change
   * @return true if the caller should read the entries after the version in force
   */
  public synchronized boolean onHeadRead(long version) {
    onVersionKnown(version);
    return version > store.get().version();
  }

  /**
   * Handles a message.
   *
   * @param sender the run that sent it
   * @param message the message
   * @param nowNanos monotonic time
   * @param random random source for the choice of peers
   * @return messages to send
   */
  public synchronized List<Outgoing> onMessage(
      NodeId sender, ConfigurationMessage message, long nowNanos, RandomGenerator random) {
    List<Outgoing> out = new ArrayList<>();
    if (message instanceof ConfigPush push) {
      onPush(sender, push, nowNanos, random, out);
    } else if (message instanceof ConfigPull request) {
      onPull(sender, request, nowNanos, out);
    } else if (message instanceof ConfigEntries response) {
      onEntriesPulled(sender, response, nowNanos, random, out);
    } else if (message instanceof SnapshotAsk request) {
      if (servedSnapshot != null && servedSnapshot.version == request.version()) {
        sendPart(sender.address(), request.part(), nowNanos, out);
      }
    } else if (message instanceof SnapshotPart part) {
      onPart(sender, part, nowNanos, out);
    }
    return out;
  }

  /**
   * Requests missing parts of a snapshot again, and frees what is no longer needed. Must be called
   * about once a second.
   *
   * @param nowNanos monotonic time
   * @return messages to send
   */
  public synchronized List<Outgoing> onTick(long nowNanos) {
    if (servedSnapshot != null && nowNanos - servedSnapshot.expiresNanos >= 0) {
      servedSnapshot = null;
    }
    if (!isPulling || nowNanos - pullDeadlineNanos < 0) {
      return List.of();
    }
    if (assembly == null
        || assembly.getVersion() <= store.get().version()
        || partRetries >= MAX_PART_RETRIES) {
      isPulling = false;
      assembly = null;
      return List.of();
    }
    partRetries++;
    pullDeadlineNanos = nowNanos + PULL_TIMEOUT_NANOS;
    return assembly.requestMissing();
  }

  /**
   * Returns whether the configuration may be trusted: a peer with trusted configuration or the
   * table service has reported its version, and the highest version reported by then is in force.
   * Once true, it stays true.
   *
   * @return true if the node may serve requests
   */
  public synchronized boolean isReady() {
    return isReady;
  }

  /**
   * Returns whether this node should read the head from the table service each second. The two live
   * nodes with the lowest addresses of each data centre do so.
   *
   * @return true if it should read the head
   */
  public boolean shouldPollHead() {
    Member self = membership.getSelf();
    int lower = 0;
    for (Member member : membership.getMembers()) {
      if (member.place().equals(self.place())
          && (member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT)
          && member.address().compareTo(self.address()) < 0) {
        lower++;
      }
    }
    return lower < POLLERS_PER_PLACE;
  }

  private void onPush(
      NodeId sender, ConfigPush push, long nowNanos, RandomGenerator random, List<Outgoing> out) {
    onVersionKnown(push.entry().version());
    ConfigurationStore.Applied applied = store.apply(push.entry());
    if (applied == ConfigurationStore.Applied.APPLIED) {
      onVersionChanged();
      pushToPeers(push.entry(), push.hop() + 1, sender.address(), random, out);
    } else if (applied == ConfigurationStore.Applied.GAP) {
      pull(sender.address(), nowNanos, out);
    }
  }

  private void onPull(NodeId sender, ConfigPull request, long nowNanos, List<Outgoing> out) {
    long version = store.get().version();
    if (request.afterVersion() >= version) {
      return;
    }
    List<ConfigurationLogEntry> entries =
        store.getEntriesAfter(request.afterVersion(), MAX_ENTRIES_PER_RESPONSE).orElse(null);
    if (entries != null) {
      out.add(new Outgoing(sender.address(), new ConfigEntries(entries, version)));
      return;
    }
    boolean isUsable =
        servedSnapshot != null && store.getEntriesAfter(servedSnapshot.version, 1).isPresent();
    if (!isUsable || servedSnapshot.version <= request.afterVersion()) {
      Configuration current = store.get();
      servedSnapshot = new ServedSnapshot(current.version(), current.toRecords(), nowNanos);
    }
    sendPart(sender.address(), 0, nowNanos, out);
  }

  private void onEntriesPulled(
      NodeId sender,
      ConfigEntries response,
      long nowNanos,
      RandomGenerator random,
      List<Outgoing> out) {
    onVersionKnown(response.version());
    List<ConfigurationLogEntry> applied = applyAll(response.entries());
    isPulling = false;
    if (applied.size() <= MAX_FORWARDED_ENTRIES) {
      applied.forEach(entry -> pushToPeers(entry, 2, sender.address(), random, out));
    }
    if (!applied.isEmpty() && response.version() > store.get().version()) {
      pull(sender.address(), nowNanos, out);
    }
  }

  private void sendPart(String address, int part, long nowNanos, List<Outgoing> out) {
    int partCount =
        Math.max(1, (servedSnapshot.records.size() + RECORDS_PER_PART - 1) / RECORDS_PER_PART);
    if (part < 0 || part >= partCount) {
      return;
    }
    servedSnapshot =
        new ServedSnapshot(
            servedSnapshot.version, servedSnapshot.records, nowNanos + SNAPSHOT_RETENTION_NANOS);
    int from = part * RECORDS_PER_PART;
    int to = Math.min(servedSnapshot.records.size(), from + RECORDS_PER_PART);
    List<Versioned<ConfigurationChange>> records = servedSnapshot.records.subList(from, to);
    out.add(
        new Outgoing(address, new SnapshotPart(servedSnapshot.version, part, partCount, records)));
  }

  private void onPart(NodeId sender, SnapshotPart part, long nowNanos, List<Outgoing> out) {
    if (part.version() <= store.get().version()) {
      return;
    }
    if (part.part() == 0 && assembly == null && SnapshotAssembly.isValidFirstPart(part)) {
      assembly = new SnapshotAssembly(sender.address(), part);
    }
    if (assembly == null || !assembly.add(sender.address(), part)) {
      return;
    }
    isPulling = true;
    partRetries = 0;
    pullDeadlineNanos = nowNanos + PULL_TIMEOUT_NANOS;
    out.addAll(assembly.requestNext());
    if (!assembly.isComplete()) {
      return;
    }
    onVersionKnown(part.version());
    store.applySnapshot(assembly.build());
    assembly = null;
    isPulling = false;
    onVersionChanged();
    if (highestKnownVersion > store.get().version()) {
      pull(sender.address(), nowNanos, out);
    }
  }

  private void pull(String address, long nowNanos, List<Outgoing> out) {
    boolean isWaiting = isPulling && nowNanos - pullDeadlineNanos < 0;
    if (isWaiting || assembly != null) {
      return;
    }
    isPulling = true;
    pullDeadlineNanos = nowNanos + PULL_TIMEOUT_NANOS;
    out.add(new Outgoing(address, new ConfigPull(store.get().version())));
  }

  private List<ConfigurationLogEntry> applyAll(List<ConfigurationLogEntry> entries) {
    List<ConfigurationLogEntry> applied = new ArrayList<>();
    for (ConfigurationLogEntry entry : entries) {
      if (store.apply(entry) == ConfigurationStore.Applied.APPLIED) {
        applied.add(entry);
      }
    }
    if (!applied.isEmpty()) {
      onVersionChanged();
    }
    return applied;
  }

  private void onVersionKnown(long version) {
    isAnyVersionKnown = true;
    highestKnownVersion = Math.max(highestKnownVersion, version);
    onVersionChanged();
  }

  private void onVersionChanged() {
    long version = store.get().version();
    isReady |= isAnyVersionKnown && version >= highestKnownVersion;
    membership.setConfigurationVersion(isReady ? version : MembershipMessage.NO_VERSION);
  }

  /**
   * Pushes an entry to peers of the own data centre. The origin, and the nodes of its data centre
   * that have the entry directly from it, also push it to one node of each other data centre, so
   * that the loss of some of these messages does no harm.
   */
  private void pushToPeers(
      ConfigurationLogEntry entry,
      int hop,
      String senderAddress,
      RandomGenerator random,
      List<Outgoing> out) {
    String ownPlace = membership.getSelf().place();
    Map<String, List<String>> byPlace = new TreeMap<>();
    for (Member member : membership.getMembers()) {
      if (member.isPresent() && !member.address().equals(senderAddress)) {
        byPlace.computeIfAbsent(member.place(), key -> new ArrayList<>()).add(member.address());
      }
    }
    List<String> inOwnPlace = byPlace.getOrDefault(ownPlace, new ArrayList<>());
    ConfigPush push = new ConfigPush(entry, hop);
    for (int i = 0; i < PUSH_PEERS && !inOwnPlace.isEmpty(); i++) {
      out.add(new Outgoing(inOwnPlace.remove(random.nextInt(inOwnPlace.size())), push));
    }
    boolean isFirstReceiver = hop == 1 && isInPlace(senderAddress, ownPlace);
    if (hop == 0 || isFirstReceiver) {
      byPlace.remove(ownPlace);
      for (List<String> elsewhere : byPlace.values()) {
        out.add(new Outgoing(elsewhere.get(random.nextInt(elsewhere.size())), push));
      }
    }
  }

  private boolean isInPlace(String address, String place) {
    for (Member member : membership.getMembers()) {
      if (member.address().equals(address)) {
        return member.place().equals(place);
      }
    }
    return false;
  }
}
