package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.gooseberryhook.coordination.EngineReconciler;
import org.gooseberryhook.coordination.EngineReconciler.LoadedLayers;
import org.gooseberryhook.coordination.EngineReconciler.Step;
import org.gooseberryhook.coordination.HeldLease;
import org.gooseberryhook.coordination.LayerLoadQueue;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.Target;
import org.jboss.logging.Logger;

/**
 * Orders engines to load the layers that the placement plans assign to them. Each target is
 * assigned to one of a few load slots by the hash of its id. The holder of {@code
 * duty/load-slot/<n>} acquires the order leases of the slot's targets that differ from their plan
 * and lets one of them load at a time, so the number of loads in progress over all nodes is at most
 * the number of slots.
 *
 * @since 0.1
 */
public final class EngineOrderService {

  /** Longest delivery time of an order: the whole call is aborted after it. */
  static final long MAX_DELIVERY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final Logger LOG = Logger.getLogger(EngineOrderService.class);
  private static final String SLOT_PREFIX = "duty/load-slot/";
  private static final String ORDER_PREFIX = "duty/order/";
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long TICK_MS = 200;

  /**
   * Maximum number of targets of one slot that are drained and ordered at the same time; the others
   * wait.
   */
  private static final int MAX_JOBS_PER_SLOT = 16;

  /**
   * Longest wait for streams to end; after it, a target is loaded although some still run on it.
   */
  private static final long MAX_DRAIN_NANOS = TimeUnit.SECONDS.toNanos(120);

  private static final int HTTP_CONFLICT = 409;

  private final LeaseService leases;
  private final FleetService fleet;
  private final PlacementService placement;
  private final HttpCaller caller;
  private final ScheduledExecutorService timer;
  private final Predicate<String> isFencingChecked;
  private final int slotCount;
  private final Map<String, Slot> slots = new HashMap<>();
  private final Map<String, Job> jobs = new TreeMap<>();
  private ScheduledFuture<?> task;

  /**
   * Creates a service.
   *
   * @param leases holds the leases on slots and orders
   * @param fleet the targets
   * @param placement the plans
   * @param caller calls engines; its timeout must be at most the longest delivery time
   * @param timer runs the ticks, which never block
   * @param isFencingChecked returns for a model id whether its engines refuse old fencing numbers
   * @param slotCount maximum number of loads in progress at once over all nodes; must be the same
   *     at all nodes
   */
  EngineOrderService(
      LeaseService leases,
      FleetService fleet,
      PlacementService placement,
      HttpCaller caller,
      ScheduledExecutorService timer,
      Predicate<String> isFencingChecked,
      int slotCount) {
    this.leases = leases;
    this.fleet = fleet;
    this.placement = placement;
    this.caller = caller;
    this.timer = timer;
    this.isFencingChecked = isFencingChecked;
    this.slotCount = slotCount;
    leases.addDuties(this::getDuties);
  }

  /** JSON body of a load order. */
  record LoadOrder(
      long fencingNumber, String modelId, String modelVersion, int firstLayer, int endLayer) {}

  /** A load slot during one term of its lease. */
  private record Slot(long fencingNumber, long heldSinceNanos, LayerLoadQueue queue) {

    /** Fencing numbers start at 1, so a higher one means that the slot had an earlier holder. */
    private boolean hadEarlierHolder() {
      return fencingNumber > 1;
    }
  }

  /** A target that is brought to its desired state during one term of its order lease. */
  private static final class Job {

    private final Target target;
    private final String slotKey;
    private final long startNanos = System.nanoTime();
    private EngineReconciler reconciler;
    private long fencingNumber;
    private boolean isReadyToLoad;
    private long lastOrderNanos = startNanos - MAX_DELIVERY_NANOS;

    private Job(Target target, String slotKey) {
      this.target = target;
      this.slotKey = slotKey;
    }

    private String orderKey() {
      return ORDER_PREFIX + target.targetId();
    }
  }

