package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.cactusseam.model.gateway.Continuation;
import org.cactusseam.model.gateway.ServerInstance;
import org.junit.jupiter.api.Test;

/** Guards against copies that are used twice and against copies that were never made. */
class RunCopiesTest {

  private final RunCopies copies = new RunCopies();

  private static RunCopies.Copy copy(String holder) {
    ServerInstance server = GatewayFixtures.server(holder, "engines", "ost-wien");
    return new RunCopies.Copy(server, new Continuation(server.address(), holder));
  }

  @Test
  void the_newest_copy_is_taken_first_and_each_one_once() {
    copies.add(copy("older"));
    copies.add(copy("newer"));

    assertThat(copies.take(server -> true), is(Optional.of(copy("newer"))));
    assertThat(copies.take(server -> true), is(Optional.of(copy("older"))));
    assertThat(copies.take(server -> true), is(Optional.empty()));
  }

  @Test
  void a_copy_at_a_server_that_has_gone_is_passed_over() {
    copies.add(copy("older"));
    copies.add(copy("gone"));

    assertThat(copies.take(server -> !server.id().equals("gone")), is(Optional.of(copy("older"))));
  }
}
