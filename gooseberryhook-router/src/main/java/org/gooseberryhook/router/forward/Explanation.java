package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Where a request would go now, and why.
 *
 * @param configurationVersion version of the configuration in force, empty before one is known
 * @param query the request
 * @param rejection the problem for which the request would be rejected before any service is
 *     chosen, if there is one
 * @param route its route, empty if it is rejected
 * @param services the services of the route with their candidates, empty if it is rejected
 */
public record Explanation(
    OptionalLong configurationVersion,
    ExplainQuery query,
    Optional<ProblemResponse> rejection,
    Optional<RouteFacts> route,
    List<Service> services) {

  /** What would happen to the request at a service. */
  public enum Outcome {
    /** It would be sent to the chosen candidate. */
    START,
    /** It would wait for room, and be refused if there is none in time. */
    WAIT,
    /** This node lacks links; the request would go to another node if one reaches the targets. */
    RELAY
  }

  /**
   * The route of a request.
   *
   * @param name name of the route
   * @param kind decides how often the request may run
   * @param rank priority rank, 0 is the most urgent
   * @param timeoutMs longest time that the caller is kept waiting
   * @param targetLatencyMs latency goal
   * @param gapTargetMs goal for the longest time between two events, 0 if none is stated
   */
  public record RouteFacts(
      String name, String kind, int rank, long timeoutMs, long targetLatencyMs, long gapTargetMs) {}

  /**
   * One of the services that share the requests of the route.
   *
   * @param name name of the service
   * @param share share of the requests that it gets, from 0 to 1
   * @param outcome what would happen to the request
   * @param choice candidate that it would be sent to, empty if it would not be sent now
   * @param isSampled whether the node would compare only two random eligible candidates, so that
   *     another one than the choice is possible
   * @param waitingRequests requests that wait for the service at this node
   * @param promptTokens prompt tokens that are counted; empty for a plain service
   * @param expectedOutputTokens output tokens that are expected; empty for a plain service
   * @param expectedCost tokens that are reserved, for a plain service 1 request
   * @param candidateCount number of candidates, of which only the first are listed
   * @param candidates the candidates; eligible ones first, then by cost
   * @param overload what overload control would decide
   */
  public record Service(
      String name,
      double share,
      Outcome outcome,
      Optional<String> choice,
      boolean isSampled,
      int waitingRequests,
      OptionalInt promptTokens,
      OptionalInt expectedOutputTokens,
      long expectedCost,
      int candidateCount,
      List<Candidate> candidates,
      Overload overload) {}

  /**
   * What overload control across all nodes would decide.
   *
   * @param threshold fraction of the request's rank that is admitted, empty if none is in force
   * @param workspaceShare fraction of the workspace's demand that is admitted, empty if none is in
   *     force
   * @param retryAfterMs time after which room is foreseen, in milliseconds; empty if unknown
   */
  public record Overload(
      OptionalDouble threshold, OptionalDouble workspaceShare, OptionalLong retryAfterMs) {

    /** No decision of overload control is known. */
    public static final Overload NONE =
        new Overload(OptionalDouble.empty(), OptionalDouble.empty(), OptionalLong.empty());
  }

  /**
   * A pipeline or a target.
   *
   * @param place targets of the pipeline with their layers, or address of the target
   * @param cost figure of which the least is preferred
   * @param utilization utilization with the request, 1 at the bound
   * @param requests requests in progress at the head or the target, from all nodes
   * @param pausedMs time for which the candidate is paused at its own wish, in milliseconds
   * @param stream estimates for a stream; empty for a plain service
   * @param objections why it cannot take the request now, empty if it can
   */
  public record Candidate(
      String place,
      double cost,
      double utilization,
      int requests,
      long pausedMs,
      Optional<StreamFigures> stream,
      List<String> objections) {}

  /**
   * Estimates for a stream at a pipeline.
   *
   * @param memoryUtilization utilization of memory and slots with the request, 1 at the bound
   * @param eventGapMs time between two events while a prompt is read
   * @param stepMs time of a token step
   * @param prefillMs time to read the prompt
   * @param freeRequests requests of the same size that still fit into the memory
   */
  public record StreamFigures(
      double memoryUtilization,
      double eventGapMs,
      double stepMs,
      double prefillMs,
      double freeRequests) {}
}
