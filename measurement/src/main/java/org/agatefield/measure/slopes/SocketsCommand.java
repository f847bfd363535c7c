package org.agatefield.measure.slopes;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.agatefield.model.Address;
import org.agatefield.model.Closer;
import org.agatefield.model.FailureDomain;

/** Measures many peer coordinators in one process over loopback sockets. Used by one thread. */
@Command(
    name = "sockets",
    description = "Peer protocol over loopback: bytes, processor time, memory")
public final class SocketsCommand implements Callable<Integer> {
  private static final int REGIONS = 3;
  private static final int DOMAINS = 11;
  private static final long POLL_MILLISECONDS = 50;
  private static final long SETTLE_MILLISECONDS = 15_000;

  @Option(name = "--instances", description = "numbers of instances, separated by commas")
  private String instances = "8,32,64,128";

  @Option(name = "--seconds", description = "duration of the measurement in seconds")
  private int seconds = 30;

  @Option(name = "--models", description = "models in each document and in the fleet's demand")
  private int models = 280;

  @Option(name = "--runners", description = "runners in each document")
  private int runners = 2_000;

  @Option(name = "--reported-models", description = "models with demand per instance")
  private int reportedModels = 10;

  @Option(
      name = "--change-seconds",
      description = "seconds between configuration changes; 0 for none")
  private int changeSeconds = 0;

  @Option(name = "--seed", description = "seed of the random number generators")
  private long seed = 1;

  private long generation;

  @Override
  public Integer call() throws Exception {
    System.out.printf(
        "sockets seed=%d seconds=%d models=%d runners=%d reported_models=%d change_seconds=%d%n",
        seed, seconds, models, runners, reportedModels, changeSeconds);
    for (String count : instances.split(",")) {
      measure(Integer.parseInt(count.trim()));
    }
    return 0;
  }

  private void measure(int count) throws Exception {
    final long heapBefore = ProcessorTime.heapBytes();
    try (Closer closer = new Closer()) {
      List<SocketNode> nodes = startNodes(count, closer);
      final long start = System.nanoTime();
      while (nodes.stream().anyMatch(node -> node.coordinator().alive().size() < count)) {
        Thread.sleep(POLL_MILLISECONDS);
      }
      final long joined = (System.nanoTime() - start) / 1_000_000;
      Thread.sleep(SETTLE_MILLISECONDS);
      report(count, joined, nodes, heapBefore);
    }
  }

  private List<SocketNode> startNodes(int count, Closer closer) throws IOException {
    List<SocketNode> nodes = new ArrayList<>();
    List<Address> seeds = new ArrayList<>();
    for (int each = 0; each < count; each++) {
      Address address = freeAddress();
      FailureDomain domain =
          new FailureDomain("region-" + each % DOMAINS % REGIONS, "domain-" + each % DOMAINS);
      String id = String.format("entry-%04d-%08x", each, each);
      SocketNode node =
          new SocketNode(id, domain, address, seeds, reportedModels, seed * 1_000 + each);
      nodes.add(closer.register(node));
      if (each < 3) {
        seeds.add(address);
      }
    }
    return nodes;
  }

  private void report(int count, long joined, List<SocketNode> nodes, long heapBefore)
      throws InterruptedException {
    final List<Long> sentBefore = nodes.stream().map(node -> node.metric("bytes-sent")).toList();
    final List<Long> receivedBefore =
        nodes.stream().map(node -> node.metric("bytes-received")).toList();
    final long messagesBefore = sum(nodes, "messages-sent");
    final long openedBefore = sum(nodes, "connections-opened");
    final long processorBefore = ProcessorTime.ofThisProcess();
    long worstSpread = 0;
    for (int second = 1; second <= seconds; second++) {
      nodes.get(0).coordinator().totalDemand();
      if (changeSeconds > 0 && second % changeSeconds == 0) {
        worstSpread = Math.max(worstSpread, change(nodes));
      }
      Thread.sleep(1_000);
    }
    double processor = ProcessorTime.ofThisProcess() - processorBefore;
    long heap = ProcessorTime.heapBytes() - heapBefore;
    double nodeSeconds = (double) count * seconds;
    long bytes = sum(nodes, "bytes-sent") - sentBefore.stream().mapToLong(each -> each).sum();
    System.out.printf(
        "instances=%d join_ms=%d messages_per_second=%.2f bytes_sent_per_second=%.0f"
            + " busiest_bytes_sent_per_second=%.0f busiest_bytes_received_per_second=%.0f"
            + " processor_percent_of_core=%.3f heap_kilobytes=%d connections=%.1f"
            + " connections_opened_per_second=%.2f spread_ms_worst=%d dropped=%d%n",
        count,
        joined,
        (sum(nodes, "messages-sent") - messagesBefore) / nodeSeconds,
        bytes / nodeSeconds,
        most(nodes, "bytes-sent", sentBefore) / (double) seconds,
        most(nodes, "bytes-received", receivedBefore) / (double) seconds,
        processor / 1e7 / nodeSeconds,
        heap / 1_024 / count,
        sum(nodes, "connections-open") / (double) count,
        (sum(nodes, "connections-opened") - openedBefore) / nodeSeconds,
        worstSpread,
        sum(nodes, "messages-dropped"));
  }

  /** Changes one instance's document and returns the time until all have it, in milliseconds. */
  private long change(List<SocketNode> nodes) throws InterruptedException {
    generation++;
    long start = System.nanoTime();
    nodes
        .get((int) (generation % nodes.size()))
        .offer(SyntheticConfiguration.of(generation, models, runners));
    while (nodes.stream().anyMatch(node -> node.current().generation() < generation)) {
      Thread.sleep(POLL_MILLISECONDS);
    }
    long last = nodes.stream().mapToLong(SocketNode::adoptedNanoseconds).max().orElseThrow();
    return (last - start) / 1_000_000;
  }

  private static long sum(List<SocketNode> nodes, String metric) {
    return nodes.stream().mapToLong(node -> node.metric(metric)).sum();
  }

  private static long most(List<SocketNode> nodes, String metric, List<Long> before) {
    long most = 0;
    for (int each = 0; each < nodes.size(); each++) {
      most = Math.max(most, nodes.get(each).metric(metric) - before.get(each));
    }
    return most;
  }

  private static Address freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new Address("127.0.0.1", socket.getLocalPort());
    }
  }
}
