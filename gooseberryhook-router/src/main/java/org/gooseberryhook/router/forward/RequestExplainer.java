package org.gooseberryhook.router.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.PipelineFigures;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.TargetChooser;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetHealth;

/**
 * Explains where the first attempt of a request would go, from the state of a node. Nothing is sent
 * or reserved.
 */
final class RequestExplainer {

  /** Candidates that are listed; the others are only counted, so that a page stays below 100 KB. */
  static final int MAX_CANDIDATES = 100;

  private static final ProblemResponse UNKNOWN_WORKSPACE =
      ProblemResponse.invalid(404, "unknown-workspace", "no workspace with a key has this name");

  private static final String PAUSED = "paused at its own wish";
  private static final String LIMITED = "this node's part of the limit of the target is used up";

  /**
   * The state of a node that decides where a request goes.
   *
   * @param configuration the configuration in force, empty before one is known
   * @param fleet the targets and pipelines in use
   * @param loads loads of the targets
   * @param limits limits that targets named, and this node's permits
   * @param health recent failures by target
   * @param admission admission control of streams
   * @param waitingCounts returns the number of requests that wait for a service
   * @param isCutOff returns whether the node lacks links to a service that others have
   * @param costs what is known about the costs of requests
   * @param overload decides what overload control admits
   */
  record NodeState(
      Optional<RoutingConfiguration> configuration,
      FleetView fleet,
      LoadTracker loads,
      TargetLimits limits,
      TargetHealth health,
      StreamAdmission admission,
      ToIntFunction<String> waitingCounts,
      Predicate<String> isCutOff,
      RequestCosts costs,
      OverloadDecision overload) {}

  /** Decides what overload control across all nodes admits now. */
  @FunctionalInterface
  interface OverloadDecision {

    /** Returns the fractions in force for the requests of a rank and a workspace. */
    Explanation.Overload decide(String service, int rank, String workspace, long nowMs);
  }

  private final NodeState state;

  RequestExplainer(NodeState state) {
    this.state = state;
  }

  /**
   * Explains a request.
   *
   * @param query the request
   * @param nowMs monotonic time in milliseconds
   * @return the explanation
   */
  Explanation explain(ExplainQuery query, long nowMs) {
    OptionalLong version =
        state.configuration().isPresent()
            ? OptionalLong.of(state.configuration().get().version())
            : OptionalLong.empty();
    if (isUnknown(query.workspace())) {
      return new Explanation(
          version, query, Optional.of(UNKNOWN_WORKSPACE), Optional.empty(), List.of());
    }
    RoutingResult result =
        RequestRouter.route(
            state.configuration(),
            query.host(),
            query.path(),
            configuration -> query.workspace().flatMap(configuration::findWorkspaceByName));
    if (result instanceof RoutingResult.Rejected rejected) {
      return new Explanation(
          version, query, Optional.of(rejected.problem()), Optional.empty(), List.of());
    }
    RoutingResult.Routed routed = (RoutingResult.Routed) result;
    Explanation.RouteFacts route =
        new Explanation.RouteFacts(
            routed.route().name(),
            routed.route().kind().name(),
            routed.priority(),
            routed.route().timeoutMs(),
            routed.route().targetLatencyMs(),
            routed.route().gapTargetMs());
    int totalWeight = routed.route().services().stream().mapToInt(WeightedService::weight).sum();
    List<Explanation.Service> services =
        routed.route().services().stream()
            .map(
                service ->
                    explainService(
                        query,
                        routed,
                        service.service(),
                        (double) service.weight() / Math.max(1, totalWeight),
                        nowMs))
            .toList();
    return new Explanation(version, query, Optional.empty(), Optional.of(route), services);
  }

  private boolean isUnknown(Optional<String> workspace) {
    return state.configuration().isPresent()
        && workspace.isPresent()
        && state.configuration().get().findWorkspaceByName(workspace.get()).isEmpty();
  }

  private Explanation.Service explainService(
      ExplainQuery query, RoutingResult.Routed routed, String service, double share, long nowMs) {
    Optional<EngineProfile> profile =
        state
            .configuration()
            .orElseThrow()
            .findService(service)
            .flatMap(ServiceSettings::engineProfile);
    if (routed.route().kind() == RequestKind.STREAM && profile.isPresent()) {
      StreamRequest request =
          StreamRequestFactory.create(
              metadata(query),
              nowMs,
              routed,
              profile.get(),
              state.costs().expectedOutput(routed, metadata(query), profile.get(), nowMs),
              0,
              false,
              nowMs + routed.route().timeoutMs());
      List<Explanation.Candidate> candidates =
          state.fleet().pipelines(service).stream()
              .map(pipeline -> candidate(request, pipeline, profile.get(), nowMs))
              .toList();
      return explained(
          service,
          share,
          candidates,
          StreamAdmission.comparesSample(state.fleet().sharing()),
          OptionalInt.of(request.promptTokens()),
          OptionalInt.of(request.expectedOutputTokens()),
          request.reservedTokens(),
          overload(service, routed, nowMs));
    }
    List<Explanation.Candidate> candidates =
        state.fleet().targets(service).stream().map(target -> candidate(target, nowMs)).toList();
    return explained(
        service,
        share,
        candidates,
        false,
        OptionalInt.empty(),
        OptionalInt.empty(),
        1,
        Explanation.Overload.NONE);
  }

