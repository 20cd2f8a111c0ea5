package org.gooseberryhook.router.admission;

/** Whether a request may take room of its service now. */
public sealed interface AdmissionVerdict {

  /** The request may start if a pipeline takes it. */
  record Admit() implements AdmissionVerdict {}

  /**
   * The room goes to other requests.
   *
   * @param retryAfterMs time after which room is expected for the request, in milliseconds
   * @param rank priority rank of the request
   * @param rankFraction fraction of the requests of the rank that is admitted
   * @param workspaceFraction fraction of the requests of the workspace that is admitted
   */
  record Reject(long retryAfterMs, int rank, double rankFraction, double workspaceFraction)
      implements AdmissionVerdict {}

  /** The verdict of a request that may start. */
  AdmissionVerdict ADMITTED = new Admit();
}
