import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.atomic.AtomicInteger;

/** A client connection that is kept for several requests. */
final class Client implements Closeable {
  private static final AtomicInteger NUMBER = new AtomicInteger();
  final String name;
  final Socket socket = new Socket();
  final InputStream in;

  /** What a request came to; status 0 is a connection that ended without a complete answer. */
  record Answer(String id, int status, String seal, String text, boolean whole, long ms) {}

  Client(String name, Entry entry) throws IOException {
    this.name = name;
    socket.connect(new InetSocketAddress(entry.ip, entry.front), 1000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream(), 65536);
  }

  static String newId() {
    return String.format("%08x%08x", NUMBER.incrementAndGet(), new Random().nextInt());
  }

  static Map<String, String> headers(String host, String id, int deadlineMs) {
    Map<String, String> h = new LinkedHashMap<>();
    h.put("Host", host);
    h.put("Request-Id", id);
    h.put("Deadline-Ms", Integer.toString(deadlineMs));
    return h;
  }

  Answer call(String method, String uri, Map<String, String> headers, byte[] body) {
    String id = headers.get("Request-Id");
    long start = System.nanoTime();
    Record.add("sent", name, id, method + " " + uri + " " + body.length);
    Answer answer;
    try {
      socket.setSoTimeout(Integer.parseInt(headers.get("Deadline-Ms")));
      OutputStream out = socket.getOutputStream();
      out.write(Http.message(method + " " + uri + " HTTP/1.1", headers, body));
      out.flush();
      Http.Message m = Http.read(in, true);
      long ms = (System.nanoTime() - start) / 1_000_000;
      answer =
          m == null
              ? new Answer(id, 0, null, "connection closed", false, ms)
              : new Answer(
                  id, m.whole ? m.status() : 0, m.header("response-seal"), m.text(), m.whole, ms);
    } catch (SocketTimeoutException e) {
      answer = new Answer(id, -1, null, "no answer", false, (System.nanoTime() - start) / 1_000_000);
    } catch (IOException e) {
      answer =
          new Answer(
              id, 0, null, "" + e.getMessage(), false, (System.nanoTime() - start) / 1_000_000);
    }
    String text = answer.text.length() > 60 ? answer.text.substring(0, 60) + ".." : answer.text;
    Record.add(
        "answer", name, id, answer.status + " " + answer.ms + "ms " + text.replace('\n', ' '));
    return answer;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
