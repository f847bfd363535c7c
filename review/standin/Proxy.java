import java.io.*;
import java.net.*;

/** A link between a process and the store; while it is cut, nothing passes in either direction. */
final class Proxy {
  final ServerSocket socket;
  private final String host;
  private final int port;
  private volatile boolean cut;
  private int silenced;

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

  /** Makes all open connections silent for good, without a reset; new ones work. */
  synchronized void silence() {
    silenced++;
  }

  private synchronized int era() {
    return silenced;
  }

  private synchronized void pass(int era) {
    while (cut || era < silenced) {
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
              int era = era();
              pass(era);
              try {
                Socket far = new Socket(host, port);
                Http.thread(() -> copy(near, far, era));
                copy(far, near, era);
              } catch (IOException e) {
                close(near);
              }
            });
      } catch (IOException e) {
        return;
      }
    }
  }

  private void copy(Socket from, Socket to, int era) {
    byte[] buffer = new byte[65536];
    try {
      int n;
      while ((n = from.getInputStream().read(buffer)) >= 0) {
        pass(era);
        to.getOutputStream().write(buffer, 0, n);
      }
    } catch (IOException e) {
      // The connection is over.
    }
    pass(era);
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
