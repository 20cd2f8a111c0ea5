package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.Route;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import io.jooby.exception.BadRequestException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;

/**
 * Helpers that the caller API and the administration API share: starting a server with its limits,
 * reading requests and sending JSON responses.
 *
 * @since 0.1
 */
final class HttpExchanges {

  /**
   * Factor by which the server reads more header bytes than the limit, so that the response can
   * state how long the headers are.
   */
  private static final int HEADER_READ_FACTOR = 4;

  private static final int HEADER_SEPARATOR_BYTES = 4;

  /** Time in which all headers of a request must arrive; they fit into a few packets. */
  private static final long HEADER_TIMEOUT_MS = 10_000;

  static {
    // Jooby's own shutdown hook would close all streams on the signal that starts the drain.
    System.setProperty("jooby.useShutdownHook", "false");
  }

  private HttpExchanges() {}

  /**
   * Starts a server.
   *
   * @param app the routes
   * @param purpose what listens on the port, for error messages
   * @param address {@code ip:port}
   * @param maxBodyBytes longest request body, in bytes
   * @param maxHeaderBytes longest sum of all headers of a request, in bytes
   * @param worker bounded pool for the handlers
   * @return the running server
   * @throws IllegalStateException if the port is in use
   */
  static Server start(
      Jooby app,
      String purpose,
      String address,
      int maxBodyBytes,
      int maxHeaderBytes,
      Executor worker) {
    ListenAddress listen = ListenAddress.of(address);
    listen.requireFree(purpose);
    ServerOptions options = new ServerOptions();
    options.setHost(listen.host());
    options.setPort(listen.port());
    options.setMaxRequestSize(maxBodyBytes);
    // Jooby writes a body that is longer than its buffer to a temporary file, and VMs have no disk.
    options.setBufferSize(maxBodyBytes + 1);
    options.setMaxHeaderSize(HEADER_READ_FACTOR * maxHeaderBytes);
    app.setStartupSummary(List.of(StartupSummary.NONE));
    return new BoundedServer(options, worker, HEADER_TIMEOUT_MS).start(app);
  }

  /**
   * Returns a filter that refuses requests whose headers are too long.
   *
   * @param maxHeaderBytes longest sum of all headers of a request, in bytes
   * @return the filter, never null
   */
  static Route.Filter headerLimit(int maxHeaderBytes) {
    return next ->
        context -> {
          long bytes = 0;
          for (Map.Entry<String, List<String>> header : context.header().toMultimap().entrySet()) {
            for (String value : header.getValue()) {
              bytes += header.getKey().length() + value.length() + HEADER_SEPARATOR_BYTES;
            }
          }
          if (bytes > maxHeaderBytes) {
            return Problems.send(
                context,
                Problem.of(
                    ProblemKind.HEADERS_TOO_LARGE,
                    "the headers have " + bytes + " bytes; at most " + maxHeaderBytes + " fit"));
          }
          return next.apply(context);
        };
  }

  /**
   * Returns a decoded path variable; Jooby itself doesn't decode percent-encoding.
   *
   * @param context the exchange
   * @param name name of the variable
   * @return the decoded value, never null
   * @throws BadRequestException if the encoding is not valid
   */
  static String getPath(Context context, String name) {
    String raw = context.path(name).value();
    try {
      return URLDecoder.decode(raw.replace("+", "%2B"), StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new BadRequestException("the percent-encoding of '" + raw + "' is not valid", e);
    }
  }

  /**
   * Checks that the content type of a request is JSON. A missing content type counts as JSON.
   *
   * @param context the exchange
   * @return the problem, or empty if there is none
   */
  static Optional<Problem> findContentTypeProblem(Context context) {
    String header = context.header("Content-Type").value("");
    String type = header.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
    if (type.isEmpty() || type.equals("application/json") || type.endsWith("+json")) {
      return Optional.empty();
    }
    return Optional.of(
        Problem.of(ProblemKind.UNSUPPORTED_TYPE, "the body has the content type " + type));
  }

  /**
   * Returns whether a request states how its body is delimited. If the headers could not be read to
   * their end, the server passes the request on without its body, and such a request must not have
   * an effect.
   *
   * @param context the exchange
   * @return true if the request has the header Content-Length or Transfer-Encoding
   */
  static boolean hasBodyLength(Context context) {
    return context.header("Content-Length").isPresent()
        || context.header("Transfer-Encoding").isPresent();
  }

  static Object sendJson(Context context, Object body) throws JsonProcessingException {
    context.setResponseType(MediaType.json);
    return context.send(Json.MAPPER.writeValueAsBytes(body));
  }
}
