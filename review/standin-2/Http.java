import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A small blocking implementation of HTTP/1.1 for clients, runners and the platform's store. */
final class Http {
  private Http() {}

  /** The first line, the header lines and the body of a request or a response. */
  static final class Message {
    String first = "";
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    Optional<String> header(String name) {
      return headers.stream()
          .filter(each -> each[0].equalsIgnoreCase(name))
          .map(each -> each[1])
          .findFirst();
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.split(" ")[1];
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles the requests of one connection one after the other. */
  interface Handler {
    /** Answers a request; returns whether the connection stays open. */
    boolean handle(Message request, Socket socket, OutputStream out) throws IOException;
  }

  /** A server with one thread for each connection. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Handler handler;
    private final List<Socket> open = new ArrayList<>();

    Server(String address, Handler handler) throws IOException {
      this.handler = handler;
      socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 1024);
      daemon("server", this::accept);
    }

    String address() {
      return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket accepted = socket.accept();
          accepted.setTcpNoDelay(true);
          synchronized (open) {
            open.removeIf(Socket::isClosed);
            open.add(accepted);
          }
          daemon("connection", () -> serve(accepted));
        }
      } catch (IOException closed) {
        // The server was closed.
      }
    }

    private void serve(Socket accepted) {
      try (accepted) {
        InputStream in = new BufferedInputStream(accepted.getInputStream());
        OutputStream out = accepted.getOutputStream();
        while (true) {
          Message request = read(in, "");
          if (!handler.handle(request, accepted, out)) {
            return;
          }
        }
      } catch (IOException ended) {
        // The peer has gone.
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      synchronized (open) {
        for (Socket each : open) {
          each.close();
        }
      }
    }
  }

  static Thread daemon(String name, Runnable work) {
    Thread thread = new Thread(null, work, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static Socket connect(String address, int timeout) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        timeout);
    return socket;
  }

  /**
   * Reads a message.
   *
   * @param method the method of the request that a response answers; empty for a request
   */
  static Message read(InputStream in, String method) throws IOException {
    Message message = readHead(in);
    Optional<String> length = message.header("Content-Length");
    boolean chunked =
        message.header("Transfer-Encoding").filter(text -> text.contains("chunked")).isPresent();
    if (chunked) {
      message.body = readChunks(in);
    } else if (length.isPresent() && !method.equals("HEAD")) {
      message.body = exactly(in, Integer.parseInt(length.get().strip()));
    }
    return message;
  }

  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    message.first = line(in);
    while (true) {
      String line = line(in);
      if (line.isEmpty()) {
        return message;
      }
      int colon = line.indexOf(':');
      if (colon > 0) {
        message.headers.add(
            new String[] {line.substring(0, colon), line.substring(colon + 1).strip()});
      }
    }
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
      if (size == 0) {
        while (!line(in).isEmpty()) {
          continue;
        }
        return body.toByteArray();
      }
      body.write(exactly(in, size));
      line(in);
    }
  }

  static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int read = in.read();
      if (read < 0) {
        throw new EOFException("the connection ended");
      }
      if (read == '\n') {
        return line.toString();
      }
      if (read != '\r') {
        line.append((char) read);
      }
    }
  }

  static void write(OutputStream out, String head, byte[] body) throws IOException {
    byte[] text =
        (head + "Content-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[text.length + body.length];
    System.arraycopy(text, 0, all, 0, text.length);
    System.arraycopy(body, 0, all, text.length, body.length);
    out.write(all);
    out.flush();
  }

  static void write(OutputStream out, String head, String body) throws IOException {
    write(out, head, body.getBytes(StandardCharsets.UTF_8));
  }
}
