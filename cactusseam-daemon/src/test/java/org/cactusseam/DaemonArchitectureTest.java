package org.cactusseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards against a daemon that depends on the command-line interface. */
@AnalyzeClasses(packages = "org.cactusseam", importOptions = ImportOption.DoNotIncludeTests.class)
class DaemonArchitectureTest {

  @ArchTest
  static final ArchRule ONLY_CLI_CLASSES_DEPEND_ON_THE_CLI =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.cactusseam.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.cactusseam.cli..");
}
