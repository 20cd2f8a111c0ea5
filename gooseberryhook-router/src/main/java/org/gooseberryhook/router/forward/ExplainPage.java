package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Function;
import org.gooseberryhook.router.forward.StatusServer.StatusResponse;

/** Status page that explains where a request would go now, without sending it. */
public final class ExplainPage {

  private static final Set<String> PARAMETERS =
      Set.of(
          "host",
          "path",
          "workspace",
          "promptTokens",
          "maxOutputTokens",
          "estimatedOutputTokens",
          "format");

  private static final int MAX_VALUE_CHARS = 2_000;

  private ExplainPage() {}

  /** Thrown if a parameter is missing or not valid; the message does not repeat its value. */
  private static final class InvalidQueryException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidQueryException(String message) {
      super(message);
    }
  }

  /**
   * Computes the page.
   *
   * @param query query parameters: {@code host}, {@code path}, and optionally {@code workspace},
   *     {@code promptTokens}, {@code maxOutputTokens}, {@code estimatedOutputTokens} and {@code
   *     format}, which is {@code text} or {@code json}
   * @param explainer explains a request
   * @return the explanation; status 400 if a parameter is missing, unknown or not valid
   */
  public static StatusResponse respond(
      Map<String, List<String>> query, Function<ExplainQuery, Explanation> explainer) {
    try {
      for (String name : query.keySet()) {
        if (!PARAMETERS.contains(name)) {
          // A key that was given by mistake must not be repeated.
          throw new InvalidQueryException(
              "unknown parameter; known are "
                  + String.join(", ", PARAMETERS.stream().sorted().toList()));
        }
      }
      String format = text(query, "format").orElse("text");
      if (!format.equals("text") && !format.equals("json")) {
        throw new InvalidQueryException("format must be text or json");
      }
      Explanation explanation =
          explainer.apply(
              new ExplainQuery(
                  required(query, "host"),
                  required(query, "path"),
                  text(query, "workspace"),
                  tokens(query, "promptTokens"),
                  tokens(query, "maxOutputTokens"),
                  tokens(query, "estimatedOutputTokens")));
      return format.equals("json")
          ? new StatusResponse(200, "application/json", ExplanationFormat.toJson(explanation))
          : new StatusResponse(
              200, "text/plain; charset=utf-8", ExplanationFormat.toText(explanation));
    } catch (InvalidQueryException e) {
      return new StatusResponse(400, "text/plain", e.getMessage() + '\n');
    }
  }

  private static Optional<String> text(Map<String, List<String>> query, String name)
      throws InvalidQueryException {
    List<String> values = query.getOrDefault(name, List.of());
    if (values.size() > 1) {
      throw new InvalidQueryException(name + " is given more than once");
    }
    if (values.isEmpty() || values.get(0).isEmpty()) {
      return Optional.empty();
    }
    String value = values.get(0);
    // Control characters would let a value pass for other lines of the page.
    if (value.length() > MAX_VALUE_CHARS || value.chars().anyMatch(Character::isISOControl)) {
      throw new InvalidQueryException(name + " is too long or has control characters");
    }
    return Optional.of(value);
  }

  private static String required(Map<String, List<String>> query, String name)
      throws InvalidQueryException {
    return text(query, name).orElseThrow(() -> new InvalidQueryException(name + " is missing"));
  }

  private static OptionalInt tokens(Map<String, List<String>> query, String name)
      throws InvalidQueryException {
    Optional<String> text = text(query, name);
    if (text.isEmpty()) {
      return OptionalInt.empty();
    }
    try {
      int tokens = Integer.parseInt(text.get());
      if (tokens >= 0) {
        return OptionalInt.of(tokens);
      }
    } catch (NumberFormatException e) {
      // Answered below.
    }
    throw new InvalidQueryException(name + " must be a whole number from 0 to 2147483647");
  }
}
