package org.cactusseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards against a daemon that depends on its command line. */
@AnalyzeClasses(packages = "org.cactusseam", importOptions = ImportOption.DoNotIncludeTests.class)
class DaemonArchitectureTest {

  @ArchTest
  static final ArchRule ONLY_THE_COMMAND_LINE_KNOWS_THE_COMMAND_LINE =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.cactusseam.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.cactusseam.cli..");
}
