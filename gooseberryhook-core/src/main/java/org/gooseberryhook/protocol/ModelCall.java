package org.gooseberryhook.protocol;

import java.util.List;
import java.util.Objects;
import org.gooseberryhook.state.PriorityClass;

/**
 * Model call accepted from a caller.
 *
 * @param requestId unique id; chosen by the caller or by the node
 * @param workspaceId the caller's workspace
 * @param modelId id of the model
 * @param prompt the prompt text
 * @param maxTokens maximum number of tokens in the whole response, at least 1
 * @param priorityClass priority class of the request
 * @param timeoutMs time until the deadline, in milliseconds
 * @param resumedTokenIds ids of the tokens that the caller received before its stream broke; empty
 *     for a new request
 * @since 0.1
 */
public record ModelCall(
    String requestId,
    String workspaceId,
    String modelId,
    String prompt,
    int maxTokens,
    PriorityClass priorityClass,
    long timeoutMs,
    List<Integer> resumedTokenIds) {

  private static final int CHARS_PER_TOKEN = 4;

  /** Creates a call; the list is copied. */
  public ModelCall {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(workspaceId, "workspaceId");
    Objects.requireNonNull(modelId, "modelId");
    Objects.requireNonNull(prompt, "prompt");
    Objects.requireNonNull(priorityClass, "priorityClass");
    resumedTokenIds = List.copyOf(resumedTokenIds);
  }

  /**
   * Returns the estimated cost in tokens: a quarter of the prompt's length in characters plus the
   * tokens that may still be generated.
   *
   * @return the estimate, at least 1
   */
  public int getEstimatedTokens() {
    int promptTokens = prompt.length() / CHARS_PER_TOKEN;
    return Math.max(1, promptTokens + maxTokens - resumedTokenIds.size());
  }
}
