import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message, read from a socket byte by byte. */
final class HttpMessage {
  private static final int HEXADECIMAL = 16;

  private final String firstLine;
  private final List<String[]> fields = new ArrayList<>();
  private byte[] body = new byte[0];

  private HttpMessage(String firstLine) {
    this.firstLine = firstLine;
  }

  /** Reads a message with its body; null at the end of the connection. */
  static HttpMessage read(InputStream input) throws IOException {
    String first = readLine(input);
    if (first == null) {
      return null;
    }
    HttpMessage message = new HttpMessage(first);
    String line = readLine(input);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      message.fields.add(
          new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
      line = readLine(input);
    }
    if (line == null) {
      throw new EOFException("the connection ended within a head");
    }
    message.body = message.readBody(input);
    return message;
  }

  private byte[] readBody(InputStream input) throws IOException {
    if ("chunked".equalsIgnoreCase(field("Transfer-Encoding"))) {
      return readChunks(input);
    }
    String length = field("Content-Length");
    return length == null ? new byte[0] : readBytes(input, Integer.parseInt(length));
  }

  private static byte[] readChunks(InputStream input) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    while (true) {
      String size = readLine(input);
      if (size == null) {
        throw new EOFException("the connection ended between chunks");
      }
      int length = Integer.parseInt(size.trim(), HEXADECIMAL);
      all.write(readBytes(input, length));
      readLine(input);
      if (length == 0) {
        return all.toByteArray();
      }
    }
  }

  private static byte[] readBytes(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = input.read();
    while (next >= 0 && next != '\n') {
      line.append((char) next);
      next = input.read();
    }
    if (next < 0 && line.length() == 0) {
      return null;
    }
    String text = line.toString();
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Writes a response with a length. */
  static void writeResponse(OutputStream output, int status, String fields, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 " + status + " -\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
    output.write(head.getBytes(StandardCharsets.ISO_8859_1));
    output.write(body);
    output.flush();
  }

  String method() {
    return firstLine.split(" ")[0];
  }

  /** Returns the path and query as sent. */
  String target() {
    return firstLine.split(" ")[1];
  }

  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  String firstLine() {
    return firstLine;
  }

  /** Returns the value of the first field with a name; null if there is none. */
  String field(String name) {
    for (String[] field : fields) {
      if (field[0].equalsIgnoreCase(name)) {
        return field[1];
      }
    }
    return null;
  }

  byte[] body() {
    return body;
  }
}
