package org.agatefield.forwarding.check;

/** The fields that findings name. Immutable. */
public enum Field {
  /** The name of a route, service, account or model. */
  NAME,
  /** The host of a route. */
  HOST,
  /** The path prefix of a route. */
  PATH_PREFIX,
  /** Whether the requests of a route may be repeated. */
  KIND,
  /** The maximum time that a caller waits. */
  TIMEOUT,
  /** The target time of a route. */
  OBJECTIVE,
  /** The maximum desired pause between events. */
  GAP_OBJECTIVE,
  /** The priority of a route or account. */
  PRIORITY,
  /** The maximum number of runners that may run one request. */
  MAXIMUM_ATTEMPTS,
  /** Whether a stream may be resumed. */
  RESUMABLE,
  /** Whether requests need no key. */
  OPEN,
  /** The services of a route. */
  SERVICES,
  /** The keys of an account. */
  KEYS,
  /** The quota that is earned per second. */
  QUOTA_RATE,
  /** The quota that may be used at once. */
  QUOTA_BURST,
  /** The unit of a quota. */
  QUOTA_UNIT,
  /** The cost of a request that declares no tokens. */
  PLAIN_TOKENS,
  /** The connections that a runner accepts. */
  MAXIMUM_CONNECTIONS,
  /** The requests that an engine executes concurrently. */
  BATCH_SLOTS,
  /** The capacity of an engine's KV cache. */
  CACHE_TOKENS,
  /** The memory of an engine for weights. */
  ENGINE_MEMORY,
  /** The number of adapters that an engine holds. */
  ADAPTER_SLOTS,
  /** The load operations that the weight store allows. */
  LOAD_RATE,
  /** The memory for a model's weights. */
  WEIGHTS,
  /** The memory for an adapter. */
  ADAPTER_WEIGHTS,
  /** The time to load a model from the weight store. */
  STORE_LOAD_TIME,
  /** The time to load a model from a runner's disk. */
  DISK_LOAD_TIME,
  /** The time to load a model from a runner's host memory. */
  MEMORY_LOAD_TIME,
  /** The maximum size of a request's headers. */
  HEADER_BYTES,
  /** The maximum size of a request's body. */
  BODY_BYTES,
  /** The time within which headers must arrive. */
  HEADER_TIMEOUT,
  /** The time after which an idle connection is closed. */
  IDLE_TIMEOUT,
  /** The version of the configuration. */
  VERSION
}
