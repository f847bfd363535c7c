import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry instance, started with the run line of the deploy file on loopback ports. */
final class EntryProcess {
  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final Path TEMPLATE = Path.of("deploy/settings.toml");
  private static final Pattern SECTION = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}");
  private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.|]+)}}");
  private static final int CONNECT_MILLISECONDS = 1_000;

  private final String name;
  private final Path folder;
  private final Map<String, String> values;
  private final Map<String, String> zones;
  private final int callerPort = freePort();
  private final int readinessPort = freePort();
  private final String control = "127.0.0.1:" + freePort();
  private Process process;

  /**
   * Creates an instance that is not started.
   *
   * @param zones the region of each zone
   */
  EntryProcess(String name, String zone, Map<String, String> zones, String store, Path folder)
      throws IOException {
    this.name = name;
    this.folder = folder;
    this.zones = zones;
    this.values =
        new java.util.HashMap<>(
            Map.ofEntries(
                Map.entry("node", name),
                Map.entry("zone", zone),
                Map.entry("region", zones.get(zone)),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("listen.front", "127.0.0.1:" + callerPort),
                Map.entry("listen.ready", "127.0.0.1:" + readinessPort),
                Map.entry("listen.directory", "127.0.0.1:" + freePort()),
                Map.entry("listen.control", control),
                Map.entry("platform.address", store),
                Map.entry("bounds.drain_ms", "3000"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("bounds.config_apply_ms", "3000"),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.retry_budget_extra", "56"),
                Map.entry("bounds.budget_window_s", "10"),
                Map.entry("limits.cpu_share", "0.75"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.max_fds", "4100")));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  void start(List<String> seeds) throws IOException {
    values.put("seeds|json", new ObjectMapper().writeValueAsString(seeds));
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(settings, fillTemplate());
    ProcessBuilder builder = new ProcessBuilder(runLine().split(" "));
    builder.environment().put("AGATEFIELD_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  private static String runLine() throws IOException {
    return Files.readAllLines(DEPLOY_FILE).stream()
        .filter(line -> line.startsWith("run = "))
        .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
        .findFirst()
        .orElseThrow();
  }

  private String fillTemplate() throws IOException {
    String template = Files.readString(TEMPLATE);
    StringBuilder regions = new StringBuilder();
    zones.forEach(
        (zone, region) -> regions.append(zone + " = \"" + region + "\"" + System.lineSeparator()));
    String filled =
        SECTION
            .matcher(template)
            .replaceAll(
                section -> {
                  if (section.group(1).equals("zones")) {
                    return Matcher.quoteReplacement(regions.toString());
                  }
                  return values.containsKey(section.group(1))
                      ? Matcher.quoteReplacement(section.group(2))
                      : "";
                });
    // The port of the metrics is fixed in the template, and all instances share one address.
    filled = filled.replaceAll("(?m)^metrics = .*$", "");
    return VALUE
        .matcher(filled)
        .replaceAll(
            value -> Matcher.quoteReplacement(values.getOrDefault(value.group(1), "")));
  }

  void awaitReady(long milliseconds) {
    long until = System.nanoTime() + milliseconds * 1_000_000;
    while (System.nanoTime() < until) {
      if (isReady()) {
        return;
      }
      Threads.pause(50);
    }
    throw new IllegalStateException(name + " did not become ready");
  }

  private boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", readinessPort), CONNECT_MILLISECONDS);
      socket.setSoTimeout(CONNECT_MILLISECONDS);
      String call = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer =
          HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      return answer != null && answer.status() == 200;
    } catch (IOException exception) {
      return false;
    }
  }

  /** Asks the process to stop, as the platform does before a planned stop. */
  void terminate() {
    process.destroy();
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  String name() {
    return name;
  }

  String control() {
    return control;
  }

  int callerPort() {
    return callerPort;
  }
}
