package org.agatefield.daemon.placing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.agatefield.placement.RunnerLedger;
import org.agatefield.store.StoredObject;

/** Converts ledgers to and from the content of stored objects. Stateless. */
final class LedgerCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private LedgerCodec() {}

  static JsonNode encode(RunnerLedger ledger) {
    return MAPPER.valueToTree(ledger);
  }

  static RunnerLedger decode(StoredObject object) {
    if (!object.content().isObject()) {
      throw new IllegalStateException(object.key() + " does not contain a ledger");
    }
    try {
      return MAPPER.treeToValue(object.content(), RunnerLedger.class);
    } catch (JsonProcessingException exception) {
      throw new IllegalStateException(object.key() + " does not contain a valid ledger", exception);
    }
  }
}
