package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.gooseberryhook.protocol.StageReceipt;
import org.gooseberryhook.protocol.TokenEvent;

/**
 * Checks the order and completeness of one request's tokens over all its attempts.
 *
 * <p>A token is delivered only if it belongs to this request and to the current attempt, is the
 * next one, and carries receipts that cover each layer of the model once and in order, for this
 * step and attempt. Not thread-safe; the owner of the request must synchronize access.
 *
 * @since 0.1
 */
public final class StreamSession {

  private final String requestId;
  private final int layerCount;
  private final int maxTokens;
  private final List<Integer> deliveredTokenIds;
  private int attempt;
  private boolean isAttemptOpen;
  private boolean isComplete;

  /**
   * Creates a session.
   *
   * @param requestId the request
   * @param layerCount number of layers of the model, at least 1
   * @param maxTokens maximum number of tokens of the whole response, at least 1
   * @param resumedTokenIds tokens that the caller already has; empty for a new request
   */
  public StreamSession(
      String requestId, int layerCount, int maxTokens, List<Integer> resumedTokenIds) {
    this.requestId = Objects.requireNonNull(requestId, "requestId");
    this.layerCount = layerCount;
    this.maxTokens = maxTokens;
    this.deliveredTokenIds = new ArrayList<>(resumedTokenIds);
  }

  /** The action to take for an event. */
  public sealed interface Decision {

    /**
     * Pass the token to the caller.
     *
     * @param step number of the token
     * @param tokenId the token
     * @param text text of the token
     */
    record Deliver(int step, int tokenId, String text) implements Decision {}

    /**
     * The response is complete.
     *
     * @param tokenCount number of tokens of the response
     * @param promptTokens prompt size in tokens
     * @param cachedTokens prompt tokens found in the prefix cache
     */
    record Complete(int tokenCount, int promptTokens, int cachedTokens) implements Decision {}

    /**
     * Count the event and drop it.
     *
     * @param reason why it was dropped
     */
    record Drop(DropReason reason) implements Decision {}

    /**
     * Cancel the attempt and start another.
     *
     * @param reason description of the failure
     * @param lostTarget the stage that failed; null if not known
     */
    record Abandon(String reason, String lostTarget) implements Decision {}
  }

  /** Why an event was dropped. */
  public enum DropReason {
    /** The event belongs to another request. */
    OTHER_REQUEST,
    /** The event belongs to an attempt that was abandoned. */
    OLD_ATTEMPT,
    /** The token was delivered before. */
    DUPLICATE,
    /** The response is already complete. */
    AFTER_END
  }

  /**
   * Starts the next attempt; events of earlier ones are dropped from now on.
   *
   * @return number of the attempt, counted from 1
   * @throws IllegalStateException if the response is already complete
   */
  public int beginAttempt() {
    if (isComplete) {
      throw new IllegalStateException("request " + requestId + " is complete");
    }
    attempt++;
    isAttemptOpen = true;
    return attempt;
  }

  /**
   * Decides on an event.
   *
   * @param event the event, not null
   * @return the decision, never null
   */
  public Decision onEvent(TokenEvent event) {
    if (!requestId.equals(event.requestId())) {
      return new Decision.Drop(DropReason.OTHER_REQUEST);
    }
    if (isComplete) {
      return new Decision.Drop(DropReason.AFTER_END);
    }
    if (event.attempt() != attempt || !isAttemptOpen) {
      return new Decision.Drop(DropReason.OLD_ATTEMPT);
    }
    if (event.error() != null) {
      return abandon(event.error(), event.lostTarget());
    }
    return event.isEnd() ? onEnd(event) : onToken(event);
  }

  /**
   * Abandons the current attempt, for example after a stall.
   *
   * @param reason description of the failure
   * @param lostTarget the stage that failed; null if not known
   * @return the decision to abandon it
   */
  public Decision.Abandon abandon(String reason, String lostTarget) {
    isAttemptOpen = false;
    return new Decision.Abandon(reason, lostTarget);
  }

  /**
   * Returns the tokens that the caller has.
   *
   * @return a copy, never null
   */
  public List<Integer> getDeliveredTokenIds() {
    return List.copyOf(deliveredTokenIds);
  }

  /**
   * Returns the number of tokens that the caller has.
   *
   * @return the count
   */
  public int getDeliveredCount() {
    return deliveredTokenIds.size();
  }

  /**
   * Returns the number of the current attempt.
   *
   * @return the number; 0 before the first
   */
  public int getAttempt() {
    return attempt;
  }

  /**
   * Returns whether the response is complete.
   *
   * @return true after an end event that matched the delivered tokens
   */
  public boolean isComplete() {
    return isComplete;
  }

  private Decision onToken(TokenEvent event) {
    int nextStep = deliveredTokenIds.size();
    if (event.step() < nextStep) {
      return new Decision.Drop(DropReason.DUPLICATE);
    }
    if (event.step() > nextStep || nextStep >= maxTokens) {
      return abandon("token " + event.step() + " arrived where " + nextStep + " is due", null);
    }
    if (!isTiling(event.receipts(), event.step())) {
      return abandon("receipts of token " + event.step() + " do not cover each layer once", null);
    }
    deliveredTokenIds.add(event.tokenId());
    return new Decision.Deliver(event.step(), event.tokenId(), event.text());
  }

  private Decision onEnd(TokenEvent event) {
    if (event.step() != deliveredTokenIds.size()) {
      return abandon(
          "the answer ended at token "
              + event.step()
              + " with "
              + deliveredTokenIds.size()
              + " received",
          null);
    }
    isComplete = true;
    isAttemptOpen = false;
    return new Decision.Complete(event.step(), event.promptTokens(), event.cachedTokens());
  }

  private boolean isTiling(List<StageReceipt> receipts, int step) {
    int nextLayer = 0;
    for (StageReceipt receipt : receipts) {
      boolean isExpected =
          receipt.firstLayer() == nextLayer
              && receipt.endLayer() > nextLayer
              && receipt.step() == step
              && receipt.attempt() == attempt;
      if (!isExpected) {
        return false;
      }
      nextLayer = receipt.endLayer();
    }
    return nextLayer == layerCount;
  }
}
