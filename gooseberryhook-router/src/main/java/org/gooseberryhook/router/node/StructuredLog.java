package org.gooseberryhook.router.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.jboss.logging.Logger;

/**
 * Writes decisions as lines of JSON. Each kind of line has a rate limit; lines above it are
 * dropped, and the next line of that kind states their number. Used on the event loop only.
 */
public final class StructuredLog implements DecisionLog {

  /** Limit on the lines of one kind in a second: enough for failures, but not for each request. */
  public static final int MAX_LINES_PER_SECOND = 25;

  /** Names that the log itself writes. */
  private static final Set<String> RESERVED_NAMES =
      Set.of("timeMs", "node", "event", "request", "leftOut");

  private static final long WINDOW_MS = 1_000;
  private static final Logger LOGGER = Logger.getLogger("gooseberryhook");

  private final JsonFactory json = new JsonFactory();
  private final Map<String, Window> windows = new HashMap<>();
  private final String node;
  private final MonotonicClock clock;

  private static final class Window {
    long startMs;
    int lines;
    long droppedLines;
  }

  /**
   * Creates a log.
   *
   * @param node name of the node, written in each line
   * @param clock monotonic clock, for timestamps and rate limits
   */
  public StructuredLog(String node, MonotonicClock clock) {
    this.node = node;
    this.clock = clock;
  }

  @Override
  public void recordEvent(String kind, String attemptId, Object... fields) {
    long nowMs = clock.nowMs();
    Window window = windows.computeIfAbsent(kind, k -> new Window());
    if (nowMs - window.startMs >= WINDOW_MS) {
      window.startMs = nowMs;
      window.lines = 0;
    }
    if (++window.lines > MAX_LINES_PER_SECOND) {
      window.droppedLines++;
      return;
    }
    StringWriter text = new StringWriter();
    try (JsonGenerator line = json.createGenerator(text)) {
      line.writeStartObject();
      line.writeNumberField("timeMs", nowMs);
      line.writeStringField("node", node);
      line.writeStringField("event", kind);
      if (!attemptId.isEmpty()) {
        line.writeStringField("request", attemptId);
      }
      Set<String> names = new HashSet<>(RESERVED_NAMES);
      for (int i = 0; i + 1 < fields.length; i += 2) {
        writeField(line, distinctName(String.valueOf(fields[i]), names), fields[i + 1]);
      }
      if (window.droppedLines > 0) {
        line.writeNumberField("leftOut", window.droppedLines);
        window.droppedLines = 0;
      }
      line.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("cannot write a log line as JSON to a buffer in memory", e);
    }
    LOGGER.info(text);
  }

  /** Returns a name that the line does not have yet; parsers keep only one of two equal names. */
  private static String distinctName(String name, Set<String> names) {
    String distinct = name;
    while (!names.add(distinct)) {
      distinct += "_";
    }
    return distinct;
  }

  private static void writeField(JsonGenerator line, String name, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      line.writeNumberField(name, ((Number) value).longValue());
    } else if (value instanceof Boolean) {
      line.writeBooleanField(name, (Boolean) value);
    } else {
      line.writeStringField(name, String.valueOf(value));
    }
  }
}
