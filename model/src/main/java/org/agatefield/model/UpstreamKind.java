package org.agatefield.model;

/** What an upstream runs. */
public enum UpstreamKind {
  /** A model engine on accelerators. */
  MODEL_RUNNER,
  /** One runner of a plain service. */
  SERVICE_RUNNER
}
