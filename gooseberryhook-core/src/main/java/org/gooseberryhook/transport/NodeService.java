package org.gooseberryhook.transport;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import okhttp3.OkHttpClient;
import org.gooseberryhook.coordination.ConfigurationLog;
import org.gooseberryhook.coordination.ConfigurationWriter;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.HomeNodes;
import org.gooseberryhook.coordination.Membership;
import org.gooseberryhook.coordination.OverloadGate;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.PrefixIndex;
import org.gooseberryhook.coordination.RetryBudget;
import org.gooseberryhook.protocol.CrashMessage;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.protocol.TargetMessage;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.Target;
import org.jboss.logging.Logger;

/**
 * An entry node: the services of one process, started and stopped together.
 *
 * @since 0.1
 */
public final class NodeService {

  private static final Logger LOG = Logger.getLogger(NodeService.class);
  private static final int MAX_STREAM_THREADS = 8_192;
  private static final int MAX_WORKER_THREADS = 512;
  private static final int TIMER_THREADS = 4;
  private static final int MAX_STREAMS = 8_192;
  private static final int MAX_LOAD_REPORTS = 64;
  private static final long THREAD_IDLE_SECONDS = 30;
  private static final long CRASH_SPREAD_MS = 5_000;

  /** As often as load reports come in. */
  private static final long FREE_SLOTS_MS = 250;

  /** Each node takes half of its part, so that nodes that rise together do not overshoot. */
  private static final int FREE_SLOTS_DIVISOR = 2;

