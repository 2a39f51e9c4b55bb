package org.cactusseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Guards against input, output, threads or the system clock in the core, which must stay
 * deterministic for simulations, and against dependencies of the model on logic.
 */
@AnalyzeClasses(packages = "org.cactusseam", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule THE_MODEL_DOES_NOT_DEPEND_ON_LOGIC =
      noClasses()
          .that()
          .resideInAPackage("org.cactusseam.model..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.cactusseam.logic..", "org.cactusseam.edge..");

  @ArchTest
  static final ArchRule THE_CORE_DOES_NO_INPUT_OR_OUTPUT =
      noClasses()
          .that()
          .resideInAnyPackage("org.cactusseam.model..", "org.cactusseam.logic..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..",
              "java.nio.file..",
              "java.nio.channels..",
              "java.util.concurrent..",
              "io.vertx..",
              "io.netty..",
              "org.cactusseam.edge..",
              "org.cactusseam.cli..");

  @ArchTest
  static final ArchRule THE_CORE_READS_TIME_ONLY_THROUGH_ITS_CLOCK =
      noClasses()
          .that()
          .resideInAnyPackage("org.cactusseam.model..", "org.cactusseam.logic..")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(java.time.Instant.class, "now")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);
}
