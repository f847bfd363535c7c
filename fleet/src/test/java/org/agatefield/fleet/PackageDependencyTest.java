package org.agatefield.fleet;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.time.Instant;

/** Requirement REQ-LAYERS: dependencies point one way, from the binaries down to the model. */
@AnalyzeClasses(packages = "org.agatefield", importOptions = ImportOption.DoNotIncludeTests.class)
class PackageDependencyTest {
  private static final String[] DECISIONS = {
    "org.agatefield.lease..",
    "org.agatefield.membership..",
    "org.agatefield.idempotency..",
    "org.agatefield.admission..",
    "org.agatefield.routing..",
    "org.agatefield.placement.."
  };

  @ArchTest
  static final ArchRule LAYERS_POINT_DOWN =
      layeredArchitecture()
          .consideringOnlyDependenciesInAnyPackage("org.agatefield..")
          .layer("Model")
          .definedBy("org.agatefield.model..")
          .layer("Decisions")
          .definedBy(DECISIONS)
          .layer("Clients")
          .definedBy(
              "org.agatefield.platform..",
              "org.agatefield.engine..",
              "org.agatefield.peer..",
              "org.agatefield.settings..",
              "org.agatefield.configuration..")
          .layer("Binaries")
          .definedBy("org.agatefield.daemon..", "org.agatefield.command..")
          .layer("Tools")
          .definedBy(
              "org.agatefield.standin..", "org.agatefield.measure..", "org.agatefield.fleet..")
          .whereLayer("Decisions")
          .mayOnlyBeAccessedByLayers("Binaries", "Tools")
          .whereLayer("Clients")
          .mayOnlyBeAccessedByLayers("Binaries", "Tools")
          .whereLayer("Binaries")
          .mayOnlyBeAccessedByLayers("Tools")
          .whereLayer("Tools")
          .mayNotBeAccessedByAnyLayer();

  @ArchTest
  static final ArchRule DECISIONS_DO_NO_INPUT_OR_OUTPUT =
      ArchRuleDefinition.noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.io..", "java.net..", "java.nio..", "io.vertx..", "io.netty..");

  @ArchTest
  static final ArchRule DECISIONS_START_NO_THREAD =
      ArchRuleDefinition.noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread");

  @ArchTest
  static final ArchRule DECISIONS_READ_NO_CLOCK =
      ArchRuleDefinition.noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Instant.class, "now");

  @ArchTest
  static final ArchRule NOTHING_STARTS_A_PROCESS_BUT_THE_FLEET_TOOL =
      ArchRuleDefinition.noClasses()
          .that()
          .resideOutsideOfPackage("org.agatefield.fleet..")
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.ProcessBuilder");
}
