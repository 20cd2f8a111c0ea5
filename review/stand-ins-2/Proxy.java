import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A proxy between one machine and the store, which can reset the machine's connections. */
final class Proxy {
  private final int target;
  private final ServerSocket listener;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicLong bytes = new AtomicLong();
  private volatile boolean isResetting;

  Proxy(String target) throws IOException {
    this.target = Integer.parseInt(target.substring(target.indexOf(':') + 1));
    listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    Replica.daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the number of bytes that the machine has got from the store. */
  long bytes() {
    return bytes.get();
  }

  /** Sets whether connections are reset: those that are open, and each new one. */
  void setResetting(boolean resetting) {
    isResetting = resetting;
    if (resetting) {
      open.forEach(Proxy::reset);
      open.clear();
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket machine = listener.accept();
        if (isResetting) {
          reset(machine);
          continue;
        }
        Socket store = new Socket();
        store.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target));
        machine.setTcpNoDelay(true);
        store.setTcpNoDelay(true);
        open.add(machine);
        Replica.daemon(() -> copy(machine, store, false));
        Replica.daemon(() -> copy(store, machine, true));
      } catch (IOException e) {
        // The connection is lost.
      }
    }
  }

  private void copy(Socket from, Socket to, boolean isCounted) {
    byte[] buffer = new byte[16_384];
    try (from; to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        out.write(buffer, 0, n);
        out.flush();
        bytes.addAndGet(isCounted ? n : 0);
      }
    } catch (IOException e) {
      // The connection has ended.
    } finally {
      open.remove(from);
      open.remove(to);
    }
  }
}
