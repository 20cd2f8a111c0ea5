package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Encodes responses to callers; one to a {@code HEAD} request ends after its head. */
final class CallerResponseEncoder extends HttpResponseEncoder {

  private boolean isHeadRequest;

  /** Sets the method of the request to which the next response belongs. */
  void setRequestMethod(HttpMethod method) {
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /** Called once for each head; the first one of a final response ends the request's turn. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    boolean isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean isHeadResponse = isHeadRequest;
    isHeadRequest &= isInformational;
    return isHeadResponse || super.isContentAlwaysEmpty(response);
  }
}
