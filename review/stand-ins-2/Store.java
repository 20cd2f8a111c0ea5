import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: tables of versioned rows, conditional writes and a feed of changes. */
final class Store {
  private static final Pattern ROW =
      Pattern.compile("\\{[^{}]*\\}");

  private record Row(String value, long version) {}

  private final HttpServer server;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private long version;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    server.setExecutor(Executors.newCachedThreadPool(r -> {
      Thread thread = new Thread(r);
      thread.setDaemon(true);
      return thread;
    }));
    server.createContext("/rows-get", this::get);
    server.createContext("/rows-feed", this::feed);
    server.createContext("/rows-tx", this::transact);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a row; null deletes it. */
  synchronized void put(String table, String key, String value) {
    String encoded = value == null
        ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    table(table).put(key, new Row(encoded, ++version));
    notifyAll();
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, n -> new TreeMap<>());
  }

  private synchronized void get(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    StringBuilder rows = new StringBuilder();
    int count = 0;
    boolean hasMore = false;
    for (Map.Entry<String, Row> entry
        : table(query.get("table")).tailMap(query.getOrDefault("from", "")).entrySet()) {
      String to = query.get("to");
      if (entry.getValue().value() == null) {
        continue;
      }
      if (to != null && entry.getKey().compareTo(to) >= 0) {
        break;
      }
      if (count == limit) {
        hasMore = true;
        break;
      }
      append(rows, query.get("table"), entry.getKey(), entry.getValue());
      count++;
    }
    respond(exchange, 200, "{\"rows\":[" + rows + "],\"has-more\":" + hasMore + state());
  }

  private synchronized void feed(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after-revision"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
    StringBuilder rows = new StringBuilder();
    while (true) {
      for (Map.Entry<String, Row> entry : table(query.get("table")).entrySet()) {
        if (entry.getValue().version() > after) {
          append(rows, query.get("table"), entry.getKey(), entry.getValue());
        }
      }
      long leftMs = (end - System.nanoTime()) / 1_000_000;
      if (rows.length() > 0 || leftMs <= 0) {
        break;
      }
      try {
        wait(leftMs);
      } catch (InterruptedException e) {
        return;
      }
    }
    respond(exchange, 200, "{\"rows\":[" + rows + "]" + state());
  }

  private synchronized void transact(HttpExchange exchange) throws IOException {
    String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    for (Map<String, String> condition : rows(text, "expected-revision")) {
      Row row = table(condition.get("table")).get(condition.get("key"));
      long present = row == null || row.value() == null ? 0 : row.version();
      if (present != Long.parseLong(condition.get("ver"))) {
        StringBuilder current = new StringBuilder();
        if (present != 0) {
          append(current, condition.get("table"), condition.get("key"), row);
        }
        respond(exchange, 412, "{\"rows\":[" + current + "]" + state());
        return;
      }
    }
    version++;
    for (Map<String, String> write : rows(text, "writes")) {
      table(write.get("table")).put(write.get("key"), new Row(write.get("value"), version));
    }
    for (Map<String, String> removal : rows(text, "remove")) {
      table(removal.get("table")).put(removal.get("key"), new Row(null, version));
    }
    notifyAll();
    respond(exchange, 200, "{" + state().substring(1));
  }

  private String state() {
    return ",\"ver\":" + version + ",\"now-ms\":" + System.nanoTime() / 1_000_000 + "}";
  }

  private static void append(StringBuilder rows, String table, String key, Row row) {
    rows.append(rows.length() > 0 ? "," : "")
        .append("{\"table\":\"").append(table).append("\",\"part\":\"\",\"key\":\"").append(key)
        .append("\",\"ver\":").append(row.version())
        .append(row.value() == null ? ",\"deleted\":true}" : ",\"value\":\"" + row.value() + "\"}");
  }

  /** Returns the rows in one list of a transaction; keys and values have no quotes in them. */
  private static Iterable<Map<String, String>> rows(String text, String list) {
    Map<Integer, Map<String, String>> found = new TreeMap<>();
    int start = text.indexOf("\"" + list + "\":[");
    int end = start < 0 ? -1 : text.indexOf(']', start);
    if (end > 0) {
      Matcher rows = ROW.matcher(text.substring(start, end));
      Pattern field = Pattern.compile("\"([a-z]+)\":(?:\"([^\"]*)\"|(\\d+))");
      while (rows.find()) {
        Map<String, String> row = new HashMap<>();
        Matcher fields = field.matcher(rows.group());
        while (fields.find()) {
          row.put(fields.group(1), fields.group(2) == null ? fields.group(3) : fields.group(2));
        }
        found.put(found.size(), row);
      }
    }
    return found.values();
  }

  private static void respond(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }
}
