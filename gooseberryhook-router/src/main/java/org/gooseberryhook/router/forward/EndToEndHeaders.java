package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Copies the end-to-end headers of a message, leaving out the hop-by-hop ones. */
final class EndToEndHeaders {

  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "proxy-connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE);

  private EndToEndHeaders() {}

  /**
   * Returns a copy without hop-by-hop headers: the usual ones and those that {@code Connection}
   * names.
   */
  static HttpHeaders copyOf(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders(false);
    copy.add(headers);
    for (String connectionOptions : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : connectionOptions.split(",")) {
        if (!name.isBlank()) {
          copy.remove(name.trim());
        }
      }
    }
    HOP_BY_HOP.forEach(copy::remove);
    return copy;
  }
}