  /** Starts the ticks. */
  public void start() {
    task = timer.scheduleWithFixedDelay(this::safeTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops the ticks. */
  public void stop() {
    if (task != null) {
      task.cancel(false);
    }
  }

  private String slotOf(String targetId) {
    return SLOT_PREFIX + Math.floorMod(targetId.hashCode(), slotCount);
  }

  /**
   * Returns the slots that this node should hold by the hash of their keys, and the order leases of
   * the jobs in them.
   */
  private synchronized Map<String, List<NodeId>> getDuties(LeaseService.Nodes nodes) {
    Map<String, List<NodeId>> duties = new LinkedHashMap<>();
    for (int number = 0; number < slotCount; number++) {
      String key = SLOT_PREFIX + number;
      nodes.getDeputies(key).ifPresent(deputies -> duties.put(key, deputies));
    }
    for (Job job : jobs.values()) {
      List<NodeId> deputies = duties.get(job.slotKey);
      if (deputies != null) {
        duties.put(job.orderKey(), deputies);
      }
    }
    return duties;
  }

  private void safeTick() {
    try {
      tick();
    } catch (RuntimeException e) {
      LOG.error("engine order tick failed; it runs again", e);
    }
  }

  private synchronized void tick() {
    long nowNanos = System.nanoTime();
    Map<String, LoadedLayers> desired = placement.getDesired();
    Map<String, HeldLease> heldSlots = leases.getHeldLeases(SLOT_PREFIX);
    updateSlots(heldSlots, nowNanos);
    removeFinishedJobs(desired, heldSlots, nowNanos);
    addJobs(desired, heldSlots);
    Map<String, HeldLease> heldOrders = leases.getHeldLeases(ORDER_PREFIX);
    for (Job job : jobs.values()) {
      HeldLease lease = heldOrders.get(job.orderKey());
      if (lease != null) {
        startTerm(job, lease, nowNanos);
        job.reconciler.setDesired(desired.get(job.target.targetId()));
        if (job.reconciler.next(nowNanos) instanceof Step.Read) {
          readState(job);
        }
      }
    }
  }

  private void updateSlots(Map<String, HeldLease> heldSlots, long nowNanos) {
    slots.keySet().retainAll(heldSlots.keySet());
    heldSlots.forEach(
        (key, lease) -> {
          Slot slot = slots.get(key);
          if (slot == null || slot.fencingNumber() != lease.fencingNumber()) {
            slots.put(key, new Slot(lease.fencingNumber(), nowNanos, new LayerLoadQueue()));
          }
        });
  }

  private void removeFinishedJobs(
      Map<String, LoadedLayers> desired, Map<String, HeldLease> heldSlots, long nowNanos) {
    jobs.values()
        .removeIf(
            job -> {
              boolean isDone =
                  !desired.containsKey(job.target.targetId())
                      || !heldSlots.containsKey(job.slotKey)
                      || (job.reconciler != null && job.reconciler.isSettled(nowNanos));
              if (isDone && slots.containsKey(job.slotKey)) {
                slots.get(job.slotKey).queue().finish(job.target.targetId());
              }
              return isDone;
            });
  }

  private void addJobs(Map<String, LoadedLayers> desired, Map<String, HeldLease> heldSlots) {
    if (heldSlots.isEmpty() || desired.isEmpty()) {
      return;
    }
    Map<String, Integer> countBySlot = new HashMap<>();
    jobs.values().forEach(job -> countBySlot.merge(job.slotKey, 1, Integer::sum));
    for (Target engine : fleet.getEngines()) {
      String slotKey = slotOf(engine.targetId());
      LoadedLayers desiredLayers = desired.get(engine.targetId());
      boolean isDifferent =
          desiredLayers != null && !desiredLayers.equals(FleetService.toLoadedLayers(engine));
      if (isDifferent
          && FleetService.isOrderable(engine)
          && heldSlots.containsKey(slotKey)
          && !jobs.containsKey(engine.targetId())
          && countBySlot.merge(slotKey, 1, Integer::sum) <= MAX_JOBS_PER_SLOT) {
        jobs.put(engine.targetId(), new Job(engine, slotKey));
      }
    }
  }

  private void startTerm(Job job, HeldLease lease, long nowNanos) {
    if (job.reconciler == null || job.fencingNumber != lease.fencingNumber()) {
      job.fencingNumber = lease.fencingNumber();
      job.isReadyToLoad = false;
      job.reconciler =
          new EngineReconciler(
              isFencingChecked.test(job.target.serves()),
              lease.fencingNumber(),
              MAX_DELIVERY_NANOS,
              nowNanos);
    }
  }

  private void readState(Job job) {
    EngineReconciler reconciler = job.reconciler;
    caller
        .call(new Request.Builder().url(job.target.address() + "/v1/state"))
        .thenAccept(exchange -> onStateRead(job, reconciler, exchange));
  }

  private synchronized void onStateRead(
      Job job, EngineReconciler reconciler, HttpCaller.Exchange exchange) {
    if (job.reconciler != reconciler) {
      return;
    }
    long nowNanos = System.nanoTime();
    JsonNode state = parseState(exchange);
    Optional<LoadedLayers> loaded =
        state == null ? Optional.empty() : Optional.of(toLoadedLayers(state));
    boolean isAsDesired = loaded.isPresent() && loaded.get().equals(getDesired(job));
    if (state != null) {
      fleet.onReport(job.target, state, nowNanos);
    }
    Slot slot = slots.get(job.slotKey);
    if (isAsDesired && slot != null) {
      slot.queue().finish(job.target.targetId());
    }
    job.isReadyToLoad = loaded.isPresent() && !isAsDesired && isDrained(job, state, nowNanos);
    // Without a state, the reconciler sends no order until the target is drained and its slot is
    // free. A load may take minutes; the order is repeated once per delivery time, in case it
    // was lost.
    boolean isOrderDue = nowNanos - job.lastOrderNanos >= MAX_DELIVERY_NANOS;
    boolean isOrderAllowed =
        isAsDesired || (job.isReadyToLoad && mayStartLoad(job, nowNanos) && isOrderDue);
    Step step = reconciler.onRead(isOrderAllowed ? loaded : Optional.empty(), nowNanos);
    if (step instanceof Step.Order order) {
      sendOrder(job, reconciler, order);
    }
  }

  private LoadedLayers getDesired(Job job) {
    return placement.getDesired().get(job.target.targetId());
  }

  /**
   * Returns whether the target may be loaded: all nodes know the plan, so that none sends new work
   * to it, and its streams have ended or the longest drain time has passed.
   */
  private boolean isDrained(Job job, JsonNode state, long nowNanos) {
    boolean isIdle = state.path("chains").asInt() == 0;
    boolean isDrainTimeOver = nowNanos - job.startNanos >= MAX_DRAIN_NANOS;
    return placement.getNanosSincePropagation() > 0 && (isIdle || isDrainTimeOver);
  }

  private boolean mayStartLoad(Job job, long nowNanos) {
    Slot slot = slots.get(job.slotKey);
    // An order of the slot's earlier holder may still be in transit.
    if (slot == null
        || (slot.hadEarlierHolder() && nowNanos - slot.heldSinceNanos() < MAX_DELIVERY_NANOS)) {
      return false;
    }
    if (slot.queue().isLoading(job.target.targetId())) {
      return true;
    }
    List<LayerLoadQueue.Candidate> ready = new ArrayList<>();
    for (Job other : jobs.values()) {
      if (other.isReadyToLoad && other.slotKey.equals(job.slotKey)) {
        ready.add(new LayerLoadQueue.Candidate(other.target.targetId(), other.target.place()));
      }
    }
    return slot.queue().start(ready, nowNanos).filter(job.target.targetId()::equals).isPresent();
  }

  private void sendOrder(Job job, EngineReconciler reconciler, Step.Order order) {
    LayerRange layers = order.desired().layers();
    byte[] body;
    try {
      body =
          Json.MAPPER.writeValueAsBytes(
              new LoadOrder(
                  order.fencingNumber(),
                  order.desired().modelId(),
                  order.desired().modelVersion(),
                  layers.firstLayer(),
                  layers.endLayer()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("load order cannot be written as JSON", e);
    }
    if (!leases.isHolder(job.orderKey()) || !leases.isHolder(job.slotKey)) {
      reconciler.onOrderResult(false);
      return;
    }
    job.lastOrderNanos = System.nanoTime();
    LOG.infof("ordering target %s to load %s", job.target.targetId(), order.desired());
    caller
        .call(
            new Request.Builder()
                .url(job.target.address() + "/v1/orders")
                .post(RequestBody.create(body, JSON)))
        .thenAccept(exchange -> onOrderResult(job, reconciler, exchange));
  }

  private synchronized void onOrderResult(
      Job job, EngineReconciler reconciler, HttpCaller.Exchange exchange) {
    boolean isRefused =
        exchange instanceof HttpCaller.Exchange.Answered answered
            && answered.status() == HTTP_CONFLICT;
    if (!reconciler.onOrderResult(isRefused) && job.reconciler == reconciler) {
      LOG.warnf(
          "%s: the target refused an old fencing number; the lease has a later holder",
          job.orderKey());
      jobs.remove(job.target.targetId(), job);
      if (slots.containsKey(job.slotKey)) {
        slots.get(job.slotKey).queue().finish(job.target.targetId());
      }
    }
  }

  private static JsonNode parseState(HttpCaller.Exchange exchange) {
    if (exchange instanceof HttpCaller.Exchange.Answered answered
        && answered.status() == HttpCaller.OK) {
      try {
        return Json.MAPPER.readTree(answered.body());
      } catch (IOException e) {
        LOG.debug("an engine state is not valid JSON", e);
      }
    }
    return null;
  }

  private static LoadedLayers toLoadedLayers(JsonNode state) {
    return new LoadedLayers(
        state.path("modelId").asText(),
        state.path("modelVersion").asText(),
        LayerRange.of(state.path("firstLayer").asInt(), state.path("endLayer").asInt()));
  }
}
