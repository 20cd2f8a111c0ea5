package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.gooseberryhook.coordination.EngineReconciler.LoadedLayers;
import org.gooseberryhook.coordination.LayerSplitter;
import org.gooseberryhook.coordination.PlacementPlanner;
import org.gooseberryhook.coordination.RollingUpdatePlanner;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PlacementPlan;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.Versioned;
import org.jboss.logging.Logger;

/**
 * Reads the placement plans of all models and changes those whose lease this node holds. Every node
 * reads all plans; only the holder of {@code duty/placement/<model>} changes the plan of that
 * model. A plan is stored in one transaction with {@code placement-head}, so that two models never
 * get the same target and a plan of an outdated holder is refused.
 *
 * @since 0.1
 */
public final class PlacementService {

  private static final Logger LOG = Logger.getLogger(PlacementService.class);
  private static final String HEAD_KEY = "placement-head";
  private static final String PLAN_PREFIX = "placement/";
  private static final String LEASE_PREFIX = "duty/placement/";
  private static final int PLANS_PER_PAGE = 100;
  private static final long TICK_MS = 1_000;

  /**
   * Maximum rate of reads of the head by all nodes together; each node of a larger cluster reads
   * less often.
   */
  private static final int HEAD_READS_PER_SECOND = 100;

  private final ClusterService cluster;
  private final FleetService fleet;
  private final LeaseService leases;
  private final TableService table;
  private final ScheduledExecutorService timer;
  private final RollingUpdatePlanner planner =
      new RollingUpdatePlanner(new PlacementPlanner(LayerSplitter::splitGreedily));
  private final AtomicBoolean isUpdating = new AtomicBoolean();
  private volatile StoredPlans latestPlans = new StoredPlans(-1, Map.of(), System.nanoTime());
  private long nextReadNanos = System.nanoTime();
  private ScheduledFuture<?> task;

  /**
   * Creates a service.
   *
   * @param cluster members and configuration
   * @param fleet the targets
   * @param leases holds the leases on the models
   * @param table the table service
   * @param timer runs the ticks, which never block
   */
  public PlacementService(
      ClusterService cluster,
      FleetService fleet,
      LeaseService leases,
      TableService table,
      ScheduledExecutorService timer) {
    this.cluster = cluster;
    this.fleet = fleet;
    this.leases = leases;
    this.table = table;
    this.timer = timer;
    leases.addDuties(this::getDuties);
  }

  /**
   * Plans as last read from the table service.
   *
   * @param headVersion version of the head record before the plans were read; -1 before the first
   *     read, 0 if there is none
   * @param plans plan and record version by model id
   * @param readNanos monotonic time at which this version was read
   */
  private record StoredPlans(
      long headVersion, Map<String, Versioned<PlacementPlan>> plans, long readNanos) {}

  /** Value of the head record, of which only the version matters. */
  private record Head(String changedModelId) {}

