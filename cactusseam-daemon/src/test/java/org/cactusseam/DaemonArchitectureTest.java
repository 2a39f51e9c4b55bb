package org.cactusseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import io.vertx.core.Vertx;
import java.util.Set;

/**
 * Guards against a daemon that depends on the command-line interface, and against readers of
 * responses that do not check whether these are valid and complete.
 */
@AnalyzeClasses(packages = "org.cactusseam", importOptions = ImportOption.DoNotIncludeTests.class)
class DaemonArchitectureTest {

  private static final DescribedPredicate<JavaMethodCall> CREATES_HTTP_CLIENT =
      DescribedPredicate.describe(
          "an HTTP client is created",
          call ->
              call.getTargetOwner().isEquivalentTo(Vertx.class)
                  && Set.of("createHttpClient", "httpClientBuilder").contains(call.getName()));

  @ArchTest
  static final ArchRule ONLY_CLI_CLASSES_DEPEND_ON_THE_CLI =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.cactusseam.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.cactusseam.cli..");

  @ArchTest
  static final ArchRule ALL_HTTP_CLIENTS_CHECK_RESPONSES =
      noClasses()
          .that()
          .resideInAnyPackage("org.cactusseam.edge..", "org.cactusseam.cli..")
          .and()
          .doNotHaveSimpleName("HttpClients")
          .should()
          .callMethodWhere(CREATES_HTTP_CLIENT);
}
