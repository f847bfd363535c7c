package org.agatefield.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatefield.model.Adapter;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;

/**
 * The rules between the fields of a document that its schema can't state.
 *
 * <p>Used by one thread for one document.
 */
final class DocumentRules {
  private final ConfigurationDocument document;
  private final List<ConfigurationFault> faults = new ArrayList<>();

  private DocumentRules(ConfigurationDocument document) {
    this.document = document;
  }

  static List<ConfigurationFault> check(ConfigurationDocument document) {
    DocumentRules rules = new DocumentRules(document);
    rules.checkModelNames();
    rules.checkVersions();
    rules.checkAdapters();
    rules.checkCallers();
    rules.checkServices();
    rules.checkUpstreams();
    return rules.faults;
  }

  private void checkModelNames() {
    Map<String, String> firstPaths = new HashMap<>();
    for (int i = 0; i < document.deployments().size(); i++) {
      unique(firstPaths, document.deployments().get(i).name(), path("deployments", i));
    }
    for (int i = 0; i < document.adapters().size(); i++) {
      unique(firstPaths, document.adapters().get(i).name(), path("adapters", i));
    }
  }

  private void checkVersions() {
    for (int i = 0; i < document.deployments().size(); i++) {
      Deployment deployment = document.deployments().get(i);
      String path = path("deployments", i);
      Map<String, String> firstPaths = new HashMap<>();
      for (int j = 0; j < deployment.versions().size(); j++) {
        String versionPath = path + ".versions[" + j + "]";
        unique(firstPaths, deployment.versions().get(j).name(), versionPath);
      }
      int weights = deployment.versions().stream().mapToInt(DeploymentVersion::weight).sum();
      if (weights == 0) {
        fault(path + ".versions", "no weight above 0", "at least one version has a weight above 0");
      }
    }
  }

  private void checkAdapters() {
    for (int i = 0; i < document.adapters().size(); i++) {
      Adapter adapter = document.adapters().get(i);
      if (document.deployment(adapter.deployment()).isEmpty()) {
        fault(
            path("adapters", i) + ".deployment",
            quote(adapter.deployment()),
            "must name a deployment of this document");
      }
    }
  }

  private void checkCallers() {
    Map<String, String> names = new HashMap<>();
    Set<String> tokens = new HashSet<>();
    for (int i = 0; i < document.callers().size(); i++) {
      String path = path("callers", i);
      unique(names, document.callers().get(i).name(), path);
      if (!tokens.add(document.callers().get(i).tokenSha256())) {
        fault(path + ".tokenSha256", "the hash of another caller", "callers differ in tokens");
      }
    }
  }

  private void checkServices() {
    Map<String, String> names = new HashMap<>();
    for (int i = 0; i < document.services().size(); i++) {
      unique(names, document.services().get(i).name(), path("services", i));
    }
  }

  private void checkUpstreams() {
    Map<String, String> names = new HashMap<>();
    Map<String, String> addresses = new HashMap<>();
    for (int i = 0; i < document.upstreams().size(); i++) {
      Upstream upstream = document.upstreams().get(i);
      String path = path("upstreams", i);
      unique(names, upstream.name(), path);
      String earlier = addresses.putIfAbsent(upstream.address().toString(), path);
      if (earlier != null) {
        fault(path + ".address", quote(upstream.address().toString()), "also at " + earlier);
      }
      checkAddress(upstream, path);
      checkKind(upstream, path);
    }
  }

  private void checkAddress(Upstream upstream, String path) {
    if (!IpLiterals.isIpLiteral(upstream.address().host())) {
      fault(
          path + ".address",
          quote(upstream.address().toString()),
          "must be an IP number and a port, such as 10.0.0.1:8000 or [fd00::1]:8000");
    }
  }

  private void checkKind(Upstream upstream, String path) {
    if (upstream.kind() == UpstreamKind.MODEL_RUNNER) {
      checkModelRunner(upstream, path);
      return;
    }
    if (upstream.service().flatMap(document::service).isEmpty()) {
      fault(
          path + ".service",
          upstream.service().map(DocumentRules::quote).orElse("nothing"),
          "a service runner names a service of this document");
    }
    if (upstream.accelerators() > 0 || upstream.memoryMegabytes() > 0) {
      fault(path, "accelerators or memory", "a service runner has neither");
    }
  }

  private void checkModelRunner(Upstream upstream, String path) {
    if (upstream.service().isPresent()) {
      fault(path + ".service", quote(upstream.service().get()), "a model runner runs no service");
    }
    if (upstream.accelerators() < 1) {
      fault(path + ".accelerators", "0", "a model runner has at least 1");
    }
    if (upstream.memoryMegabytes() < 1) {
      fault(path + ".memoryMegabytes", "0", "a model runner has at least 1");
    }
  }

  private void unique(Map<String, String> firstPaths, String name, String path) {
    String earlier = firstPaths.putIfAbsent(name, path);
    if (earlier != null) {
      fault(path + ".name", quote(name), "names are unique; also at " + earlier);
    }
  }

  private void fault(String path, String found, String rule) {
    faults.add(new ConfigurationFault(path, found, rule));
  }

  private static String path(String list, int position) {
    return "$." + list + "[" + position + "]";
  }

  private static String quote(String text) {
    return "'" + text + "'";
  }
}
