package org.cactusseam.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Test case for one fault of a stand-in.
 *
 * @param fault name of the component in the fault record
 * @param check sets the fault and asserts its effect
 */
public record FaultCase(String fault, Consumer<StandInFixture> check) {

  /** Faults that {@link CommonFaultsTest} covers for all stand-ins. */
  private static final Set<String> COMMON = Set.of("hang", "refuseConnectionsMs");

  /** Asserts that there is a case for each fault that is specific to the stand-in. */
  public static void assertEachFaultIsCovered(Class<?> faults, Stream<FaultCase> cases) {
    Set<String> covered = cases.map(FaultCase::fault).collect(Collectors.toSet());
    Set<String> declared =
        Arrays.stream(faults.getRecordComponents())
            .map(RecordComponent::getName)
            .filter(name -> !COMMON.contains(name))
            .collect(Collectors.toSet());
    assertThat(covered, is(declared));
  }

  @Override
  public String toString() {
    return fault;
  }
}