  private Explanation.Overload overload(String service, RoutingResult.Routed routed, long nowMs) {
    String workspace = routed.workspace().map(Workspace::name).orElse("");
    return state.overload().decide(service, routed.rank(), workspace, nowMs);
  }

  private static RequestMetadata metadata(ExplainQuery query) {
    return new RequestMetadata(
        "",
        Optional.empty(),
        OptionalLong.empty(),
        query.promptTokens(),
        query.maxOutputTokens(),
        query.estimatedOutputTokens(),
        Optional.empty(),
        List.of(),
        OptionalInt.empty(),
        Set.of());
  }

  private Explanation.Candidate candidate(
      StreamRequest request, ModelPipeline pipeline, EngineProfile profile, long nowMs) {
    PipelineFigures figures =
        state.admission().explain(request, pipeline, profile, state.fleet().sharing(), nowMs);
    long pausedMs =
        pipeline.addresses().stream().mapToLong(a -> pausedMs(a, nowMs)).max().orElse(0);
    List<String> objections = objections(pipeline.head(), pausedMs);
    objections.addAll(figures.objections());
    return new Explanation.Candidate(
        pipeline.describe(),
        figures.cost(),
        figures.utilization(),
        figures.headRequests(),
        pausedMs,
        Optional.of(
            new Explanation.StreamFigures(
                figures.memoryUtilization(),
                figures.eventGapMs(),
                figures.stepMs(),
                figures.prefillMs(),
                figures.freeRequests())),
        List.copyOf(objections));
  }

  private Explanation.Candidate candidate(TargetEntry target, long nowMs) {
    long pausedMs = pausedMs(target.address(), nowMs);
    List<String> objections = objections(target, pausedMs);
    int requests = state.loads().totalLoad(target.id()).requests();
    double limit = Math.max(1, target.slots()) * TargetChooser.MAX_REQUESTS_PER_SLOT;
    if (requests >= limit) {
      objections.add("full");
    }
    boolean isSuspect = state.fleet().isSuspect(target.address());
    double penalty =
        state.health().failureScore(target.id(), nowMs)
            + (isSuspect ? PlainExchange.SUSPECT_PENALTY : 0);
    return new Explanation.Candidate(
        target.address(),
        (requests + penalty) / Math.max(1, target.slots()),
        (requests + 1) / limit,
        requests,
        pausedMs,
        Optional.empty(),
        List.copyOf(objections));
  }

  private long pausedMs(String address, long nowMs) {
    return Math.max(0, state.fleet().pauseEndMs(address) - nowMs);
  }

  /** Returns the objections that do not depend on the kind of the service. */
  private List<String> objections(TargetEntry first, long pausedMs) {
    List<String> objections = new ArrayList<>();
    if (pausedMs > 0) {
      objections.add(PAUSED);
    }
    if (state.limits().permitsWithin(first, 0) < 1) {
      objections.add(LIMITED);
    }
    return objections;
  }

  private Explanation.Service explained(
      String service,
      double share,
      List<Explanation.Candidate> candidates,
      boolean isSampled,
      OptionalInt promptTokens,
      OptionalInt expectedOutputTokens,
      long expectedCost,
      Explanation.Overload overload) {
    List<Explanation.Candidate> sorted =
        candidates.stream()
            .sorted(
                Comparator.comparing((Explanation.Candidate c) -> !c.objections().isEmpty())
                    .thenComparingDouble(Explanation.Candidate::cost))
            .toList();
    Optional<String> best =
        sorted.stream()
            .filter(candidate -> candidate.objections().isEmpty())
            .map(Explanation.Candidate::place)
            .findFirst();
    boolean isCutOff = state.isCutOff().test(service);
    // A request joins the queue of its service behind those that wait already.
    boolean starts = best.isPresent() && state.waitingCounts().applyAsInt(service) == 0;
    Explanation.Outcome outcome =
        isCutOff
            ? Explanation.Outcome.RELAY
            : starts ? Explanation.Outcome.START : Explanation.Outcome.WAIT;
    return new Explanation.Service(
        service,
        share,
        outcome,
        outcome == Explanation.Outcome.START ? best : Optional.empty(),
        isSampled,
        state.waitingCounts().applyAsInt(service),
        promptTokens,
        expectedOutputTokens,
        expectedCost,
        sorted.size(),
        sorted.stream().limit(MAX_CANDIDATES).toList(),
        overload);
  }
}
