package org.gooseberryhook.protocol;

import java.util.List;
import java.util.Objects;
import org.gooseberryhook.state.PriorityClass;

/**
 * A model call as accepted from a caller.
 *
 * @param requestId unique id; chosen by the caller or by the node
 * @param workspaceId the caller's workspace
 * @param modelId the model
 * @param prompt the prompt text
 * @param maxTokens tokens in the whole answer at most, at least 1
 * @param priorityClass class of the work
 * @param timeoutMs time until the deadline, in milliseconds
 * @param resumedTokenIds tokens that the caller received before its stream broke
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

  private static final int BYTES_PER_TOKEN = 4;

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
   * Returns the estimated cost in tokens: a quarter of the prompt's size plus the tokens that the
   * answer may still have.
   *
   * @return the estimate, at least 1
   */
  public int getEstimatedTokens() {
    int promptTokens = prompt.length() / BYTES_PER_TOKEN;
    return Math.max(1, promptTokens + maxTokens - resumedTokenIds.size());
  }
}