  /** Starts the ticks. */
  public void start() {
    task = timer.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Stops the ticks. */
  public void stop() {
    if (task != null) {
      task.cancel(false);
    }
  }

  /**
   * Returns the stored plan of a model.
   *
   * @param modelId the model
   * @return the plan as last read; empty if there is none
   */
  public Optional<Versioned<PlacementPlan>> getPlan(String modelId) {
    return Optional.ofNullable(latestPlans.plans().get(modelId));
  }

  /**
   * Computes the next plan of a model from what this node knows, without storing it.
   *
   * @param modelId the model
   * @return the plan; the current one if no change is due; empty if the model is not declared
   */
  public Optional<PlacementPlan> preview(String modelId) {
    Versioned<ModelSpec> model = cluster.getConfiguration().models().get(modelId);
    if (model == null) {
      return Optional.empty();
    }
    RollingUpdatePlanner.Input input = toPlannerInput(model.value(), latestPlans);
    return Optional.of(planner.planNextStep(input).orElse(input.currentPlan()));
  }

  /** Returns the layers that each target must hold by the plans of the declared models. */
  Map<String, LoadedLayers> getDesired() {
    return toPlannedStates(latestPlans).layersByTarget();
  }

  /**
   * Returns the time in nanoseconds for which the plans have been unchanged here, less the time
   * within which all other nodes read them. If it is above 0, no node that can read the table
   * service sends new work to targets that are to be converted.
   */
  long getNanosSincePropagation() {
    return System.nanoTime() - latestPlans.readNanos() - 2 * getReadPeriodNanos();
  }

  private long getReadPeriodNanos() {
    long tickNanos = TimeUnit.MILLISECONDS.toNanos(TICK_MS);
    return Math.max(
        tickNanos,
        TimeUnit.SECONDS.toNanos(1) * cluster.getLiveMembers().size() / HEAD_READS_PER_SECOND);
  }

  private Map<String, List<NodeId>> getDuties(LeaseService.Nodes nodes) {
    Map<String, List<NodeId>> duties = new LinkedHashMap<>();
    for (String modelId : cluster.getConfiguration().models().keySet()) {
      String key = LEASE_PREFIX + modelId;
      nodes.getDeputies(key).ifPresent(deputies -> duties.put(key, deputies));
    }
    return duties;
  }

  private void tick() {
    long nowNanos = System.nanoTime();
    boolean isHolding = !leases.getHeldLeases(LEASE_PREFIX).isEmpty();
    if (!cluster.isReady() || (!isHolding && nowNanos - nextReadNanos < 0)) {
      return;
    }
    if (!isUpdating.compareAndSet(false, true)) {
      return;
    }
    nextReadNanos = nowNanos + getReadPeriodNanos();
    try {
      readHead()
          .thenCompose(ignored -> planNextChange())
          .whenComplete(
              (ignored, failure) -> {
                isUpdating.set(false);
                if (failure != null) {
                  LOG.warn(
                      "the plans could not be read or changed; the next tick tries again", failure);
                }
              });
    } catch (RuntimeException e) {
      isUpdating.set(false);
      LOG.error("planning failed; the next tick tries again", e);
    }
  }

  private CompletableFuture<Void> readHead() {
    return table
        .get(HEAD_KEY)
        .thenCompose(
            result -> {
              if (!(result instanceof TableResult.Read read)) {
                return CompletableFuture.completedFuture(null);
              }
              long version = read.records().isEmpty() ? 0 : read.records().get(0).version();
              return version == latestPlans.headVersion()
                  ? CompletableFuture.completedFuture(null)
                  : readPlans(version, "", new HashMap<>());
            });
  }

  private CompletableFuture<Void> readPlans(
      long headVersion, String afterKey, Map<String, Versioned<PlacementPlan>> plans) {
    return table
        .scan(PLAN_PREFIX, afterKey, PLANS_PER_PAGE)
        .thenCompose(
            result -> {
              if (!(result instanceof TableResult.Read read)) {
                return CompletableFuture.completedFuture(null);
              }
              String lastKey = afterKey;
              for (TableRecord found : read.records()) {
                lastKey = found.key();
                plans.put(
                    lastKey.substring(PLAN_PREFIX.length()),
                    new Versioned<>(found.version(), toPlan(found)));
              }
              if (read.records().size() == PLANS_PER_PAGE) {
                return readPlans(headVersion, lastKey, plans);
              }
              latestPlans = new StoredPlans(headVersion, Map.copyOf(plans), System.nanoTime());
              return CompletableFuture.completedFuture(null);
            });
  }

  private static PlacementPlan toPlan(TableRecord found) {
    try {
      return Json.MAPPER.readValue(found.value(), PlacementPlan.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("record " + found.key() + " is not a placement plan", e);
    }
  }

  /** Stores the next plan of the first model that needs one and whose lease this node holds. */
  private CompletableFuture<Void> planNextChange() {
    StoredPlans snapshot = latestPlans;
    fleet.setPlannedStates(toPlannedStates(snapshot));
    if (snapshot.headVersion() < 0) {
      return CompletableFuture.completedFuture(null);
    }
    for (String leaseKey : leases.getHeldLeases(LEASE_PREFIX).keySet()) {
      String modelId = leaseKey.substring(LEASE_PREFIX.length());
      Versioned<ModelSpec> model = cluster.getConfiguration().models().get(modelId);
      Optional<PlacementPlan> next =
          model == null
              ? Optional.empty()
              : planner.planNextStep(toPlannerInput(model.value(), snapshot));
      if (next.isPresent()) {
        return store(leaseKey, modelId, next.get(), snapshot);
      }
    }
    return CompletableFuture.completedFuture(null);
  }

  private CompletableFuture<Void> store(
      String leaseKey, String modelId, PlacementPlan plan, StoredPlans snapshot) {
    Versioned<PlacementPlan> previous = snapshot.plans().get(modelId);
    String value;
    String head;
    try {
      value = Json.MAPPER.writeValueAsString(plan);
      head = Json.MAPPER.writeValueAsString(new Head(modelId));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("plan of " + modelId + " cannot be written as JSON", e);
    }
    if (!leases.isHolder(leaseKey)) {
      return CompletableFuture.completedFuture(null);
    }
    // Whatever the result, the next tick reads the head and with it what was stored.
    return table
        .transact(
            List.of(
                TableOperation.ofPut(HEAD_KEY, snapshot.headVersion(), head),
                TableOperation.ofPut(
                    PLAN_PREFIX + modelId, previous == null ? 0 : previous.version(), value)))
        .thenAccept(
            result ->
                LOG.infof(
                    "plan of model %s, reasons %s, result of storing it: %s",
                    modelId, plan.reasons(), result.getClass().getSimpleName()));
  }

  private RollingUpdatePlanner.Input toPlannerInput(ModelSpec model, StoredPlans snapshot) {
    Map<String, ModelSpec> declared = declaredModels();
    Map<String, Target> engines = new HashMap<>();
    fleet.getEngines().stream()
        .filter(engine -> !engine.isLeaving())
        .forEach(engine -> engines.put(engine.targetId(), engine));
    Set<String> plannedForOthers =
        snapshot.plans().entrySet().stream()
            .filter(e -> !e.getKey().equals(model.modelId()) && declared.containsKey(e.getKey()))
            .flatMap(entry -> entry.getValue().value().replicas().stream())
            .flatMap(replica -> replica.stages().stream())
            .map(PlacementPlan.Stage::targetId)
            .collect(Collectors.toSet());
    Map<String, LoadedLayers> desired = toPlannedStates(snapshot).layersByTarget();
    List<Accelerator> usable =
        engines.values().stream()
            .filter(engine -> !plannedForOthers.contains(engine.targetId()))
            .filter(engine -> isAvailableFor(engine, model.modelId(), declared, snapshot))
            .filter(engine -> FleetService.isOrderable(engine) || isAsPlanned(engine, desired))
            .map(PlacementService::toAccelerator)
            .toList();
    Versioned<PlacementPlan> plan = snapshot.plans().get(model.modelId());
    return new RollingUpdatePlanner.Input(
        model,
        plan == null ? planOfPipelines(model.modelId()) : plan.value(),
        usable,
        replica -> isServing(replica, engines));
  }

  /**
   * Returns whether a target may be planned for a model. Targets of another declared model without
   * a plan stay with that model.
   */
  private static boolean isAvailableFor(
      Target engine, String modelId, Map<String, ModelSpec> declared, StoredPlans snapshot) {
    return engine.serves().equals(modelId)
        || !declared.containsKey(engine.serves())
        || snapshot.plans().containsKey(engine.serves());
  }

  /**
   * Returns whether a target holds what is planned for it, or nothing is planned. A target that
   * cannot be ordered to load is usable only with the layers it holds.
   */
  private static boolean isAsPlanned(Target engine, Map<String, LoadedLayers> desired) {
    LoadedLayers planned = desired.get(engine.targetId());
    return planned == null || planned.equals(FleetService.toLoadedLayers(engine));
  }

  private Map<String, ModelSpec> declaredModels() {
    Configuration configuration = cluster.getConfiguration();
    return configuration.models().entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().value()));
  }

