package org.gooseberryhook.router.fleet;

import java.util.List;

/**
 * What a node knows of requests that crash targets, as it reports it to the other nodes.
 *
 * @param crashes possible causes of crashes, those that other nodes observed included
 * @param soundStarts possible causes that turned out to be none
 * @param retractions observations that no longer count, those that other nodes retracted included
 */
public record CrashFindings(
    List<Crash> crashes, List<SoundStart> soundStarts, List<Retraction> retractions) {

  /** Findings of a node that has seen no crash. */
  public static final CrashFindings NONE = new CrashFindings(List.of(), List.of());

  /**
   * Creates findings without retractions.
   *
   * @param crashes possible causes of crashes
   * @param soundStarts possible causes that turned out to be none
   */
  public CrashFindings(List<Crash> crashes, List<SoundStart> soundStarts) {
    this(crashes, soundStarts, List.of());
  }

  /**
   * A possible cause of a crash: a target crashed before it began the response to a request with
   * this cause.
   *
   * @param cause number of the cause
   * @param workspace hash of the request's workspace
   * @param target hash of the target's address
   * @param ageMs time since the crash in milliseconds
   * @param id number that the node which observed it gave to it, the same in each report of any
   *     node; 0 if the reporting node does not number observations
   */
  public record Crash(long cause, long workspace, long target, long ageMs, long id) {

    /**
     * Creates an observation without a number.
     *
     * @param cause number of the cause
     * @param workspace hash of the request's workspace
     * @param target hash of the target's address
     * @param ageMs time since the crash in milliseconds
     */
    public Crash(long cause, long workspace, long target, long ageMs) {
      this(cause, workspace, target, ageMs, 0);
    }
  }

  /**
   * A request with a possible cause to which a target began to respond.
   *
   * @param cause number of the cause
   * @param ageMs time since the response began in milliseconds
   */
  public record SoundStart(long cause, long ageMs) {}

  /**
   * An observation that no longer counts: a response to a request with its cause began, or its
   * target had not ended.
   *
   * @param id number of the observation
   * @param ageMs time since the retraction in milliseconds
   */
  public record Retraction(long id, long ageMs) {}

  /** Copies the lists. */
  public CrashFindings {
    crashes = List.copyOf(crashes);
    soundStarts = List.copyOf(soundStarts);
    retractions = List.copyOf(retractions);
  }
}