  private static final long DRAIN_CHECK_MS = 50;
  private static final long RELEASE_TIMEOUT_MS = 2_000;
  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);
  private static final int HOME_COUNT = 3;
  private static final int MAX_ADDRESSES = 9;

  /** A first limit far above what the fleet carries takes most of a minute to come down. */
  private static final int INITIAL_CONCURRENT = 128;

  private static final int MIN_CONCURRENT = 16;

  private final NodeSettings settings;
  private final NodeId self;
  private final RandomGenerator random = new Random();
  private final ThreadPoolExecutor streamPool = boundedPool("engine-stream", MAX_STREAM_THREADS);
  private final ThreadPoolExecutor workerPool = boundedPool("caller-worker", MAX_WORKER_THREADS);
  private final ThreadPoolExecutor adminPool = boundedPool("admin-worker", MAX_WORKER_THREADS / 8);
  private final ScheduledExecutorService timer = newTimer();
  private final HttpClients clients = new HttpClients();
  private final NodeMetrics metrics = new NodeMetrics();
  private final CrashMarkRegistry crashMarks = new CrashMarkRegistry();
  private final ConfigurationStore store = new ConfigurationStore();
  private final ClusterService cluster;
  private final PeerTransport peers;
  private final PipelineRouter router;
  private final FleetService fleet;
  private final QuotaService quota;
  private final ModelCallService modelCalls;
  private final OnceCallService onceCalls;
  private final CallerApi callerApi;
  private final AdminApi adminApi;
  private volatile boolean isLeaving;

  /**
   * Creates a node.
   *
   * @param settings valid settings
   */
  public NodeService(NodeSettings settings) {
    this.settings = settings;
    NodeSettings.Node node = settings.node();
    this.self = NodeId.of(node.peerAddress(), System.currentTimeMillis());
    Member member =
        new Member(self, node.place(), node.region(), node.callerAddress(), MemberStatus.ALIVE, 0);
    TableService table = HttpTableService.of(clients, settings.platform().tableService());
    this.cluster =
        new ClusterService(
            new Membership(member, node.seeds()),
            store,
            new ConfigurationLog(table),
            timer,
            random);
    this.peers = new PeerTransport(self, toSocketAddress(node.peerAddress()), cluster);
    PipelineTable pipelines = new PipelineTable();
    this.router = new PipelineRouter(pipelines, new PipelineHealth(), new PrefixIndex());
    this.fleet =
        new FleetService(
            HttpVmList.of(clients, settings.platform().vmList()),
            store::get,
            pipelines,
            router,
            clients.newClient("load-report", MAX_LOAD_REPORTS, REPORT_TIMEOUT),
            timer);
    this.quota = new QuotaService(self, cluster, table, timer);
    RetryBudget retries = new RetryBudget();
    this.modelCalls = newModelCalls(router, retries);
    HttpPlainServiceClient services = new HttpPlainServiceClient(clients);
    this.onceCalls = newOnceCalls(table, services);
    cluster.addEndListener(quota::onNodeEnded);
    KeyIndex keys = new KeyIndex();
    cluster.addListener(keys::update);
    cluster.addListener(ignored -> fleet.onConfigurationChanged());
    cluster.setHandler(TargetMessage.class, this::onTargetMessage);
    cluster.setHandler(CrashMessage.class, this::onCrashMessage);
    ServiceCallApi serviceCalls =
        new ServiceCallApi(
            cluster,
            quota.getHolder(),
            onceCalls,
            new IdempotentCall(services, this::getServiceAddresses, System::nanoTime, random),
            retries,
            metrics);
    this.callerApi =
        new CallerApi(
            settings, cluster, keys, modelCalls, serviceCalls, this::getAddresses, workerPool);
    this.adminApi = newAdminApi(table, pipelines);
    registerGauges();
  }

  private ModelCallService newModelCalls(PipelineRouter router, RetryBudget retries) {
    int maxConcurrent = settings.limits().maxConcurrentRequests();
    OverloadGate gate =
        new OverloadGate(
            Math.min(INITIAL_CONCURRENT, maxConcurrent),
            Math.min(MIN_CONCURRENT, maxConcurrent),
            maxConcurrent,
            maxConcurrent);
    OkHttpClient engineClient = clients.newClient("engine", MAX_STREAMS, Duration.ZERO);
    return new ModelCallService(
        new HttpEngineClient(engineClient, streamPool),
        new CallControls(crashMarks, quota.getHolder(), gate, router, retries),
        new ClusterCrashReporter(),
        timer,
        metrics);
  }

  private OnceCallService newOnceCalls(TableService table, HttpPlainServiceClient services) {
    return new OnceCallService(
        new OnceCallService.Ports(
            table,
            services,
            name -> store.get().getService(name).orElse(null),
            this::getServiceAddresses,
            System::nanoTime,
            System::currentTimeMillis),
        settings.node().peerAddress(),
        new SecureRandom());
  }

  private AdminApi newAdminApi(TableService table, PipelineTable pipelines) {
    NodeAdminView view =
        new NodeAdminView(
            cluster, fleet, quota, modelCalls, crashMarks, pipelines, () -> isLeaving);
    return new AdminApi(
        settings, cluster, new ConfigurationWriter(table), view, metrics, adminPool);
  }

  private void registerGauges() {
    metrics.gauge("running_requests", modelCalls::getRunningCount);
    metrics.gauge("configuration_version", () -> store.get().version());
    metrics.gauge("live_members", () -> cluster.getLiveMembers().size());
    metrics.gauge("peer_bytes_out", () -> peers.getCounts().bytesOut());
    metrics.gauge("peer_bytes_in", () -> peers.getCounts().bytesIn());
  }

  /** Starts the node. Callers are refused as not ready until a configuration is trusted. */
  public void start() {
    peers.start();
    cluster.start(peers);
    fleet.start();
    quota.start();
    onceCalls.start();
    modelCalls.start();
    timer.scheduleWithFixedDelay(
        this::spreadCrashMarks, CRASH_SPREAD_MS, CRASH_SPREAD_MS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        this::shareFreeSlots, FREE_SLOTS_MS, FREE_SLOTS_MS, TimeUnit.MILLISECONDS);
    adminApi.start();
    callerApi.start();
    LOG.infof(
        "node %s in place %s serves callers at %s",
        self.address(), settings.node().place(), settings.node().callerAddress());
  }

  /**
   * Stops gracefully: the node leaves the address answers, serves those who still come, waits for
   * its streams, releases its leases and stops.
   *
   * @return number of streams that the drain timeout cut off
   */
  public int drain() {
    LOG.infof("node %s drains %d requests", self.address(), modelCalls.getRunningCount());
    isLeaving = true;
    cluster.leave();
    quota.release();
    long deadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.node().drainTimeoutMs());
    long quietNanos =
        System.nanoTime()
            + Math.min(
                TimeUnit.MILLISECONDS.toNanos(CallerApi.ADDRESS_VALIDITY_MS),
                TimeUnit.MILLISECONDS.toNanos(settings.node().drainTimeoutMs() / 2));
    while (System.nanoTime() - deadlineNanos < 0
        && (modelCalls.getRunningCount() > 0 || System.nanoTime() - quietNanos < 0)) {
      sleep(DRAIN_CHECK_MS);
    }
    int cutOff = modelCalls.getRunningCount();
    long releaseNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_TIMEOUT_MS);
    while (!quota.isReleased() && System.nanoTime() - releaseNanos < 0) {
      sleep(DRAIN_CHECK_MS);
    }
    stop();
    LOG.infof("node %s stopped; %d requests were cut off", self.address(), cutOff);
    return cutOff;
  }

  /** Stops the node at once. */
  public void stop() {
    callerApi.stop();
    adminApi.stop();
    modelCalls.stop();
    onceCalls.stop(RELEASE_TIMEOUT_MS);
    fleet.stop();
    quota.stop();
    cluster.stop();
    peers.stop();
    timer.shutdownNow();
    streamPool.shutdownNow();
    workerPool.shutdownNow();
    adminPool.shutdownNow();
    clients.stop();
    metrics.stop();
  }

  /**
   * Returns the identity of this run of the node.
   *
   * @return address and incarnation, never null
   */
  public NodeId getId() {
    return self;
  }

  /**
   * Returns the settings.
   *
   * @return the settings, never null
   */
  public NodeSettings getSettings() {
    return settings;
  }

  /**
   * Tells whether the node may serve.
   *
   * @return true if its configuration is trusted
   */
  public boolean isReady() {
    return cluster.isReady();
  }

  /**
   * Returns the version of the configuration in force.
   *
   * @return the version; -1 before the first is known
   */
  public long getConfigurationVersion() {
    return cluster.getAppliedVersion();
  }

  /**
   * Returns the number of pipelines that take new work.
   *
   * @return the count
   */
  public int getPipelineCount() {
    return fleet.getPipelines().size();
  }

  /** Home nodes of the workspace first, then some others; nodes that leave are not named. */
  private List<String> getAddresses(String workspaceId) {
    List<Member> members =
        cluster.getLiveMembers().stream()
            .filter(member -> !(isLeaving && member.id().equals(self)))
            .toList();
    List<HomeNodes.PlacedNode> nodes =
        members.stream()
            .map(member -> new HomeNodes.PlacedNode(member.id(), member.place()))
            .toList();
    List<String> addresses = new ArrayList<>();
    for (NodeId id : HomeNodes.of(workspaceId, nodes, Math.max(HOME_COUNT, MAX_ADDRESSES))) {
      members.stream()
          .filter(member -> member.id().equals(id))
          .findFirst()
          .ifPresent(member -> addresses.add(member.callerAddress()));
    }
    return addresses;
  }

  private List<String> getServiceAddresses(String service) {
    return fleet.getServiceTargets(service).stream().map(Target::address).toList();
  }

  private void onTargetMessage(NodeId sender, PeerMessage message) {
    if (message instanceof TargetMessage.TargetLeaving leaving) {
      fleet.onTargetLeaving(leaving.targetId());
    }
  }

  private void onCrashMessage(NodeId sender, PeerMessage message) {
    if (message instanceof CrashMessage.CrashMarks marks) {
      crashMarks.merge(marks, System.nanoTime());
    } else if (message instanceof CrashMessage.CrashClears clears) {
      crashMarks.merge(clears, System.nanoTime());
    }
  }

  private void shareFreeSlots() {
    if (isLeaving) {
      return;
    }
    int share = router.countFreeSlots() / (FREE_SLOTS_DIVISOR * cluster.getLiveMembers().size());
    modelCalls.getControls().gate().onFreeSlots(share);
  }

  /** Repeats the marks to one other node, so that a node that missed them learns them. */
  private void spreadCrashMarks() {
    long nowNanos = System.nanoTime();
    List<CrashMessage.Mark> marks = crashMarks.getMarks(nowNanos);
    List<Member> members = cluster.getLiveMembers();
    if (marks.isEmpty() || members.size() < 2) {
      return;
    }
    Member other = members.get(1 + random.nextInt(members.size() - 1));
    cluster.send(other.address(), new CrashMessage.CrashMarks(marks));
    cluster.send(other.address(), new CrashMessage.CrashClears(crashMarks.getClears(nowNanos)));
  }

  /** Marks the requests of a crash here and at the other nodes. */
  private final class ClusterCrashReporter implements CrashReporter {

    @Override
    public void onTargetDied(String targetId, Collection<Long> fingerprints) {
      fleet.onTargetDied(targetId);
      if (!fingerprints.isEmpty()) {
        String eventId = targetId + "/" + UUID.randomUUID();
        cluster.broadcast(crashMarks.recordCrash(eventId, fingerprints, System.nanoTime()));
      }
    }

    @Override
    public void onCleared(CrashMessage.CrashClears clears) {
      cluster.broadcast(clears);
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static InetSocketAddress toSocketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static ScheduledExecutorService newTimer() {
    ScheduledThreadPoolExecutor timer =
        new ScheduledThreadPoolExecutor(TIMER_THREADS, threads("node-timer"));
    // Otherwise the deadline of each finished request keeps it in memory.
    timer.setRemoveOnCancelPolicy(true);
    return timer;
  }

  private static ThreadPoolExecutor boundedPool(String name, int maxThreads) {
    return new ThreadPoolExecutor(
        0,
        maxThreads,
        THREAD_IDLE_SECONDS,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        threads(name));
  }

  private static ThreadFactory threads(String name) {
    AtomicInteger number = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
