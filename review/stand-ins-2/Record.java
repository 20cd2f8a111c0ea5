import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, each line with the time since the start. */
final class Record {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void line(String text) {
    if (out != null) {
      out.printf("%8.3f %s%n", now(), text);
    }
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
