package org.gooseberryhook.load;

import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.gooseberryhook.protocol.Json;

/**
 * Writes the result of a run as a JSON file and an HTML report.
 *
 * @since 0.1
 */
public final class ExperimentReport {

  /** Name of the JSON file. */
  public static final String JSON_FILE = "result.json";

  /** Name of the HTML file, which is self-contained. */
  public static final String HTML_FILE = "report.html";

  private static final ObjectWriter WRITER = Json.MAPPER.writerWithDefaultPrettyPrinter();

  private ExperimentReport() {}

  /**
   * Writes both files; existing ones are replaced.
   *
   * @param result the result
   * @param directory directory to write to; created if missing
   * @throws IOException if a file can't be written
   */
  public static void write(LoadResult result, Path directory) throws IOException {
    Files.createDirectories(directory);
    Files.write(directory.resolve(JSON_FILE), WRITER.writeValueAsBytes(result));
    Files.writeString(directory.resolve(HTML_FILE), HtmlReport.of(result));
  }
}
