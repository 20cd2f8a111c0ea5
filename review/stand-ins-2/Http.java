import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP/1.1 message, read from a stream. */
final class Http {
  String first = "";
  final Map<String, String> headers = new LinkedHashMap<>();
  byte[] body = {};

  /** Whether the body is whole: its length was reached, or its last chunk came. */
  boolean whole;

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(), "");
  }

  int status() {
    String[] words = first.split(" ");
    return words.length > 1 ? Integer.parseInt(words[1]) : 0;
  }

  String method() {
    return first.split(" ")[0];
  }

  String path() {
    return first.split(" ")[1];
  }

  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Reads a message; returns null if the stream ends before its first byte. */
  static Http read(InputStream in) throws IOException {
    Http message = readHead(in);
    if (message != null) {
      message.readBody(in);
    }
    return message;
  }

  static Http readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Http message = new Http();
    message.first = line;
    for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
    }
    if (line == null) {
      throw new IOException("the connection ended within a head");
    }
    return message;
  }

  void readBody(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    if (header("transfer-encoding").toLowerCase().contains("chunked")) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          break;
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        bytes.write(in.readNBytes(length));
        readLine(in);
        if (length == 0) {
          whole = true;
          break;
        }
      }
    } else {
      int length = headers.containsKey("content-length")
          ? Integer.parseInt(header("content-length")) : 0;
      bytes.write(in.readNBytes(length));
      whole = bytes.size() == length;
    }
    body = bytes.toByteArray();
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
    return null;
  }
}
