package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cactusseam.logic.gateway.RecordOffers.Fetch;
import org.cactusseam.logic.gateway.RecordOffers.Offered;
import org.cactusseam.model.gateway.StorePosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change that is transferred between every pair of gateways, and against a lost
 * change.
 */
class RecordOffersTest {

  private static final Offered CHANGE = new Offered("operator", "config", new StorePosition(0, 7));

  private final RecordOffers offers = new RecordOffers();
  private final Set<Offered> known = new HashSet<>();

  private void offered(String node, Offered offered, long atMillis) {
    offers.addOffer(node, offered, Instant.ofEpochMilli(atMillis));
  }

  private List<Fetch> due(long atMillis) {
    return offers.takeDueFetches(known::contains, Instant.ofEpochMilli(atMillis));
  }

  private static List<Fetch> from(String node) {
    return List.of(new Fetch(node, "operator", "config"));
  }

  /** All gateways of a large deployment read a change within some milliseconds. */
  @Test
  void a_record_that_the_gateway_has_read_itself_is_not_fetched() {
    for (int number = 0; number < 64; number++) {
      offered("vm-" + number, CHANGE, 0);
    }
    assertThat(due(199), is(List.of()));
    known.add(CHANGE);

    assertThat(due(10_000), is(List.of()));
  }

  @Test
  void a_missing_record_is_fetched_once() {
    offered("vm-2", CHANGE, 0);
    offered("vm-3", CHANGE, 1);

    assertThat(due(200), is(from("vm-2")));
    assertThat(due(599), is(List.of()));
  }

  /** The gateway that made the offer may have crashed, hung or been partitioned in the meantime. */
  @Test
  void the_next_gateway_is_asked_after_the_answer_timeout() {
    offered("vm-2", CHANGE, 0);
    offered("vm-3", CHANGE, 1);
    due(200);

    assertThat(due(600), is(from("vm-3")));
    assertThat(due(1_000), is(List.of()));
  }

  @Test
  void a_newer_record_replaces_the_offers_of_the_older_one() {
    offered("vm-2", CHANGE, 0);
    offered("vm-3", new Offered("operator", "config", new StorePosition(0, 9)), 50);
    offered("vm-4", CHANGE, 60);

    List<Fetch> fetched = new ArrayList<>(due(250));
    fetched.addAll(due(650));
    assertThat(fetched, is(from("vm-3")));
  }

  @Test
  void an_unanswered_offer_expires() {
    offered("vm-2", CHANGE, 0);

    assertThat(due(10_001), is(List.of()));
  }
}
