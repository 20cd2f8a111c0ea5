package org.gooseberryhook.transport;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gooseberryhook.coordination.ConfigurationLog;
import org.gooseberryhook.coordination.ConfigurationSync;
import org.gooseberryhook.coordination.Membership;
import org.gooseberryhook.protocol.ConfigurationMessage;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.Outgoing;
import org.gooseberryhook.protocol.PeerLink;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;
import org.jboss.logging.Logger;

/**
 * Drives membership and configuration sync with clock ticks, peer messages and reads of the table
 * service, and passes other message families to their handlers.
 *
 * @since 0.1
 */
public final class ClusterService implements PeerLink.Receiver {

  private static final Logger LOG = Logger.getLogger(ClusterService.class);
  private static final long HEAD_POLL_PERIOD_MS = 1_000;
  private static final long LISTENER_PERIOD_MS = 100;
  private static final long END_CHECK_PERIOD_MS = 300;
  private static final long[] END_CHECK_DELAYS_MS = {5, 50, 200};
  private static final int MAX_END_CHECKS = 16;
  private static final int MAX_ENDED_RUNS = 10_000;

  /** Time after the start at which a node that knows of no other member counts as the only one. */
  private static final long JOIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final int LOG_PAGE = 500;

  private final Membership membership;
  private final ConfigurationStore store;
  private final ConfigurationSync sync;
  private final ConfigurationLog log;
  private final ScheduledExecutorService timer;
  private final RandomGenerator random;
  private final Map<Class<? extends PeerMessage>, Handler> handlers = new ConcurrentHashMap<>();
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<NodeId>> runEndListeners = new CopyOnWriteArrayList<>();
  private final Set<NodeId> endedRuns =
      Collections.newSetFromMap(
          Collections.synchronizedMap(
              new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<NodeId, Boolean> eldest) {
                  return size() > MAX_ENDED_RUNS;
                }
              }));
  private PeerLink link;
  private volatile long startNanos = System.nanoTime();
  private List<ScheduledFuture<?>> tasks = List.of();
  private Set<String> deadAddresses = Set.of();
  private long checkedChangeCount = -1;
  private volatile long appliedVersion = -1;

  /**
   * Creates a service.
   *
   * @param membership the members
   * @param store the node's copy of the configuration
   * @param log reads the configuration log
   * @param timer runs the ticks, which never block
   * @param random source of randomness; must be thread-safe
   */
  public ClusterService(
      Membership membership,
      ConfigurationStore store,
      ConfigurationLog log,
      ScheduledExecutorService timer,
      RandomGenerator random) {
    this.membership = membership;
    this.store = store;
    this.log = log;
    this.timer = timer;
    this.random = random;
    this.sync = new ConfigurationSync(membership, store);
  }

  /**
   * Handles the messages of one family.
   *
   * @since 0.1
   */
  @FunctionalInterface
  public interface Handler {

    /**
     * Handles a message. Called on a network thread; must not block.
     *
     * @param sender the run that sent it
     * @param message the message
     */
    void onMessage(NodeId sender, PeerMessage message);
  }

  /**
   * Sets the handler of a message family. Must be called before {@link #start}.
   *
   * @param family the sealed interface of the family
   * @param handler the handler
   */
  public void setHandler(Class<? extends PeerMessage> family, Handler handler) {
    handlers.put(family, handler);
  }

  /**
   * Adds a listener that is notified of each new configuration, on a thread of the timer.
   *
   * @param listener the listener
   */
  public void addListener(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /**
   * Adds a listener that is notified of each run of a node that is proved to have ended.
   *
   * @param listener the listener; must not block
   */
  public void addRunEndListener(Consumer<NodeId> listener) {
    runEndListeners.add(listener);
  }

  /**
   * Records the proof that a run has ended: a refused connection or an operator's declaration.
   *
   * @param id the run
   */
  public void onRunEnded(NodeId id) {
    if (endedRuns.add(id)) {
      LOG.infof("the run %d of node %s has ended", id.incarnation(), id.address());
      send(membership.onRunEnded(id, System.nanoTime()));
      link.disconnect(id.address());
      runEndListeners.forEach(listener -> listener.accept(id));
    }
  }

  /**
   * Starts the ticks.
   *
   * @param peerLink sends messages
   */
  public void start(PeerLink peerLink) {
    this.link = peerLink;
    startNanos = System.nanoTime();
    peerLink.setDisconnectListener(this::onDisconnected);
    long tickMs = TimeUnit.NANOSECONDS.toMillis(Membership.TICK_NANOS);
    tasks =
        List.of(
            schedulePeriodically(tickMs, this::tick),
            schedulePeriodically(LISTENER_PERIOD_MS, this::notifyListeners),
            schedulePeriodically(END_CHECK_PERIOD_MS, this::checkEndedRuns),
            schedulePeriodically(HEAD_POLL_PERIOD_MS, this::pollHead));
  }

  /** Stops the ticks. */
  public void stop() {
    tasks.forEach(task -> task.cancel(false));
  }

  /** Announces to the other members that this node leaves. */
  public void leave() {
    send(membership.leave(random));
  }

  /**
   * Returns whether the configuration may be trusted.
   *
   * @return true if the node may serve
   */
  public boolean isReady() {
    return sync.isReady();
  }

  /**
   * Returns whether the member list may be relied on: another member is known, or none has appeared
   * within 5 s of the start. A node that took duties before that would not count what other nodes
   * still run under an earlier holder.
   *
   * @return true if this node may take duties
   */
  public boolean isJoined() {
    return !membership.getMembers().isEmpty() || System.nanoTime() - startNanos >= JOIN_GRACE_NANOS;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration, never null
   */
  public Configuration getConfiguration() {
    return store.get();
  }

  /**
   * Returns the version that all listeners have received, so that it is in force here.
   *
   * @return the version; -1 before the first
   */
  public long getAppliedVersion() {
    return appliedVersion;
  }

  /**
   * Returns the members that are alive or suspected, this node first.
   *
   * @return the members, never empty
   */
  public List<Member> getLiveMembers() {
    List<Member> live = new ArrayList<>();
    Member self = membership.getSelf();
    live.add(self);
    for (Member member : membership.getMembers()) {
      boolean isLive =
          member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT;
      if (isLive && !member.id().equals(self.id())) {
        live.add(member);
      }
    }
    return live;
  }

  /**
   * Returns another member, also one that is suspected, leaving or dead.
   *
   * @param address its peer address
   * @return the member, or empty if it is not known
   */
  public Optional<Member> findMember(String address) {
    return membership.getMembers().stream()
        .filter(member -> member.address().equals(address))
        .findFirst();
  }

  /**
   * Returns the runs of nodes that may still act: all that were seen and are not proved to have
   * ended, this node included.
   *
   * @return the runs, whatever their status
   */
  public Set<NodeId> getUnendedRuns() {
    Set<NodeId> runs = new HashSet<>();
    runs.add(membership.getSelf().id());
    for (Member member : membership.getMembers()) {
      if (!endedRuns.contains(member.id())) {
        runs.add(member.id());
      }
    }
    return runs;
  }

  /**
   * Returns the runs of other nodes that may still serve callers: all members that are not dead and
   * not proved to have ended, also those that are leaving.
   *
   * @return a new set
   */
  public Set<NodeId> getServingRuns() {
    Set<NodeId> serving = new HashSet<>();
    for (Member member : membership.getMembers()) {
      if (member.isPresent() && !endedRuns.contains(member.id())) {
        serving.add(member.id());
      }
    }
    return serving;
  }

  /**
   * Returns the latest log entries.
   *
   * @param afterVersion only entries after this version
   * @return the entries that are still kept, in order
   */
  public List<ConfigurationLogEntry> getChanges(long afterVersion) {
    long oldest =
        Math.max(afterVersion, store.get().version() - ConfigurationStore.MAX_TAIL_ENTRIES);
    return store.getEntriesAfter(oldest, ConfigurationStore.MAX_TAIL_ENTRIES).orElse(List.of());
  }

  /**
   * Returns this node.
   *
   * @return the member, never null
   */
  public Member getSelf() {
    return membership.getSelf();
  }

  /**
   * Puts an accepted entry in force here and spreads it to the other nodes.
   *
   * @param entry the entry
   */
  public void onChangeAccepted(ConfigurationLogEntry entry) {
    send(sync.onEntries(List.of(entry), System.nanoTime(), random));
    if (store.get().version() < entry.version()) {
      readLog();
    }
    scheduleNotification();
  }

  /**
   * Sends a message to all other live members.
   *
   * @param message the message
   */
  public void broadcast(PeerMessage message) {
    Member self = membership.getSelf();
    for (Member member : getLiveMembers()) {
      if (!member.id().equals(self.id())) {
        link.send(member.address(), message);
      }
    }
  }

  /**
   * Sends a message to one node.
   *
   * @param address peer address
   * @param message the message
   */
  public void send(String address, PeerMessage message) {
    link.send(address, message);
  }

  @Override
  public void onMessage(NodeId sender, PeerMessage message) {
    long nowNanos = System.nanoTime();
    if (message instanceof MembershipMessage membershipMessage) {
      send(membership.onMessage(sender, membershipMessage, nowNanos, random));
      long version = versionOf(membershipMessage);
      if (version != MembershipMessage.NO_VERSION) {
        send(sync.onPeerVersion(sender, version, nowNanos));
      }
    } else if (message instanceof ConfigurationMessage configurationMessage) {
      send(sync.onMessage(sender, configurationMessage, nowNanos, random));
      scheduleNotification();
    } else {
      handlers.forEach(
          (family, handler) -> {
            if (family.isInstance(message)) {
              handler.onMessage(sender, message);
            }
          });
    }
  }

  private static long versionOf(MembershipMessage message) {
    if (message instanceof MembershipMessage.Probe probe) {
      return probe.configurationVersion();
    }
    if (message instanceof MembershipMessage.ProbeAnswer answer) {
      return answer.configurationVersion();
    }
    return MembershipMessage.NO_VERSION;
  }

  private ScheduledFuture<?> schedulePeriodically(long periodMs, Runnable task) {
    return timer.scheduleWithFixedDelay(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            LOG.error("periodic task failed; it runs again after its period", e);
          }
        },
        periodMs,
        periodMs,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Checks several times whether the process has ended, because a process closes its connections
   * before its listening socket.
   */
  private void onDisconnected(String address) {
    membership.getMembers().stream()
        .filter(member -> member.address().equals(address))
        .filter(member -> !endedRuns.contains(member.id()))
        .forEach(
            member -> {
              for (long delayMs : END_CHECK_DELAYS_MS) {
                timer.schedule(() -> checkEnded(member), delayMs, TimeUnit.MILLISECONDS);
              }
            });
  }

  private void checkEnded(Member member) {
    if (!endedRuns.contains(member.id())) {
      link.checkEnded(member.address(), () -> onRunEnded(member.id()));
    }
  }

  private void checkEndedRuns() {
    membership.getMembers().stream()
        .filter(member -> member.status() != MemberStatus.ALIVE)
        .filter(member -> !endedRuns.contains(member.id()))
        .limit(MAX_END_CHECKS)
        .forEach(member -> link.checkEnded(member.address(), () -> onRunEnded(member.id())));
  }

  /**
   * Closes the connections to members declared dead, because TCP may keep the connection to a VM
   * that vanished open for minutes.
   */
  private void disconnectDead() {
    long changeCount = membership.getChangeCount();
    if (changeCount == checkedChangeCount) {
      return;
    }
    checkedChangeCount = changeCount;
    Set<String> dead = new HashSet<>();
    membership.getMembers().stream()
        .filter(member -> member.status() == MemberStatus.DEAD)
        .forEach(member -> dead.add(member.address()));
    dead.stream().filter(address -> !deadAddresses.contains(address)).forEach(link::disconnect);
    deadAddresses = dead;
  }

  private void tick() {
    long nowNanos = System.nanoTime();
    send(membership.onTick(nowNanos, random));
    disconnectDead();
    send(sync.onTick(nowNanos));
  }

  private void scheduleNotification() {
    if (store.get().version() != appliedVersion) {
      timer.execute(this::notifyListeners);
    }
  }

  private synchronized void notifyListeners() {
    Configuration configuration = store.get();
    if (configuration.version() != appliedVersion) {
      listeners.forEach(listener -> listener.accept(configuration));
      appliedVersion = configuration.version();
    }
  }

  private void pollHead() {
    if (sync.isReady() && !sync.shouldPollHead()) {
      return;
    }
    log.readHead()
        .thenAccept(
            result -> {
              if (result instanceof ConfigurationLog.LogResult.HeadVersion head
                  && sync.onHeadRead(head.version())) {
                readLog();
              }
            });
  }

  private void readLog() {
    log.readEntriesAfter(store.get().version(), LOG_PAGE)
        .thenAccept(
            result -> {
              if (result instanceof ConfigurationLog.LogResult.Entries found
                  && !found.entries().isEmpty()) {
                send(sync.onEntries(found.entries(), System.nanoTime(), random));
                scheduleNotification();
                if (found.entries().size() == LOG_PAGE) {
                  readLog();
                }
              }
            });
  }

  private void send(List<Outgoing> messages) {
    messages.forEach(outgoing -> link.send(outgoing.address(), outgoing.message()));
  }
}
