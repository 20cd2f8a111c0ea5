package org.gooseberryhook.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * IP address and port that a server listens on.
 *
 * @param host IP address
 * @param port TCP port
 * @since 0.1
 */
public record ListenAddress(String host, int port) {

  /**
   * Parses an address.
   *
   * @param text {@code ip:port}, as checked by the settings reader
   * @return the address, never null
   */
  public static ListenAddress of(String text) {
    int colon = text.lastIndexOf(':');
    return new ListenAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /**
   * Checks that nothing listens on the address. Jooby listens with SO_REUSEPORT, so two servers
   * would share a port without an error; a plain socket shows whether the port is in use.
   *
   * @param listenerName name of the server that is to listen, for the error message
   * @throws IllegalStateException if the address cannot be listened on
   */
  public void requireFree(String listenerName) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(host, port));
    } catch (IOException e) {
      throw new IllegalStateException(
          listenerName
              + " cannot listen on "
              + host
              + ":"
              + port
              + " ("
              + e.getMessage()
              + "); stop the process that uses the port or choose another address",
          e);
    }
  }
}
