package org.agatefield.model;

/** Kinds of upstreams. */
public enum UpstreamKind {
  /** A runner of a model engine on accelerators. */
  MODEL_RUNNER,
  /** A runner of a plain service. */
  SERVICE_RUNNER
}
