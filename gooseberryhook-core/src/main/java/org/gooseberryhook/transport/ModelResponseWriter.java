package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhook.protocol.AnswerSink;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Problem;

/**
 * Writes the response to a model call in the format that common completion clients read: streamed
 * as server-sent events, or as one JSON object.
 *
 * @since 0.1
 */
final class ModelResponseWriter implements AnswerSink {

  /** A caller with this many unsent bytes or more is treated as gone. */
  private static final long MAX_PENDING_BYTES = 1024 * 1024;

  private final Context context;
  private final String requestId;
  private final String modelId;
  private final boolean isChat;
  private final boolean isStream;
  private final int firstStep;
  private final AtomicLong pendingBytes = new AtomicLong();
  private final StringBuilder text = new StringBuilder();
  private final List<Integer> tokenIds = new ArrayList<>();
  private final StringBuilder eventText = new StringBuilder();

  /**
   * Constant JSON of a streamed chunk before the token's text; {@link #chunkSuffix} follows the
   * text. Only text, step and token id differ between chunks.
   */
  private String chunkPrefix;

  private String chunkSuffix;
  private Sender sender;
  private volatile boolean isBroken;

  ModelResponseWriter(Context context, String requestId, ModelRequestBody body, boolean isChat) {
    this.context = context;
    this.requestId = requestId;
    this.modelId = body.model();
    this.isChat = isChat;
    this.isStream = body.isStream();
    this.firstStep = body.getResumeTokenIds().size();
  }

  @Override
  public boolean onToken(int step, int tokenId, String tokenText) {
    if (!isStream) {
      text.append(tokenText);
      tokenIds.add(tokenId);
      return true;
    }
    if (sender == null && !openStream()) {
      return false;
    }
    eventText.setLength(0);
    eventText.append("id: ").append(step + 1).append("\ndata: ").append(chunkPrefix);
    JsonStringEncoder.getInstance().quoteAsString(tokenText, eventText);
    eventText
        .append(chunkSuffix)
        .append(step)
        .append(",\"token_id\":")
        .append(tokenId)
        .append("}\n\n");
    send(eventText.toString());
    return !isBroken && pendingBytes.get() < MAX_PENDING_BYTES;
  }

  @Override
  public void onComplete(int promptTokens, int completionTokens, int cachedTokens) {
    Map<String, Object> usage = new LinkedHashMap<>();
    usage.put("prompt_tokens", promptTokens);
    usage.put("completion_tokens", completionTokens);
    usage.put("total_tokens", promptTokens + completionTokens);
    usage.put("cached_tokens", cachedTokens);
    Map<String, Object> choice = new LinkedHashMap<>();
    choice.put("index", 0);
    if (isStream) {
      completeStream(choice, usage);
      return;
    }
    if (isChat) {
      Map<String, Object> message = new LinkedHashMap<>();
      message.put("role", "assistant");
      message.put("content", text.toString());
      choice.put("message", message);
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", "length");
    Map<String, Object> body = toBody(choice, false);
    body.put("usage", usage);
    body.put("first_step", firstStep);
    body.put("token_ids", tokenIds);
    context.setResponseType(MediaType.json);
    context.send(toJson(body));
  }

  @Override
  public void onProblem(Problem problem) {
    if (sender == null) {
      Problems.send(context, problem);
      return;
    }
    send("event: error\ndata: " + toJson(problem.toBody()) + "\n\n");
    sender.close();
  }

  private void completeStream(Map<String, Object> choice, Map<String, Object> usage) {
    if (sender == null && !openStream()) {
      return;
    }
    choice.put(isChat ? "delta" : "text", isChat ? Map.of() : "");
    choice.put("finish_reason", "length");
    Map<String, Object> chunk = toBody(choice, true);
    chunk.put("usage", usage);
    send("data: " + toJson(chunk) + "\n\ndata: [DONE]\n\n");
    sender.close();
  }

  private Map<String, Object> toBody(Map<String, Object> choice, boolean isChunk) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("id", requestId);
    if (isChat) {
      body.put("object", isChunk ? "chat.completion.chunk" : "chat.completion");
    } else {
      body.put("object", "text_completion");
    }
    body.put("model", modelId);
    body.put("choices", List.of(choice));
    return body;
  }

  /**
   * Starts the streamed response; returns false if the caller has already closed the connection.
   */
  private boolean openStream() {
    context.setResponseType(MediaType.valueOf("text/event-stream"));
    context.setResponseHeader("Cache-Control", "no-cache");
    chunkPrefix =
        "{\"id\":"
            + toJson(requestId)
            + ",\"object\":\""
            + (isChat ? "chat.completion.chunk" : "text_completion")
            + "\",\"model\":"
            + toJson(modelId)
            + ",\"choices\":[{\"index\":0,"
            + (isChat ? "\"delta\":{\"content\":\"" : "\"text\":\"");
    chunkSuffix = (isChat ? "\"}" : "\"") + ",\"finish_reason\":null}],\"step\":";
    try {
      sender = context.responseSender();
      return true;
    } catch (IllegalStateException e) {
      isBroken = true;
      return false;
    }
  }

  private void send(String event) {
    byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
    pendingBytes.addAndGet(bytes.length);
    try {
      sender.write(
          bytes,
          (ignored, failure) -> {
            pendingBytes.addAndGet(-bytes.length);
            if (failure != null) {
              isBroken = true;
            }
          });
    } catch (RuntimeException e) {
      isBroken = true;
    }
  }

  private static String toJson(Object body) {
    try {
      return Json.MAPPER.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the response can't be written as JSON", e);
    }
  }
}
