import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Free ports below those that the system gives to outgoing connections, so that a process can
 * start again at its port.
 */
final class Ports {
  private static final int LOWEST = 12_000;
  private static final int HIGHEST = 32_000;
  private static int next = LOWEST + ThreadLocalRandom.current().nextInt(HIGHEST - LOWEST);

  private Ports() {}

  /** Returns the first of some free ports in a row. */
  static synchronized int find(int count) {
    while (true) {
      int first = next + count > HIGHEST ? LOWEST : next;
      next = first + count;
      boolean isFree = true;
      for (int i = 0; isFree && i < count; i++) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), first + i));
        } catch (IOException e) {
          isFree = false;
        }
      }
      if (isFree) {
        return first;
      }
    }
  }
}
