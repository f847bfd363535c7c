package org.agatefield.configuration.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatefield.configuration.MemoryFeasibility;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.PlainService;
import org.agatefield.model.ServiceCall;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;

/**
 * Finds entries of a valid document that never have an effect, and fields that contradict each
 * other.
 *
 * <p>Each instance checks one document, on one thread.
 */
final class DocumentWarnings {
  private final ConfigurationDocument document;
  private final List<CheckFinding> findings = new ArrayList<>();

  private DocumentWarnings(ConfigurationDocument document) {
    this.document = document;
  }

  static List<CheckFinding> check(ConfigurationDocument document) {
    DocumentWarnings warnings = new DocumentWarnings(document);
    warnings.checkServices();
    warnings.checkModelRunners();
    warnings.checkUnusedVersions();
    return warnings.findings;
  }

  private void checkServices() {
    for (int i = 0; i < document.services().size(); i++) {
      PlainService service = document.services().get(i);
      String path = "$.services[" + i + "]";
      if (document.upstreams().stream()
          .noneMatch(each -> each.service().equals(Optional.of(service.name())))) {
        add(path + ".name", "no service runner", "an upstream that runs the service");
      }
      checkCalls(service.calls(), path + ".calls");
    }
  }

  private void checkCalls(List<ServiceCall> calls, String path) {
    for (int i = 0; i < calls.size(); i++) {
      ServiceCall call = calls.get(i);
      Optional<ServiceCall> earlier =
          calls.subList(0, i).stream()
              .filter(each -> each.method().equals(call.method()))
              .filter(each -> call.pathPrefix().startsWith(each.pathPrefix()))
              .findFirst();
      if (earlier.isPresent()) {
        add(
            path + "[" + i + "]",
            call.method() + " " + call.pathPrefix() + ", which never matches",
            "a place before " + earlier.get().pathPrefix() + ", which matches first");
      }
    }
  }

  private void checkModelRunners() {
    for (int i = 0; i < document.upstreams().size(); i++) {
      Upstream upstream = document.upstreams().get(i);
      if (upstream.kind() == UpstreamKind.MODEL_RUNNER && !holdsAnyReplica(upstream)) {
        add(
            "$.upstreams[" + i + "].memoryMegabytes",
            upstream.memoryMegabytes() + ", which holds no replica",
            "memory for the smallest version with its adapters");
      }
    }
  }

  private boolean holdsAnyReplica(Upstream upstream) {
    return document.deployments().stream()
        .anyMatch(
            deployment ->
                deployment.versions().stream()
                    .anyMatch(version -> fits(deployment, version, upstream)));
  }

  /** Versions without weight cannot be loaded later either if no runner is large enough. */
  private void checkUnusedVersions() {
    for (int i = 0; i < document.deployments().size(); i++) {
      Deployment deployment = document.deployments().get(i);
      for (int j = 0; j < deployment.versions().size(); j++) {
        DeploymentVersion version = deployment.versions().get(j);
        if (document.upstreams().stream().noneMatch(each -> fits(deployment, version, each))) {
          add(
              "$.deployments[" + i + "].versions[" + j + "].memoryMegabytes",
              version.memoryMegabytes() + ", which fits on no runner with all adapters",
              "at most the memory of the largest model runner");
        }
      }
    }
  }

  private boolean fits(Deployment deployment, DeploymentVersion version, Upstream upstream) {
    return upstream.kind() == UpstreamKind.MODEL_RUNNER
        && MemoryFeasibility.replicaMegabytes(document, deployment, version)
            <= upstream.memoryMegabytes();
  }

  private void add(String path, String found, String expected) {
    findings.add(CheckFinding.warning(path, found, expected));
  }
}
