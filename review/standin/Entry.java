import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.regex.*;

/** One process of agatefield, started with the run line and the template of the deploy file. */
final class Entry {
  static final Path ROOT = Path.of(System.getProperty("root"));
  static final Path TEMPORARY = Path.of(System.getProperty("temporary"));
  final String name;
  final String ip;
  final ObjectNode fields;
  final int front;
  final int ready;
  final String control;
  Process process;

  Entry(String name, String ip, String zone, String store, JsonNode bounds)
      throws IOException {
    this.name = name;
    this.ip = ip;
    fields = Store.JSON.createObjectNode();
    fields.put("node", name).put("role", "entry").put("ip", ip).put("zone", zone);
    fields.put("region", "west-mids").put("bootstrap", true);
    fields
        .putObject("zones")
        .put("stourbridge", "west-mids")
        .put("wordsley", "west-mids")
        .put("nottingham", "east-mids");
    front = freePort(ip);
    ready = freePort(ip);
    control = ip + ":" + freePort(ip);
    ObjectNode listen = fields.putObject("listen");
    listen.put("front", ip + ":" + front).put("ready", ip + ":" + ready);
    listen.put("control", control).put("directory", ip + ":" + freePort(ip));
    fields.set("bounds", bounds);
    fields.putObject("platform").put("address", store);
  }

  /** Names the machines whose control addresses are known at the start. */
  void seeds(List<Entry> entries) {
    var array = fields.putArray("seeds");
    entries.forEach(each -> array.add(each.control));
  }

  /** Returns a port below those that the system gives to outgoing connections. */
  private static int freePort(String ip) throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 100; attempt++) {
      try (ServerSocket s =
          new ServerSocket(15000 + random.nextInt(17000), 1, InetAddress.getByName(ip))) {
        return s.getLocalPort();
      } catch (BindException e) {
        // In use.
      }
    }
    throw new IOException("no free port");
  }

  static ObjectNode bounds() {
    ObjectNode b = Store.JSON.createObjectNode();
    b.put("drain_ms", 3000).put("grace_s", 8).put("config_apply_ms", 3000);
    b.put("retry_budget_ratio", 0.2).put("retry_budget_extra", 56).put("budget_window_s", 10);
    return b;
  }

  void start() throws IOException {
    Path settings = TEMPORARY.resolve(name + ".toml");
    Files.writeString(settings, render(Files.readString(ROOT.resolve("deploy/settings.toml"))));
    String toml = Files.readString(ROOT.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(toml);
    run.find();
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.directory(ROOT.toFile());
    builder.environment().put("AGATEFIELD_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(TEMPORARY.resolve(name + ".log").toFile()));
    process = builder.start();
    Process started = process;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  boolean isReady() {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(ip, ready), 1000);
      s.setSoTimeout(1000);
      s.getOutputStream()
          .write(Http.message("GET /api/ready HTTP/1.1", Map.of("Host", ip), new byte[0]));
      Http.Message m = Http.read(s.getInputStream(), true);
      return m != null && m.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(int seconds) throws InterruptedException {
    long end = System.currentTimeMillis() + 1000L * seconds;
    while (!isReady()) {
      if (System.currentTimeMillis() > end) {
        throw new IllegalStateException(name + " is not ready");
      }
      Thread.sleep(100);
    }
  }

  /** Fills in the template: values, JSON values and sections. */
  private String render(String template) {
    Matcher section =
        Pattern.compile("(?s)\\{\\{#([\\w.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}").matcher(template);
    StringBuilder out = new StringBuilder();
    while (section.find()) {
      JsonNode value = value(section.group(1));
      StringBuilder rendered = new StringBuilder();
      if (value.isObject()) {
        value
            .fields()
            .forEachRemaining(
                f ->
                    rendered.append(
                        section
                            .group(2)
                            .replace("{{@}}", f.getKey())
                            .replace("{{.}}", f.getValue().asText())));
      } else if (!value.isMissingNode()) {
        rendered.append(section.group(2));
      }
      section.appendReplacement(out, Matcher.quoteReplacement(rendered.toString()));
    }
    section.appendTail(out);
    Matcher plain = Pattern.compile("\\{\\{([\\w.]+)(\\|json)?\\}\\}").matcher(out.toString());
    return plain.replaceAll(
        r -> {
          JsonNode v = value(r.group(1));
          return Matcher.quoteReplacement(r.group(2) == null ? v.asText() : v.toString());
        });
  }

  private JsonNode value(String path) {
    JsonNode node = fields;
    for (String each : path.split("\\.")) {
      node = node.path(each);
    }
    return node;
  }
}
