package org.gooseberryhook.router.node;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** A target on the loopback interface that responds as its script defines. */
final class TargetStandin implements AutoCloseable {

  /** Writes the response to one request. */
  @FunctionalInterface
  interface Script {
    /**
     * Writes the response to a request.
     *
     * @param request head and body of the request
     * @param out output of the connection
     * @throws IOException if the connection is closed; a script may throw it to break the
     *     connection
     * @throws InterruptedException if the thread is interrupted
     */
    void respond(String request, OutputStream out) throws IOException, InterruptedException;
  }

  private static final int MAX_CLOSE_MS = 1_000;

  /** Thrown by a script to reset the connection. */
  static final class ResetException extends IOException {
    private static final long serialVersionUID = 1L;
  }

  private volatile ServerSocket listener;
  private volatile boolean isResettingNew;
  private Thread acceptor;
  private final Script script;
  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger connections = new AtomicInteger();

  TargetStandin(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startAccepting();
  }

  private void startAccepting() {
    acceptor = new Thread(this::accept, "target");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Listens again at the same address after {@link #close}. */
  void reopen() throws IOException {
    listener = new ServerSocket(listener.getLocalPort(), 50, InetAddress.getLoopbackAddress());
    startAccepting();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Resets new connections from now on when a request arrives on them; open ones live on. */
  void resetNewConnections() {
    isResettingNew = true;
  }

  List<String> requests() {
    return List.copyOf(requests);
  }

  /** Returns the number of connections on which requests have arrived. */
  int connections() {
    return connections.get();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        boolean isReset = isResettingNew;
        Thread worker = new Thread(() -> serve(socket, isReset), "target-connection");
        worker.setDaemon(true);
        worker.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket, boolean isReset) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int i = 0; true; i++) {
        String request = read(in);
        if (request.isEmpty()) {
          return;
        }
        if (i == 0) {
          connections.incrementAndGet();
        }
        if (isReset) {
          socket.setSoLinger(true, 0);
          return;
        }
        requests.add(request);
        respond(request, socket);
      }
    } catch (IOException | InterruptedException e) {
      // The router or the script has ended the connection, as some tests expect.
      Thread.currentThread().interrupt();
    }
  }

  private void respond(String request, Socket socket) throws IOException, InterruptedException {
    try {
      script.respond(request, socket.getOutputStream());
    } catch (ResetException e) {
      socket.setSoLinger(true, 0);
      throw e;
    }
  }

  private static String read(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      bytes.write(next);
      head = bytes.toString(StandardCharsets.ISO_8859_1);
    }
    int length = 0;
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    bytes.write(in.readNBytes(length));
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns the value of a header of a request, or an empty string if it is missing. */
  static String header(String request, String name) {
    for (String line : request.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return "";
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes a complete response; {@code extra} holds header lines, each with its CRLF. */
  static void writeResponse(OutputStream out, String request, int status, String extra, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 "
            + status
            + " X\r\nattempt: "
            + header(request, "attempt")
            + "\r\n"
            + extra
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** Writes one chunk of a chunked response. */
  static void writeChunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  @Override
  public void close() throws IOException {
    listener.close();
    try {
      // The system accepts connections until the thread has left its call.
      acceptor.join(MAX_CLOSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
