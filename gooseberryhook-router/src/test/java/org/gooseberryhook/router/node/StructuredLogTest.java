package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against log lines that a parser refuses, or of which it loses a field. */
class StructuredLogTest {

  private static final ObjectMapper STRICT =
      new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

  private final Logger logger = Logger.getLogger("gooseberryhook");
  private final List<String> lines = new ArrayList<>();
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord logRecord) {
          lines.add(logRecord.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void listen() {
    logger.addHandler(handler);
  }

  @AfterEach
  void stopListening() {
    logger.removeHandler(handler);
  }

  @Test
  void aFieldWithANameOfTheLineItselfLosesNothing() throws Exception {
    new StructuredLog("n", () -> 5).recordEvent("stream", "a1", "event", 3, "runs", 1, "runs", 2);
    JsonNode line = STRICT.readTree(lines.get(0));
    assertThat(line.path("event").asText()).isEqualTo("stream");
    assertThat(line.path("event_").asInt()).isEqualTo(3);
    assertThat(line.path("runs").asInt()).isEqualTo(1);
    assertThat(line.path("runs_").asInt()).isEqualTo(2);
    assertThat(line.path("timeMs").asInt()).isEqualTo(5);
  }
}
