package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.StageReceipt;
import org.gooseberryhook.protocol.TokenEvent;

/**
 * Parses the lines of an engine's stream. A line is parsed for each token of each stream, and
 * Jackson's data binding to records takes several times as long as this parser.
 */
final class TokenEventParser {

  private static final JsonFactory FACTORY = Json.MAPPER.getFactory();

  private TokenEventParser() {}

  /**
   * Parses a line.
   *
   * @param line JSON text in UTF-8
   * @return the event, never null; unknown fields are ignored
   * @throws IOException if the line is not a token event
   */
  static TokenEvent parse(byte[] line) throws IOException {
    try (JsonParser parser = FACTORY.createParser(line)) {
      require(parser.nextToken() == JsonToken.START_OBJECT, line);
      return readFields(parser, line);
    }
  }

  private static TokenEvent readFields(JsonParser parser, byte[] line) throws IOException {
    String requestId = null;
    int attempt = 0;
    int step = 0;
    int tokenId = 0;
    String text = null;
    List<StageReceipt> receipts = null;
    boolean isEnd = false;
    int promptTokens = 0;
    int cachedTokens = 0;
    String error = null;
    String lostTarget = null;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      parser.nextToken();
      switch (field) {
        case "q" -> requestId = parser.getValueAsString();
        case "a" -> attempt = parser.getIntValue();
        case "s" -> step = parser.getIntValue();
        case "t" -> tokenId = parser.getIntValue();
        case "x" -> text = parser.getValueAsString();
        case "r" -> receipts = readReceipts(parser, line);
        case "end" -> isEnd = parser.getBooleanValue();
        case "pt" -> promptTokens = parser.getIntValue();
        case "ct" -> cachedTokens = parser.getIntValue();
        case "error" -> error = parser.getValueAsString();
        case "lost" -> lostTarget = parser.getValueAsString();
        default -> parser.skipChildren();
      }
    }
    require(parser.currentToken() == JsonToken.END_OBJECT, line);
    return new TokenEvent(
        requestId,
        attempt,
        step,
        tokenId,
        text,
        receipts,
        isEnd,
        promptTokens,
        cachedTokens,
        error,
        lostTarget);
  }

  private static List<StageReceipt> readReceipts(JsonParser parser, byte[] line)
      throws IOException {
    if (parser.currentToken() == JsonToken.VALUE_NULL) {
      return null;
    }
    require(parser.currentToken() == JsonToken.START_ARRAY, line);
    List<StageReceipt> receipts = new ArrayList<>();
    while (parser.nextToken() == JsonToken.START_ARRAY) {
      receipts.add(
          new StageReceipt(
              parser.nextIntValue(-1),
              parser.nextIntValue(-1),
              parser.nextIntValue(-1),
              parser.nextIntValue(-1)));
      require(parser.nextToken() == JsonToken.END_ARRAY, line);
    }
    require(parser.currentToken() == JsonToken.END_ARRAY, line);
    return receipts;
  }

  private static void require(boolean isValid, byte[] line) throws IOException {
    if (!isValid) {
      throw new IOException("a line of " + line.length + " bytes is not a token event");
    }
  }
}
