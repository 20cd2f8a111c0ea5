package org.gooseberryhook.router.forward;

/** Receives what targets state about themselves in the headers of their answers. */
@FunctionalInterface
public interface TargetAnswerListener {

  /**
   * Handles the head of an answer, before the answer is passed on.
   *
   * @param address address of the target
   * @param metadata values of the headers
   * @param sentMs monotonic time in milliseconds at which the request was sent that is answered;
   *     {@link org.gooseberryhook.router.admission.LimitObservation#UNKNOWN_TIME_MS} if that is not
   *     known
   */
  void onAnswer(String address, ResponseMetadata metadata, long sentMs);
}
