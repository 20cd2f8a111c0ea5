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
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import okhttp3.OkHttpClient;
import org.gooseberryhook.coordination.AdmissionController;
import org.gooseberryhook.coordination.ConfigurationLog;
import org.gooseberryhook.coordination.ConfigurationWriter;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.Membership;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.PrefixIndex;
import org.gooseberryhook.coordination.RetryBudget;
import org.gooseberryhook.coordination.ShardNodeRanking;
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
  private static final long CRASH_MARK_PERIOD_MS = 5_000;

  /**
   * Period at which the free slots of the load reports are passed to admission; shorter than that
   * of the reports.
   */
  private static final long FREE_SLOTS_PERIOD_MS = 250;

  /**
   * Each node takes half of its share, so that nodes that raise their limits together do not
   * overshoot.
   */
  private static final int FREE_SLOTS_DIVISOR = 2;

  private static final long DRAIN_CHECK_MS = 50;
  private static final long DRAIN_LOG_MS = 1_000;
  private static final long RELEASE_TIMEOUT_MS = 2_000;

  /**
   * Time for the last responses to be sent, as a call stops being counted shortly before its
   * response is on the network.
   */
  private static final long RESPONSE_FLUSH_MS = 200;

  private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MIN_ADDRESSES = 3;
  private static final int MAX_ADDRESSES = 9;

  /** An initial limit far above what the fleet carries takes most of a minute to come down. */
  private static final int INITIAL_CONCURRENCY_LIMIT = 128;

  private static final int MIN_CONCURRENCY_LIMIT = 16;

  private final NodeSettings settings;
  private final NodeId self;
  private final RandomGenerator random = new Random();
  private final ThreadPoolExecutor streamPool =
      NodeThreads.newPool("engine-stream", MAX_STREAM_THREADS);
  private final ThreadPoolExecutor workerPool =
      NodeThreads.newPool("caller-worker", MAX_WORKER_THREADS);
  private final ThreadPoolExecutor adminPool =
      NodeThreads.newPool("admin-worker", MAX_WORKER_THREADS / 8);
  private final ScheduledExecutorService timer = NodeThreads.newTimer("node-timer", TIMER_THREADS);
  private final HttpClients clients = new HttpClients();
  private final NodeMetrics metrics = new NodeMetrics();
  private final CrashMarkRegistry crashMarks = new CrashMarkRegistry();
  private final ConfigurationStore store = new ConfigurationStore();
  private final ClusterService cluster;
  private final PeerTransport peers;
  private final PipelineRouter router;
  private final FleetService fleet;
  private final LeaseService leases;
  private final ControlServices control;
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
    PipelineHealth health = new PipelineHealth();
    this.router = new PipelineRouter(pipelines, health, new PrefixIndex());
    this.fleet =
        new FleetService(
            HttpVmList.of(clients, settings.platform().vmList()),
            store::get,
            pipelines,
            router,
            clients.newClient("load-report", MAX_LOAD_REPORTS, REPORT_TIMEOUT),
            timer);
    this.leases = new LeaseService(self, cluster, table, timer);
    this.quota = new QuotaService(self, cluster, leases, timer);
    this.control = new ControlServices(settings, cluster, fleet, leases, table, clients, timer);
    RetryBudget retries = new RetryBudget();
    this.modelCalls = newModelCalls(router, retries);
    HttpPlainServiceClient services = new HttpPlainServiceClient(clients);
    this.onceCalls = newOnceCalls(table, services);
    cluster.addRunEndListener(leases::onNodeEnded);
    cluster.addRunEndListener(quota::onNodeEnded);
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
    this.adminApi = newAdminApi(table, pipelines, health);
    registerGauges();
  }

  private ModelCallService newModelCalls(PipelineRouter router, RetryBudget retries) {
    int maxConcurrent = settings.limits().maxConcurrentRequests();
    AdmissionController controller =
        new AdmissionController(
            Math.min(INITIAL_CONCURRENCY_LIMIT, maxConcurrent),
            Math.min(MIN_CONCURRENCY_LIMIT, maxConcurrent),
            maxConcurrent,
            maxConcurrent);
    OkHttpClient engineClient = clients.newClient("engine", MAX_STREAMS, Duration.ZERO);
    return new ModelCallService(
        new HttpEngineClient(engineClient, streamPool),
        new CallControls(crashMarks, quota.getHolder(), controller, router, retries),
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

  private AdminApi newAdminApi(TableService table, PipelineTable pipelines, PipelineHealth health) {
    NodeAdminView view =
        new NodeAdminView(
            cluster, fleet, leases, modelCalls, crashMarks, pipelines, health, () -> isLeaving);
    return new AdminApi(
        settings,
        cluster,
        new ConfigurationWriter(table),
        view,
        metrics,
        control.newApi(),
        adminPool);
  }

  private void registerGauges() {
    metrics.gauge("running_requests", modelCalls::getRunningCount);
    metrics.gauge("configuration_version", () -> store.get().version());
    metrics.gauge("live_members", () -> cluster.getLiveMembers().size());
    metrics.gauge("peer_bytes_out", () -> peers.getCounts().bytesOut());
    metrics.gauge("peer_bytes_in", () -> peers.getCounts().bytesIn());
  }

  /**
   * Starts the node. Requests of callers are refused as not ready until a configuration is trusted.
   */
  public void start() {
    ListenAddress.of(settings.node().callerAddress()).requireFree("the caller API");
    ListenAddress.of(settings.node().adminAddress()).requireFree("the administration API");
    peers.start();
    cluster.start(peers);
    fleet.start();
    control.start();
    quota.start();
    onceCalls.start();
    modelCalls.start();
    timer.scheduleWithFixedDelay(
        this::sendCrashMarks, CRASH_MARK_PERIOD_MS, CRASH_MARK_PERIOD_MS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        this::updateFreeSlots, FREE_SLOTS_PERIOD_MS, FREE_SLOTS_PERIOD_MS, TimeUnit.MILLISECONDS);
    adminApi.start();
    callerApi.start();
    LOG.infof(
        "node %s in data centre %s serves callers at %s",
        self.address(), settings.node().place(), settings.node().callerAddress());
  }

  /**
   * Stops gracefully: the node is no longer listed in address responses, serves callers that still
   * use its address until the responses expire, refuses later requests, waits for its streams and
   * once-only calls, releases its leases and stops.
   *
   * @return number of calls that the drain timeout cut off
   */
  public int drain() {
    LOG.infof(
        "node %s drains; %d requests are running", self.address(), modelCalls.getRunningCount());
    isLeaving = true;
    cluster.leave();
    leases.release();
    long deadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.node().drainTimeoutMs());
    long addressExpiryMs =
        Math.min(CallerApi.ADDRESS_VALIDITY_MS, settings.node().drainTimeoutMs() / 2);
    awaitUntil(
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(addressExpiryMs),
        "callers to switch to other addresses",
        () -> false);
    // A call that is accepted during the waits below would be cut off at their end.
    modelCalls.refuseNew();
    onceCalls.refuseNew();
    awaitUntil(deadlineNanos, "calls to end", () -> getOpenCalls() == 0);
    int cutOff = getOpenCalls();
    awaitUntil(
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESPONSE_FLUSH_MS),
        "responses to be sent",
        () -> false);
    long releaseNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_TIMEOUT_MS);
    awaitUntil(releaseNanos, "leases to be released", leases::isEverythingReleased);
    stop();
    LOG.infof("node %s stopped; %d requests were cut off", self.address(), cutOff);
    return cutOff;
  }

  private int getOpenCalls() {
    return modelCalls.getRunningCount() + onceCalls.getOpenCount();
  }

  /** Stops the node at once. */
  public void stop() {
    callerApi.stop();
    adminApi.stop();
    modelCalls.stop();
    onceCalls.stop(RELEASE_TIMEOUT_MS);
    fleet.stop();
    quota.stop();
    control.stop();
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
   * Returns whether the node may serve.
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

  /**
   * Returns the caller addresses of the nodes that the workspace prefers, best first. This node is
   * left out while it drains.
   */
  private List<String> getAddresses(String workspaceId) {
    List<Member> members =
        cluster.getLiveMembers().stream()
            .filter(member -> !(isLeaving && member.id().equals(self)))
            .toList();
    List<ShardNodeRanking.PlacedNode> nodes =
        members.stream()
            .map(member -> new ShardNodeRanking.PlacedNode(member.id(), member.place()))
            .toList();
    List<String> addresses = new ArrayList<>();
    for (NodeId id :
        ShardNodeRanking.rank(workspaceId, nodes, Math.max(MIN_ADDRESSES, MAX_ADDRESSES))) {
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
    } else if (message instanceof TargetMessage.RunEnded ended) {
      onRunEndReported(sender, ended);
    }
  }

  /**
   * Records the end of a run that another node reports. A report that this run has ended is
   * ignored, since it is wrong or means an earlier run.
   */
  private void onRunEndReported(NodeId sender, TargetMessage.RunEnded ended) {
    if (ended.run().equals(self)) {
      LOG.errorf(
          "node %s reports that this run has ended, which is ignored: %s",
          sender.address(), ended.reason());
    } else {
      cluster.onRunEnded(ended.run());
    }
  }

  private void onCrashMessage(NodeId sender, PeerMessage message) {
    if (message instanceof CrashMessage.CrashMarks marks) {
      crashMarks.merge(marks, System.nanoTime());
    } else if (message instanceof CrashMessage.CrashClears clears) {
      crashMarks.merge(clears, System.nanoTime());
    }
  }

  private void updateFreeSlots() {
    if (isLeaving) {
      return;
    }
    int share = router.countFreeSlots() / (FREE_SLOTS_DIVISOR * cluster.getLiveMembers().size());
    modelCalls.getControls().admission().onFreeSlots(share);
  }

  /**
   * Sends all crash marks to one random other node, so that a node that missed some receives them.
   */
  private void sendCrashMarks() {
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

  /** Records crash marks here and sends them to the other nodes. */
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

  private void awaitUntil(long deadlineNanos, String what, BooleanSupplier isDone) {
    long nextLogNanos = System.nanoTime();
    try {
      while (!isDone.getAsBoolean() && System.nanoTime() - deadlineNanos < 0) {
        if (System.nanoTime() - nextLogNanos >= 0) {
          LOG.infof("the drain waits for %s; %d calls are open", what, getOpenCalls());
          nextLogNanos += TimeUnit.MILLISECONDS.toNanos(DRAIN_LOG_MS);
        }
        Thread.sleep(DRAIN_CHECK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static InetSocketAddress toSocketAddress(String address) {
    ListenAddress listen = ListenAddress.of(address);
    return new InetSocketAddress(listen.host(), listen.port());
  }
}
