import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the run line of the deploy file. */
final class Entry implements AutoCloseable {
  private static final List<String> PASSED = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
  private static final Path DEPLOY = Path.of("deploy", "system.toml");

  // Below the ports that the system gives to outgoing connections.
  private static final int FIRST_PORT = 15_000;
  private static final int LAST_PORT = 32_000;
  private static final Set<String> TAKEN = new HashSet<>();

  final String name;
  final String zone;
  final String region;
  final String front;
  final String ready;
  final String directory;
  final String control;
  private final String metrics;
  private Process process;
  private Path settings;
  private Path log;

  Entry(String name, String ip, String zone, String region) throws IOException {
    this.name = name;
    this.zone = zone;
    this.region = region;
    List<String> addresses = new ArrayList<>();
    while (addresses.size() < 5) {
      String address = ip + ":" + ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      if (isFree(address) && TAKEN.add(address)) {
        addresses.add(address);
      }
    }
    front = addresses.get(0);
    ready = addresses.get(1);
    directory = addresses.get(2);
    control = addresses.get(3);
    metrics = addresses.get(4);
  }

  private static boolean isFree(String address) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    try (ServerSocket socket =
        new ServerSocket(port, 1, InetAddress.getByName(address.substring(0, colon)))) {
      return socket.isBound();
    } catch (IOException used) {
      return false;
    }
  }

  /** Starts the process with settings that deploy/settings.toml gives for a small deployment. */
  void start(Path folder, String store, List<Entry> fleet) throws IOException {
    settings = folder.resolve(name + ".toml");
    log = folder.resolve(name + ".log");
    StringBuilder seeds = new StringBuilder();
    StringBuilder zones = new StringBuilder();
    for (Entry each : fleet) {
      seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(each.control).append('"');
      String zoneLine = each.zone + " = \"" + each.region + "\"\n";
      if (zones.indexOf(zoneLine) < 0) {
        zones.append(zoneLine);
      }
    }
    Files.writeString(
        settings,
        "[instance]\nname = \"" + name + "\"\nregion = \"" + region + "\"\nfailure_domain = \""
            + zone + "\"\n[listen]\ncallers = \"" + front + "\"\nreadiness = \"" + ready
            + "\"\ndirectory = \"" + directory + "\"\npeers = \"" + control
            + "\"\nmetrics = \"" + metrics + "\"\n[store]\naddress = \"" + store
            + "\"\n[membership]\nseeds = [" + seeds + "]\n[failure_domains]\n" + zones
            + "[terms]\ndrain_milliseconds = 3000\ngrace_seconds = 8\n"
            + "configuration_apply_milliseconds = 3000\nretry_share = 0.2\nretry_reserve = 56\n"
            + "retry_window_seconds = 10\nanswer_time_to_live_seconds = 2\n"
            + "[capacity]\nprocessor_share = 0.75\nprocessor_speed = 1\n"
            + "[limits]\ndescriptors = 4100\n");
    restart();
  }

  /** Starts the process again with the settings that it had. */
  void restart() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(runLine());
    builder.environment().keySet().retainAll(PASSED);
    builder.environment().put("AGATEFIELD_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  private static List<String> runLine() throws IOException {
    for (String line : Files.readAllLines(DEPLOY)) {
      if (line.startsWith("run = ")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(Arrays.asList(words.split(" ")));
      }
    }
    throw new IOException("no run line in " + DEPLOY);
  }

  Process process() {
    return process;
  }

  /** Returns the last lines that the process has written. */
  String lastLines() throws IOException {
    List<String> lines = Files.readAllLines(log);
    return String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns whether the platform's readiness check gets a 200. */
  boolean isReady() {
    try (Socket socket = Http.connect(ready, 1_000)) {
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(("GET /api/ready HTTP/1.1\r\nHost: " + ready + "\r\n\r\n").getBytes());
      InputStream in = socket.getInputStream();
      return Http.read(in, "GET").status() == 200;
    } catch (IOException notReady) {
      return false;
    }
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(10, TimeUnit.SECONDS);
    }
  }
}
