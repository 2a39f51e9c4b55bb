package org.cactusseam.edge.client;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Clock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a minimum of the budget that refuses a single request within the limits. */
class ClientMemoryTest {

  private static ClientMemory.Owner owner() {
    return new ClientMemory.Owner() {
      @Override
      public void onGranted() {}

      @Override
      public void onRefused() {}
    };
  }

  @ParameterizedTest
  @CsvSource({"1024, 32768", "4194304, 32768", "67108864, 32768", "1024, 1052672"})
  void the_smallest_budget_serves_the_largest_request(int bodyBytes, int headBytes) {
    ClientMemory memory =
        new ClientMemory(
            Clock.systemUTC(), ClientMemory.minimumBytes(bodyBytes, headBytes), headBytes);
    ClientMemory.Owner head = owner();
    long headMemory = headBytes * ClientMemory.MEMORY_PER_HEAD_BYTE;

    assertThat(memory.reserve(head, "a", headMemory), is(true));
    assertThat(memory.reserve(owner(), "a", BodyReader.REQUEST_BYTES + bodyBytes), is(true));
  }
}
