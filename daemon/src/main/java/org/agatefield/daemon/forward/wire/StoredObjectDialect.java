package org.agatefield.daemon.forward.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.agatefield.forwarding.ForwardingTable;
import org.agatefield.forwarding.RunnerEntry;

/** Decodes the operator's configuration and the runner entries from stored objects. Stateless. */
public interface StoredObjectDialect {
  /** Returns the name of the stored object with the configuration. */
  String configurationName();

  /** Decodes a configuration; empty if the content is invalid. */
  Optional<ForwardingTable> decodeTable(JsonNode content);

  /** Decodes a runner entry; empty if it describes no usable runner. */
  Optional<RunnerEntry> decodeRunner(String id, JsonNode content);
}
