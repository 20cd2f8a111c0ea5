package org.gooseberryhook.standin;

import io.jooby.Context;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Copy of an HTTP request that stays valid after its connection is closed.
 *
 * @param path the path
 * @param pathValues decoded values of the path variables
 * @param query values of the query parameters
 * @param headers values of the headers; the names are in lower case
 * @param body the body
 * @since 0.1
 */
public record StandinRequest(
    String path,
    Map<String, String> pathValues,
    Map<String, String> query,
    Map<String, String> headers,
    byte[] body) {

  /**
   * Copies a request.
   *
   * @param context Jooby's context of the request
   * @return the copy, never null
   */
  static StandinRequest of(Context context) {
    Map<String, String> headers = new HashMap<>();
    context.headerMap().forEach((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
    // Jooby does not percent-decode path variables.
    Map<String, String> pathValues = new HashMap<>();
    context
        .pathMap()
        .forEach((name, value) -> pathValues.put(name, new QueryStringDecoder(value).path()));
    return new StandinRequest(
        context.getRequestPath(),
        pathValues,
        Map.copyOf(context.queryMap()),
        headers,
        context.body().bytes());
  }

  /**
   * Returns a query parameter.
   *
   * @param name the name
   * @return the value; empty if the parameter is missing
   */
  public String getQuery(String name) {
    return query.getOrDefault(name, "");
  }
}
