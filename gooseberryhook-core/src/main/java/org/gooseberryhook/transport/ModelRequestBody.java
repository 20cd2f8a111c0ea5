package org.gooseberryhook.transport;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;
import org.gooseberryhook.protocol.Json;

/**
 * Body of a request for a text or chat completion.
 *
 * @param model id of the model
 * @param prompt prompt of a text completion; used instead of the messages if both are given
 * @param messages messages of a chat completion
 * @param maxTokens most tokens in the response; null for the default
 * @param isStream whether the response is streamed
 * @param priority {@code interactive} or {@code batch}; null for the contract's class
 * @param resumeTokenIds ids of the tokens received before an earlier stream broke; null if there
 *     are none
 * @since 0.1
 */
record ModelRequestBody(
    String model,
    String prompt,
    List<Message> messages,
    @JsonProperty("max_tokens") Integer maxTokens,
    @JsonProperty("stream") boolean isStream,
    String priority,
    @JsonProperty("resume_token_ids") List<Integer> resumeTokenIds) {

  static final int DEFAULT_MAX_TOKENS = 256;
  static final int MAX_MAX_TOKENS = 32_768;

  /**
   * A chat message.
   *
   * @param role role of the speaker, for example {@code user}
   * @param content text, or a list of parts with text
   */
  record Message(String role, JsonNode content) {

    /** Returns the text, or the texts of all parts joined; empty if there is no content. */
    String text() {
      if (content == null || content.isNull()) {
        return "";
      }
      if (content.isTextual()) {
        return content.asText();
      }
      StringBuilder joined = new StringBuilder();
      content.forEach(part -> joined.append(part.path("text").asText("")));
      return joined.toString();
    }
  }

  /**
   * Parses and checks a body.
   *
   * @param bytes JSON text in UTF-8
   * @return the body, never null
   * @throws BadBodyException if the text is not valid JSON or a field is missing or out of bounds
   */
  static ModelRequestBody read(byte[] bytes) throws BadBodyException {
    try {
      ModelRequestBody body = Json.MAPPER.readValue(bytes, ModelRequestBody.class);
      if (body == null) {
        throw new BadBodyException("the body is empty; send a JSON object");
      }
      body.check();
      return body;
    } catch (JsonProcessingException e) {
      throw new BadBodyException("the body is not valid JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new BadBodyException("the body can't be read: " + e.getMessage());
    }
  }

  private void check() throws BadBodyException {
    if (model == null || model.isBlank()) {
      throw new BadBodyException("field 'model' is missing; name a model of GET /v1/models");
    }
    if (prompt == null && (messages == null || messages.isEmpty())) {
      throw new BadBodyException("neither 'prompt' nor 'messages' is given; send one of them");
    }
    if (maxTokens != null && (maxTokens < 1 || maxTokens > MAX_MAX_TOKENS)) {
      throw new BadBodyException(
          "field 'max_tokens' is " + maxTokens + "; use 1 to " + MAX_MAX_TOKENS);
    }
    if (priority != null && !priority.equals("interactive") && !priority.equals("batch")) {
      throw new BadBodyException(
          "field 'priority' is '" + priority + "'; use 'interactive' or 'batch'");
    }
    if (resumeTokenIds != null && resumeTokenIds.size() > getMaxTokens()) {
      throw new BadBodyException("field 'resume_token_ids' is longer than 'max_tokens'");
    }
    if (resumeTokenIds != null && resumeTokenIds.contains(null)) {
      throw new BadBodyException("field 'resume_token_ids' holds null; send token ids only");
    }
  }

  int getMaxTokens() {
    return maxTokens == null ? DEFAULT_MAX_TOKENS : maxTokens;
  }

  List<Integer> getResumeTokenIds() {
    return resumeTokenIds == null ? List.of() : resumeTokenIds;
  }

  String getPrompt() {
    if (prompt != null) {
      return prompt;
    }
    return messages.stream()
        .map(message -> message.role() + ": " + message.text())
        .collect(Collectors.joining("\n"));
  }

  /** Reports a body that is not valid; the message is sent to the caller. */
  static final class BadBodyException extends Exception {

    private static final long serialVersionUID = 1L;

    BadBodyException(String message) {
      super(message);
    }
  }
}
