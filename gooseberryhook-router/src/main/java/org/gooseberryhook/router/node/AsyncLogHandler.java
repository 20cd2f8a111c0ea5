package org.gooseberryhook.router.node;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines to a stream from a thread of its own, so that a slow reader of the output never
 * blocks the event loop. Lines that do not fit into the queue are dropped and counted.
 */
public final class AsyncLogHandler extends Handler {

  /** Capacity of the queue of lines that are not yet written. */
  static final int MAX_QUEUED_LINES = 2_048;

  /** Longest time for which {@link #close} waits for a slow reader of the output. */
  private static final long CLOSE_TIMEOUT_MS = 200;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final PrintStream out;
  private final Thread writer;

  /**
   * Creates a handler and starts its writer thread.
   *
   * @param out stream to which the lines are written
   */
  public AsyncLogHandler(PrintStream out) {
    this.out = out;
    this.writer = new Thread(this::write, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord logRecord) {
    String line = logRecord.getMessage();
    if (logRecord.getThrown() != null) {
      line = line + " " + logRecord.getThrown();
    }
    if (line != null && !queue.offer(line)) {
      droppedLines.incrementAndGet();
    }
  }

  private void write() {
    try {
      while (true) {
        print(queue.take());
      }
    } catch (InterruptedException e) {
      for (String line = queue.poll(); line != null; line = queue.poll()) {
        print(line);
      }
      Thread.currentThread().interrupt();
    }
  }

  private void print(String line) {
    out.println(line);
    long droppedCount = droppedLines.getAndSet(0);
    if (droppedCount > 0) {
      out.println("{\"event\":\"log-lines-dropped\",\"count\":" + droppedCount + "}");
    }
  }

  @Override
  public void flush() {
    out.flush();
  }

  /** Writes the queued lines, as far as the reader takes them in time, and ends the thread. */
  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    // The writer of a blocked output holds the lock that flushing needs.
    if (!writer.isAlive()) {
      flush();
    }
  }
}
