import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

/** Requests whose paths and queries have bytes beyond ASCII. */
final class Case10 {
  private static final int INSTANCES = 2;
  private static final int ROUNDS = 5;
  private static final String[] ASCII = {
    "/book/visit", "/book/caf%C3%A9", "/book/visit?house=17&street=Mundakayam", "/book/a|b?c=\"d\""
  };
  // UTF-8 as most programs send it, and single bytes of ISO 8859-1.
  private static final String[] BEYOND_ASCII = {
    "/book/caf\u00c3\u00a9", "/book/visit?street=\u00c3\u0085lesund", "/book/caf\u00e9",
    "/book/\u00e0\u00b4\u0095\u00e0\u00b5\u008a"
  };

  private Case10() {}

  public static void main(String[] arguments) {
    int code = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Deployment deployment =
            new Deployment(record, INSTANCES, new CrowdCase.Runners(0, 0, 0, 0))) {
      try {
        code = play(deployment, record, !"0".equals(System.getenv("TROUBLE")));
      } catch (IOException | RuntimeException | Error failed) {
        record.say("could not run: %s", failed);
      }
    } catch (IOException | RuntimeException | Error failed) {
      System.out.println("could not run: " + failed);
    }
    System.exit(code);
  }

  private static int play(Deployment deployment, Record record, boolean trouble)
      throws IOException {
    Map<String, String> ran = new ConcurrentHashMap<>();
    try (Http.Server runner =
        new Http.Server(
            "127.0.0.1",
            (request, socket, out) -> {
              String id = request.header("Request-Id").orElse("");
              if (!id.isEmpty()) {
                ran.put(id, request.first);
              }
              Http.write(
                  out,
                  "HTTP/1.1 200 OK\r\nInstance-Id: i-desk\r\nRequest-Id: " + id
                      + "\r\nResponse-Seal: seal-" + id + "\r\n",
                  "answer to " + id);
              return true;
            })) {
      deployment.register("i-desk", "{\"service\":\"crew-desk\",\"address\":\""
          + runner.address() + "\",\"zone\":\"kochi-ernakulam\",\"version\":\"v1\",\"slots\":6,"
          + "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}");
      deployment.start();
      Runner.pause(2_000);
      int changed = 0;
      int served = 0;
      for (int round = 0; round < ROUNDS; round++) {
        for (Entry entry : deployment.entries) {
          for (String target : trouble ? BEYOND_ASCII : ASCII) {
            String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
            String first = "POST " + target + " HTTP/1.1";
            record.line("%s sends %s: %s", entry.name, id, visible(first));
            String answer = send(entry, id, first);
            String received = ran.getOrDefault(id, "");
            record.line("%s: answer %s; run as: %s", id, answer, visible(received));
            served += answer.equals("HTTP/1.1 200 OK") ? 1 : 0;
            changed += received.isEmpty() || received.equals(first) ? 0 : 1;
          }
        }
      }
      record.say("%d requests served, %d run with another path or query", served, changed);
      record.say("UNASKED %s", changed > 0 ? "broken" : "held");
      return !trouble && served == 0 ? 2 : changed > 0 ? 1 : 0;
    }
  }

  private static String send(Entry entry, String id, String first) throws IOException {
    try (Socket socket = Http.connect(entry.front, 1_000)) {
      socket.setSoTimeout(5_000);
      socket
          .getOutputStream()
          .write(
              (first + "\r\nHost: " + Deployment.HOST + "\r\nRequest-Id: " + id
                      + "\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\nvisit")
                  .getBytes(StandardCharsets.ISO_8859_1));
      return Http.read(new BufferedInputStream(socket.getInputStream()), "POST").first;
    } catch (IOException cut) {
      return "cut (" + cut.getMessage() + ")";
    }
  }

  private static String visible(String text) {
    StringBuilder visible = new StringBuilder();
    for (char each : text.toCharArray()) {
      visible.append(each < 128 ? String.valueOf(each) : String.format("\\x%02x", (int) each));
    }
    return visible.toString();
  }
}
