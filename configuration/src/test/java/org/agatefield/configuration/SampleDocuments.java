package org.agatefield.configuration;

import java.util.List;
import java.util.Optional;
import org.agatefield.model.Adapter;
import org.agatefield.model.Address;
import org.agatefield.model.Caller;
import org.agatefield.model.ConfigurationDocument;
import org.agatefield.model.Deployment;
import org.agatefield.model.DeploymentVersion;
import org.agatefield.model.FailureDomain;
import org.agatefield.model.PlainService;
import org.agatefield.model.Priority;
import org.agatefield.model.ServiceCall;
import org.agatefield.model.Upstream;
import org.agatefield.model.UpstreamKind;
import org.agatefield.model.WeightStoreLimits;

/** Documents for tests. */
final class SampleDocuments {
  private SampleDocuments() {}

  static ConfigurationDocument sample() {
    return new ConfigurationDocument(
        3,
        List.of(
            new Deployment(
                "quotes",
                List.of(new DeploymentVersion("v1", 10_000, 1)),
                Priority.INTERACTIVE,
                2)),
        List.of(new Adapter("quotes-schools", "quotes", 500)),
        List.of(new Caller("clinic", "a".repeat(64), 1, Priority.STANDARD)),
        List.of(
            new PlainService(
                "booking",
                List.of(new ServiceCall("POST", "/visits", false)),
                Optional.of("/outcomes/{key}"),
                5_000)),
        List.of(
            runner("runner-a", "127.0.0.1", 7001, 24_000),
            runner("runner-b", "127.0.0.1", 7002, 24_000),
            new Upstream(
                "booking-a",
                UpstreamKind.SERVICE_RUNNER,
                new Address("127.0.0.1", 7003),
                new FailureDomain("kochi", "a"),
                0,
                0,
                false,
                Optional.of("booking"))),
        new WeightStoreLimits(1.5, 6, 50));
  }

  static Upstream runner(String name, String host, int port, long megabytes) {
    return new Upstream(
        name,
        UpstreamKind.MODEL_RUNNER,
        new Address(host, port),
        new FailureDomain("kochi", "a"),
        1,
        megabytes,
        true,
        Optional.empty());
  }
}
