import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends each request on a new connection. */
final class Client {
  private Client() {}

  /** Sends a request and waits for its answer; {@code attempt} is empty for control calls. */
  static Reply send(
      int port, String method, String path, String attempt, byte[] body, int timeoutMs,
      String headers) {
    Reply reply = new Reply();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMs);
      OutputStream out = socket.getOutputStream();
      String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
          + (attempt.isEmpty() ? "" : "Gooseberryhook-Attempt-Id: " + attempt
              + "\r\nGooseberryhook-Deadline-Ms: " + timeoutMs + "\r\nApi-Key: key-1\r\n")
          + headers + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      if (answer == null) {
        reply.failure = "the connection was closed";
        return reply;
      }
      reply.status = answer.status();
      reply.whole = answer.whole;
      reply.signed = !answer.header("gooseberryhook-replica-signature").isEmpty();
      reply.body = answer.text();
      reply.retryAfter = answer.header("retry-after");
    } catch (IOException e) {
      reply.failure = e.toString();
    }
    return reply;
  }
}
