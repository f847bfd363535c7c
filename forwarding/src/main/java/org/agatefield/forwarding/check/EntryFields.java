package org.agatefield.forwarding.check;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.agatefield.forwarding.ClientAccount;
import org.agatefield.forwarding.EnginePool;
import org.agatefield.forwarding.IngressLimits;
import org.agatefield.forwarding.Route;
import org.agatefield.forwarding.ServedModel;
import org.agatefield.forwarding.ServiceDefinition;
import org.agatefield.forwarding.TokenQuota;
import org.agatefield.forwarding.WeightedService;

/** Writes the fields of entries as text that can be compared; keys as digests. Stateless. */
final class EntryFields {
  private EntryFields() {}

  static Map<Field, String> of(Route route) {
    Map<Field, String> fields = new LinkedHashMap<>();
    fields.put(Field.HOST, route.host());
    fields.put(Field.PATH_PREFIX, route.pathPrefix());
    fields.put(Field.KIND, route.kind().name().toLowerCase(Locale.ROOT));
    fields.put(Field.TIMEOUT, Long.toString(route.timeoutMilliseconds()));
    fields.put(Field.OBJECTIVE, Long.toString(route.objectiveMilliseconds()));
    fields.put(Field.GAP_OBJECTIVE, Long.toString(route.gapObjectiveMilliseconds()));
    fields.put(Field.PRIORITY, Integer.toString(route.priority()));
    fields.put(Field.MAXIMUM_ATTEMPTS, Integer.toString(route.maximumAttempts()));
    fields.put(Field.RESUMABLE, Boolean.toString(route.resumable()));
    fields.put(Field.OPEN, Boolean.toString(route.open()));
    Map<String, Double> shares = new TreeMap<>();
    for (WeightedService each : route.services()) {
      shares.merge(each.service(), each.weight(), Double::sum);
    }
    fields.put(Field.SERVICES, shares.toString());
    return fields;
  }

  static Map<Field, String> of(ServiceDefinition service) {
    Map<Field, String> fields = new LinkedHashMap<>();
    fields.put(Field.MAXIMUM_CONNECTIONS, Integer.toString(service.maximumConnections()));
    service.engines().ifPresent(engines -> addEngines(fields, engines));
    return fields;
  }

  static Map<Field, String> of(ServedModel model) {
    Map<Field, String> fields = new LinkedHashMap<>();
    fields.put(Field.WEIGHTS, Double.toString(model.weightsMegabytes()));
    fields.put(Field.ADAPTER_WEIGHTS, Double.toString(model.adapterMegabytes()));
    fields.put(Field.STORE_LOAD_TIME, milliseconds(model.storeLoadMilliseconds()));
    fields.put(Field.DISK_LOAD_TIME, milliseconds(model.diskLoadMilliseconds()));
    fields.put(Field.MEMORY_LOAD_TIME, milliseconds(model.memoryLoadMilliseconds()));
    return fields;
  }

  static Map<Field, String> of(ClientAccount account) {
    Map<Field, String> fields = new LinkedHashMap<>();
    fields.put(Field.KEYS, KeyText.of(account.keys()));
    fields.put(Field.PRIORITY, text(account.priority()));
    Optional<TokenQuota> quota = account.quota();
    fields.put(
        Field.QUOTA_RATE, quota.map(each -> Double.toString(each.perSecond())).orElse("no limit"));
    quota.ifPresent(each -> addQuota(fields, each));
    return fields;
  }

  static Map<Field, String> of(IngressLimits limits) {
    Map<Field, String> fields = new LinkedHashMap<>();
    fields.put(Field.HEADER_BYTES, Integer.toString(limits.headerBytes()));
    fields.put(Field.BODY_BYTES, Long.toString(limits.bodyBytes()));
    fields.put(Field.HEADER_TIMEOUT, Long.toString(limits.headerTimeoutMilliseconds()));
    fields.put(Field.IDLE_TIMEOUT, Long.toString(limits.idleTimeoutMilliseconds()));
    return fields;
  }

  private static void addEngines(Map<Field, String> fields, EnginePool engines) {
    fields.put(Field.BATCH_SLOTS, Integer.toString(engines.batchSlots()));
    fields.put(Field.CACHE_TOKENS, Long.toString(engines.cacheTokens()));
    fields.put(Field.ENGINE_MEMORY, Double.toString(engines.weightsMegabytes()));
    fields.put(Field.ADAPTER_SLOTS, Integer.toString(engines.adapterSlots()));
    fields.put(Field.LOAD_RATE, Double.toString(engines.loadsPerSecond()));
  }

  private static String milliseconds(double value) {
    return value + " ms";
  }

  private static void addQuota(Map<Field, String> fields, TokenQuota quota) {
    fields.put(Field.QUOTA_BURST, Double.toString(quota.burst()));
    fields.put(Field.QUOTA_UNIT, quota.unit().name().toLowerCase(Locale.ROOT));
    fields.put(Field.PLAIN_TOKENS, Integer.toString(quota.plainTokens()));
  }

  private static String text(OptionalInt number) {
    return number.isPresent() ? Integer.toString(number.getAsInt()) : "none";
  }
}
