package org.agatefield.daemon.forward.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerEntry;

/** How the store spells the operator's configuration and the runners' entries. Stateless. */
public interface StoredObjectDialect {
  /** Returns the name of the object that holds the configuration. */
  String configurationName();

  /** Reads a configuration; empty if it is none. */
  Optional<ForwardingTable> decodeTable(JsonNode content);

  /** Reads a runner's entry; empty if it names no runner to use. */
  Optional<RunnerEntry> decodeRunner(String id, JsonNode content);
}
