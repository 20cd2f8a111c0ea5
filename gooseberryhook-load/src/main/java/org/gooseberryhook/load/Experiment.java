package org.gooseberryhook.load;

import java.util.List;
import org.gooseberryhook.state.PriorityClass;

/**
 * An experiment: callers, load, faults and contract bounds. {@link ExperimentParser} reads it from
 * TOML.
 *
 * @param name name in reports
 * @param seed seed of every random choice
 * @param durationMs time during which requests arrive, with the warm-up, in milliseconds
 * @param warmUpMs first part of the duration, in milliseconds; its responses are checked for
 *     correctness but not measured
 * @param arrivals spacing of the arrivals
 * @param workspaces the workspaces, not empty
 * @param model the model that is called; null if the mix has no model calls
 * @param mix the kinds of request, not empty
 * @param caller behaviour of the callers
 * @param faults the faults in the order of the file
 * @param effectsUrl URL at which the plain service lists its effects by key; empty to skip the
 *     comparison
 * @param variants the deployments under test; empty if the command line names one, two for a
 *     comparison
 * @param blockMs length of one block of a comparison, in milliseconds
 * @since 0.1
 */
public record Experiment(
    String name,
    long seed,
    long durationMs,
    long warmUpMs,
    ArrivalProcess arrivals,
    List<Workspace> workspaces,
    Model model,
    List<RequestShape> mix,
    Caller caller,
    List<Fault> faults,
    String effectsUrl,
    List<Variant> variants,
    long blockMs) {

  /** Creates an experiment; lists are copied. */
  public Experiment {
    workspaces = List.copyOf(workspaces);
    mix = List.copyOf(mix);
    faults = List.copyOf(faults);
    variants = List.copyOf(variants);
  }

  /** Spacing of arrivals. */
  public enum ArrivalProcess {
    /** Independent arrivals with exponential gaps. */
    POISSON,
    /** Equal gaps and a mix in exact proportion, for throughput without random variation. */
    CONSTANT
  }

  /** Part of the traffic whose throughput and recovery are evaluated separately. */
  public enum Flow {
    /** Model calls; throughput counts checked tokens. */
    MODEL,
    /** Idempotent service calls; throughput counts calls. */
    SERVICE,
    /** Once-only service calls; throughput counts calls. */
    ONCE
  }

  /**
   * A workspace.
   *
   * @param name name in reports
   * @param key caller key
   * @param requestsPerSecond arrival rate
   * @param priorityClass priority class that its model calls request
   * @param boundRequestsPerSecond request rate of the contract; 0 if not compared
   * @param boundTokensPerSecond token rate of the contract; 0 if not compared
   */
  public record Workspace(
      String name,
      String key,
      double requestsPerSecond,
      PriorityClass priorityClass,
      double boundRequestsPerSecond,
      double boundTokensPerSecond) {}

  /**
   * The model whose responses are checked.
   *
   * @param id the model id
   * @param version the version that the engines hold
   * @param layerCount number of layers
   */
  public record Model(String id, String version, int layerCount) {}

  /** A kind of request. */
  public sealed interface RequestShape permits ModelShape, ServiceShape {

    /**
     * Returns the weight of this kind in the mix.
     *
     * @return the weight, above 0
     */
    double weight();

    /**
     * Returns the flow that its requests belong to.
     *
     * @return the flow, never null
     */
    Flow flow();
  }

  /**
   * Model calls.
   *
   * @param weight weight in the mix
   * @param isStream whether the response is streamed
   * @param promptChars length of the prompt with its prefix, in characters
   * @param prefixCount number of different prefixes shared by prompts; 0 for none
   * @param prefixChars length of a shared prefix, in characters
   * @param requestedTokens number of tokens requested
   */
  public record ModelShape(
      double weight,
      boolean isStream,
      int promptChars,
      int prefixCount,
      int prefixChars,
      int requestedTokens)
      implements RequestShape {

    @Override
    public Flow flow() {
      return Flow.MODEL;
    }
  }

  /**
   * Plain service calls.
   *
   * @param weight weight in the mix
   * @param service the service
   * @param operation the operation
   * @param isOnce whether the call is once-only and carries an {@code Idempotency-Key}
   * @param body JSON text to send
   */
  public record ServiceShape(
      double weight, String service, String operation, boolean isOnce, String body)
      implements RequestShape {

    @Override
    public Flow flow() {
      return isOnce ? Flow.ONCE : Flow.SERVICE;
    }
  }

  /**
   * Behaviour of the callers.
   *
   * @param maxRepeats maximum number of times that one request is repeated after a retry delay
   * @param maxFailovers maximum number of times that one request moves to another address, resumes
   *     included
   * @param timeoutMs deadline sent with each request, in milliseconds
   * @param stallTimeoutMs time without data after which a stream counts as broken, in milliseconds
   * @param threadCount threads of the pool that runs requests
   * @param clientsPerWorkspace callers per workspace; each caches its own list of addresses
   */
  public record Caller(
      int maxRepeats,
      int maxFailovers,
      long timeoutMs,
      long stallTimeoutMs,
      int threadCount,
      int clientsPerWorkspace) {}

  /**
   * A scheduled fault: a named {@link FaultAction} or an HTTP request.
   *
   * @param name name in reports
   * @param atMs time since the start of arrivals, in milliseconds
   * @param action name of the action; empty for an HTTP request
   * @param method HTTP method
   * @param url URL of the HTTP request; empty for an action
   * @param body body of the HTTP request; may be empty
   */
  public record Fault(
      String name, long atMs, String action, String method, String url, String body) {}

  /**
   * Returns a copy of this experiment with another seed.
   *
   * @param newSeed the seed
   * @return a copy, never null
   */
  public Experiment withSeed(long newSeed) {
    return new Experiment(
        name,
        newSeed,
        durationMs,
        warmUpMs,
        arrivals,
        workspaces,
        model,
        mix,
        caller,
        faults,
        effectsUrl,
        variants,
        blockMs);
  }

  /**
   * Returns a copy of this experiment with other faults.
   *
   * @param newFaults the faults
   * @return a copy, never null
   */
  public Experiment withFaults(List<Fault> newFaults) {
    return new Experiment(
        name,
        seed,
        durationMs,
        warmUpMs,
        arrivals,
        workspaces,
        model,
        mix,
        caller,
        newFaults,
        effectsUrl,
        variants,
        blockMs);
  }

  /**
   * Returns a copy of this experiment that runs against other deployments.
   *
   * @param newVariants the deployments
   * @return a copy, never null
   */
  public Experiment withVariants(List<Variant> newVariants) {
    return new Experiment(
        name,
        seed,
        durationMs,
        warmUpMs,
        arrivals,
        workspaces,
        model,
        mix,
        caller,
        faults,
        effectsUrl,
        newVariants,
        blockMs);
  }

  /**
   * Returns a copy of this experiment with another URL of effects.
   *
   * @param newEffectsUrl URL at which the plain service lists its effects by key; empty to skip the
   *     comparison
   * @return a copy, never null
   */
  public Experiment withEffectsUrl(String newEffectsUrl) {
    return new Experiment(
        name,
        seed,
        durationMs,
        warmUpMs,
        arrivals,
        workspaces,
        model,
        mix,
        caller,
        faults,
        newEffectsUrl,
        variants,
        blockMs);
  }
}
