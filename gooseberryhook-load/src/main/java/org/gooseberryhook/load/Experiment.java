package org.gooseberryhook.load;

import java.util.List;
import org.gooseberryhook.state.PriorityClass;

/**
 * What to run: callers, load, faults and bounds. {@link ExperimentParser} reads it from TOML.
 *
 * @param name name in reports
 * @param seed seed of every random choice
 * @param durationMs time during which requests arrive, with the warm-up, in milliseconds
 * @param warmUpMs first part of the duration, checked for correctness but not measured
 * @param arrivals how arrivals are spaced
 * @param workspaces the workspaces, not empty
 * @param model the model that is called; null if the mix has no model calls
 * @param mix the kinds of request, not empty
 * @param caller how callers behave
 * @param faults the faults in the order of the file
 * @param effectsUrl where the plain service lists its effects by key; empty for no comparison
 * @param variants the deployments; empty if the command line names one, two for a comparison
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
    /** Equal gaps and a mix in strict proportion, for smooth throughput. */
    CONSTANT
  }

  /** Part of the traffic whose throughput is judged on its own. */
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
   * @param priorityClass class its model calls ask for
   * @param boundRequestsPerSecond bound of the contract; 0 if not judged
   * @param boundTokensPerSecond bound of the contract; 0 if not judged
   */
  public record Workspace(
      String name,
      String key,
      double requestsPerSecond,
      PriorityClass priorityClass,
      double boundRequestsPerSecond,
      double boundTokensPerSecond) {}

  /**
   * The model whose answers are checked.
   *
   * @param id the model id
   * @param version the version that the engines hold
   * @param layerCount number of layers
   */
  public record Model(String id, String version, int layerCount) {}

  /** A kind of request. */
  public sealed interface RequestShape permits ModelShape, ServiceShape {

    /**
     * Returns the weight in the mix.
     *
     * @return the weight, above 0
     */
    double weight();

    /**
     * Returns the flow it belongs to.
     *
     * @return the flow, never null
     */
    Flow flow();
  }

  /**
   * Model calls.
   *
   * @param weight weight in the mix
   * @param isStream whether the answer is streamed
   * @param promptChars length of the prompt with its prefix, in characters
   * @param prefixCount number of different shared prefixes; 0 for none
   * @param prefixChars length of a shared prefix, in characters
   * @param answerTokens tokens in the answer
   */
  public record ModelShape(
      double weight,
      boolean isStream,
      int promptChars,
      int prefixCount,
      int prefixChars,
      int answerTokens)
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
   * Behaviour of callers.
   *
   * @param maxRepeats repeats of one request after {@code not-run} at most
   * @param maxFailovers moves of one request to another address at most, resumes included
   * @param timeoutMs deadline sent with each request, in milliseconds
   * @param stallTimeoutMs a stream without data for this long is treated as broken
   * @param threadCount threads of the pool that runs requests
   * @param clientsPerWorkspace callers per workspace that keep an address answer each
   */
  public record Caller(
      int maxRepeats,
      int maxFailovers,
      long timeoutMs,
      long stallTimeoutMs,
      int threadCount,
      int clientsPerWorkspace) {}

  /**
   * A fault by schedule: a named {@link FaultAction} or an HTTP request.
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
   * Returns this experiment with another seed.
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
   * Returns this experiment with other faults.
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
   * Returns this experiment against other deployments.
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
   * Returns this experiment with another list of effects.
   *
   * @param newEffectsUrl where the plain service lists its effects by key; empty for none
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