  private static Accelerator toAccelerator(Target engine) {
    boolean isKnown = FleetService.isOrderable(engine);
    return new Accelerator(
        engine.targetId(),
        engine.vmId(),
        engine.place(),
        engine.accelerator(),
        isKnown ? engine.memoryBytes() : 0,
        isKnown ? engine.layerMicros() : 1);
  }

  private static boolean isServing(PlacementPlan.Replica replica, Map<String, Target> engines) {
    return replica.stages().stream()
        .allMatch(
            stage -> {
              Target engine = engines.get(stage.targetId());
              return engine != null
                  && FleetService.toLoadedLayers(engine).equals(toLoadedLayers(replica, stage));
            });
  }

  /**
   * Returns the existing pipelines as the plan to start from, so that the first plan moves nothing.
   */
  private PlacementPlan planOfPipelines(String modelId) {
    List<PlacementPlan.Replica> replicas = new ArrayList<>();
    for (Pipeline pipeline : fleet.getPipelines()) {
      if (pipeline.modelId().equals(modelId)) {
        replicas.add(
            new PlacementPlan.Replica(
                modelId,
                pipeline.modelVersion(),
                pipeline.head().place(),
                pipeline.stages().stream()
                    .map(t -> new PlacementPlan.Stage(t.targetId(), t.layers(), t.layerMicros()))
                    .toList()));
      }
    }
    return new PlacementPlan(replicas, List.of("the pipelines that engines hold; no plan yet"));
  }

  private FleetService.PlannedStates toPlannedStates(StoredPlans snapshot) {
    Map<String, ModelSpec> declared = declaredModels();
    Map<String, LoadedLayers> desired = new HashMap<>();
    Set<String> plannedModels =
        snapshot.plans().keySet().stream()
            .filter(declared::containsKey)
            .collect(Collectors.toSet());
    for (String modelId : plannedModels) {
      for (PlacementPlan.Replica replica : snapshot.plans().get(modelId).value().replicas()) {
        replica
            .stages()
            .forEach(stage -> desired.put(stage.targetId(), toLoadedLayers(replica, stage)));
      }
    }
    return new FleetService.PlannedStates(desired, plannedModels);
  }

  private static LoadedLayers toLoadedLayers(
      PlacementPlan.Replica replica, PlacementPlan.Stage stage) {
    return new LoadedLayers(replica.modelId(), replica.modelVersion(), stage.layers());
  }
}
