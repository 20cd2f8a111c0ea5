package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Copies headers without those that concern only one connection. */
final class EndToEndHeaders {

  private static final List<CharSequence> CONNECTION_ONLY =
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

  static HttpHeaders copyOf(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders(false);
    copy.add(headers);
    for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",")) {
        if (!name.isBlank()) {
          copy.remove(name.trim());
        }
      }
    }
    CONNECTION_ONLY.forEach(copy::remove);
    return copy;
  }
}
