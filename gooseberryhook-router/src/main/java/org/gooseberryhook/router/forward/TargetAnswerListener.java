package org.gooseberryhook.router.forward;

/** Receives what targets state about themselves in the headers of their answers. */
@FunctionalInterface
public interface TargetAnswerListener {

  /**
   * Handles the head of an answer, before the answer is passed on.
   *
   * @param address address of the target
   * @param metadata values of the headers
   */
  void onAnswer(String address, ResponseMetadata metadata);
}
