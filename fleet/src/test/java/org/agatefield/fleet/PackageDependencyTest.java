package org.agatefield.fleet;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Requirement REQ-LAYERS: dependencies point only downwards, from the binaries to the model. */
class PackageDependencyTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.agatefield");
  private static final String[] DECISION_PACKAGES = {
    "org.agatefield.lease..",
    "org.agatefield.membership..",
    "org.agatefield.idempotency..",
    "org.agatefield.knowledge..",
    "org.agatefield.cost..",
    "org.agatefield.admission..",
    "org.agatefield.routing..",
    "org.agatefield.forwarding..",
    "org.agatefield.placement.."
  };

  @Test
  void layersDependOnlyOnLowerLayers() {
    ArchRule rule =
        layeredArchitecture()
            .consideringOnlyDependenciesInAnyPackage("org.agatefield..")
            .layer("Model")
            .definedBy("org.agatefield.model..")
            .layer("Decisions")
            .definedBy(DECISION_PACKAGES)
            .layer("Clients")
            .definedBy(
                "org.agatefield.store..",
                "org.agatefield.engine..",
                "org.agatefield.peer..",
                "org.agatefield.settings..",
                "org.agatefield.configuration..")
            .layer("Binaries")
            .definedBy("org.agatefield.daemon..", "org.agatefield.command..")
            .layer("Adapters")
            .definedBy("org.agatefield.platform..")
            .layer("Tools")
            .definedBy(
                "org.agatefield.standin..", "org.agatefield.measure..", "org.agatefield.fleet..")
            .whereLayer("Decisions")
            .mayOnlyBeAccessedByLayers("Binaries", "Adapters", "Tools")
            .whereLayer("Clients")
            .mayOnlyBeAccessedByLayers("Binaries", "Adapters", "Tools")
            .whereLayer("Binaries")
            .mayOnlyBeAccessedByLayers("Adapters", "Tools")
            .whereLayer("Adapters")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("Tools")
            .mayNotBeAccessedByAnyLayer();
    rule.check(CLASSES);
  }

  @Test
  void decisionsPerformNoInputOrOutput() {
    ArchRule rule =
        ArchRuleDefinition.noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "java.io..",
                "java.net..",
                "java.nio.file..",
                "java.nio.channels..",
                "io.vertx..",
                "io.netty..");
    rule.check(CLASSES);
  }

  @Test
  void decisionsStartNoThread() {
    ArchRule rule =
        ArchRuleDefinition.noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.Thread");
    rule.check(CLASSES);
  }

  @Test
  void decisionsReadNoClock() {
    ArchRule rule =
        ArchRuleDefinition.noClasses()
            .that()
            .resideInAnyPackage(DECISION_PACKAGES)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Instant.class, "now");
    rule.check(CLASSES);
  }

  @Test
  void onlyTheFleetToolStartsProcesses() {
    ArchRule rule =
        ArchRuleDefinition.noClasses()
            .that()
            .resideOutsideOfPackage("org.agatefield.fleet..")
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.lang.ProcessBuilder");
    rule.check(CLASSES);
  }
}
