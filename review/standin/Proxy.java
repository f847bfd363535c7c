import java.io.*;
import java.net.*;

/** A link between a process and the store; while it is cut, nothing passes in either direction. */
final class Proxy {
  final ServerSocket socket;
  private final String host;
  private final int port;
  private volatile boolean cut;

  Proxy(String ip, String target) throws IOException {
    host = target.split(":")[0];
    port = Integer.parseInt(target.split(":")[1]);
    socket = new ServerSocket(0, 512, InetAddress.getByName(ip));
    Http.thread(this::accept);
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  synchronized void cut(boolean now) {
    cut = now;
    notifyAll();
  }

  private synchronized void pass() {
    while (cut) {
      try {
        wait();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket near = socket.accept();
        Http.thread(
            () -> {
              pass();
              try {
                Socket far = new Socket(host, port);
                Http.thread(() -> copy(near, far));
                copy(far, near);
              } catch (IOException e) {
                close(near);
              }
            });
      } catch (IOException e) {
        return;
      }
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[65536];
    try {
      int n;
      while ((n = from.getInputStream().read(buffer)) >= 0) {
        pass();
        to.getOutputStream().write(buffer, 0, n);
      }
    } catch (IOException e) {
      // The connection is over.
    }
    pass();
    close(from);
    close(to);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
