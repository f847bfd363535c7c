import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    boolean whole = true;

    String method() {
      return first.split(" ")[0];
    }

    String uri() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Receives the bytes of a body as they come. */
  interface Sink {
    void bytes(byte[] buffer, int length) throws IOException;
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int c;
    while ((c = in.read()) >= 0) {
      if (c == '\n') {
        String s = out.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      out.write(c);
    }
    return null;
  }

  /** Reads the head of a message; null if the connection ended before it. */
  static Message head(InputStream in) throws IOException {
    Message m = new Message();
    String s = line(in);
    if (s == null) {
      return null;
    }
    m.first = s;
    while (true) {
      s = line(in);
      if (s == null) {
        return null;
      }
      if (s.isEmpty()) {
        return m;
      }
      int colon = s.indexOf(':');
      m.headers.put(s.substring(0, colon).toLowerCase(Locale.ROOT), s.substring(colon + 1).strip());
    }
  }

  /** Reads a body by its framing; whole is false if it was broken off. */
  static void body(InputStream in, Message m, boolean response, Sink sink) throws IOException {
    byte[] buffer = new byte[65536];
    String encoding = m.header("transfer-encoding");
    String length = m.header("content-length");
    if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
      while (true) {
        String size = line(in);
        if (size == null) {
          m.whole = false;
          return;
        }
        int left = Integer.parseInt(size.split(";")[0].strip(), 16);
        if (left == 0) {
          String s;
          while ((s = line(in)) != null && !s.isEmpty()) {
            continue;
          }
          m.whole = s != null;
          return;
        }
        if (!copy(in, left, buffer, sink)) {
          m.whole = false;
          return;
        }
        line(in);
      }
    } else if (length != null) {
      m.whole = copy(in, Long.parseLong(length), buffer, sink);
    } else if (response) {
      int n;
      while ((n = in.read(buffer)) >= 0) {
        sink.bytes(buffer, n);
      }
    }
  }

  private static boolean copy(InputStream in, long left, byte[] buffer, Sink sink)
      throws IOException {
    while (left > 0) {
      int n = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (n < 0) {
        return false;
      }
      sink.bytes(buffer, n);
      left -= n;
    }
    return true;
  }

  static Message read(InputStream in, boolean response) throws IOException {
    Message m = head(in);
    if (m != null) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      body(in, m, response, (b, n) -> out.write(b, 0, n));
      m.body = out.toByteArray();
    }
    return m;
  }

  static byte[] message(String first, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(first).append("\r\n");
    headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    byte[] h = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = Arrays.copyOf(h, h.length + body.length);
    System.arraycopy(body, 0, all, h.length, body.length);
    return all;
  }

  static byte[] message(String first, Map<String, String> headers, String body) {
    return message(first, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Serves connections, each on a thread of its own. */
  abstract static class Server {
    volatile ServerSocket socket;
    private final InetSocketAddress address;
    final Set<Socket> open = Collections.synchronizedSet(new HashSet<>());

    Server(String ip) throws IOException {
      socket = new ServerSocket(0, 512, InetAddress.getByName(ip));
      address = (InetSocketAddress) socket.getLocalSocketAddress();
      thread(this::accept);
    }

    String address() {
      return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Ends as a process does: connections are closed, and new ones refused. */
    void stopListening() throws IOException {
      socket.close();
      for (Socket each : open.toArray(new Socket[0])) {
        each.close();
      }
    }

    /** Starts again at the same address. */
    void listenAgain() throws IOException {
      ServerSocket again = new ServerSocket();
      again.setReuseAddress(true);
      again.bind(address, 512);
      socket = again;
      thread(this::accept);
    }

    private void accept() {
      ServerSocket listener = socket;
      while (!listener.isClosed()) {
        try {
          Socket each = listener.accept();
          each.setTcpNoDelay(true);
          open.add(each);
          thread(
              () -> {
                try (each) {
                  serve(each);
                } catch (IOException | RuntimeException e) {
                  // The connection is over.
                } finally {
                  open.remove(each);
                }
              });
        } catch (IOException e) {
          // Closed, or out of descriptors for a moment.
        }
      }
    }

    void serve(Socket connection) throws IOException {
      InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
      OutputStream out = connection.getOutputStream();
      Message m;
      while ((m = read(in, false)) != null) {
        if (!handle(m, connection, out) || "close".equals(m.header("connection"))) {
          return;
        }
      }
    }

    /** Answers a request; returns whether the connection is kept. */
    abstract boolean handle(Message request, Socket connection, OutputStream out)
        throws IOException;
  }

  /** Returns the first three bytes, with a dot, of addresses of a small network on loopback. */
  static String network() {
    Random random = new Random();
    return "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
  }

  static Thread thread(Runnable run) {
    Thread t = new Thread(run);
    t.setDaemon(true);
    t.start();
    return t;
  }
}
