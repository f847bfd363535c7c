import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * A link to one runner that can be cut for a while.
 *
 * <p>Behaves as TCP does over a partition. A connection that is opened during the cut never carries
 * a byte. What is sent during the cut on an earlier connection stays with its sender, which sends
 * it again after 0.2 s and then after twice as long each time; the first of these times after the
 * cut delivers it. If the sender has reset the connection by then, the bytes are lost; if it has
 * closed it in the usual way, they still arrive. Thread-safe.
 */
final class CuttableLink {
  private static final double FIRST_RETRANSMISSION_SECONDS = 0.2;
  private static final int BACKLOG = 500;
  private static final int POLL_MILLISECONDS = 2;
  private static final int BUFFER_BYTES = 16_384;

  private final ServerSocket listener;
  private final int runnerPort;
  private final CaseRecord record;
  private volatile boolean cut;
  private volatile double healedAt = Double.MAX_VALUE;

  CuttableLink(int runnerPort, CaseRecord record) throws IOException {
    this.runnerPort = runnerPort;
    this.record = record;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void cut() {
    record.write("the link is cut");
    healedAt = Double.MAX_VALUE;
    cut = true;
  }

  void heal() {
    record.write("the link is whole again");
    healedAt = record.now();
    cut = false;
  }

  private void accept() {
    while (true) {
      try {
        Socket caller = listener.accept();
        Threads.start(() -> relay(caller));
      } catch (IOException exception) {
        return;
      }
    }
  }

  private void relay(Socket caller) {
    try {
      if (cut) {
        while (cut) {
          Threads.pause(POLL_MILLISECONDS);
        }
        reset(caller);
        return;
      }
      caller.setTcpNoDelay(true);
      Socket runner = new Socket(InetAddress.getLoopbackAddress(), runnerPort);
      runner.setTcpNoDelay(true);
      Threads.start(() -> pass(runner, caller));
      pass(caller, runner);
    } catch (IOException exception) {
      reset(caller);
    }
  }

  private void pass(Socket from, Socket to) {
    try {
      from.setSoTimeout(POLL_MILLISECONDS);
      InputStream input = from.getInputStream();
      OutputStream output = to.getOutputStream();
      byte[] bytes = new byte[BUFFER_BYTES];
      while (true) {
        if (cut) {
          awaitDelivery(input);
        }
        int length;
        try {
          length = input.read(bytes);
        } catch (SocketTimeoutException exception) {
          continue;
        }
        if (length < 0) {
          to.shutdownOutput();
          return;
        }
        if (cut) { // These bytes were sent as the cut began.
          awaitRetransmission(record.now());
        }
        output.write(bytes, 0, length);
      }
    } catch (IOException exception) {
      reset(to);
    }
  }

  /** Waits for the end of the cut and, if something was sent meanwhile, for its retransmission. */
  private void awaitDelivery(InputStream input) throws IOException {
    while (cut) {
      if (input.available() > 0) {
        awaitRetransmission(record.now());
        return;
      }
      Threads.pause(POLL_MILLISECONDS);
    }
  }

  private void awaitRetransmission(double sentAt) {
    double wait = FIRST_RETRANSMISSION_SECONDS;
    double next = sentAt + wait;
    while (cut || record.now() < next) {
      if (cut && record.now() >= next) {
        wait *= 2;
        next += wait;
      }
      Threads.pause(POLL_MILLISECONDS);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException exception) {
      // It is closed already.
    }
  }
}
