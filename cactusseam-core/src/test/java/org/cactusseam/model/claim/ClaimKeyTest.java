package org.cactusseam.model.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against accepting keys without a valid timestamp, and against records that cannot be
 * decoded.
 */
class ClaimKeyTest {

  private static final AccountName SHOP = new AccountName("shop");
  private static final String EXAMPLE = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    EXAMPLE + ", true",
    "017F22E2-79B0-7CC3-98C4-DC0C0C07398F, true",
    "017f22e2-79b0-4cc3-98c4-dc0c0c07398f, false",
    "017f22e2-79b0-7cc3-18c4-dc0c0c07398f, false",
    "1-1-7001-8001-1, false",
    "017f22e279b07cc398c4dc0c0c07398f, false",
    "'', false",
    "{017f22e2-79b0-7cc3-98c4-dc0c0c07398f}, false"
  })
  void only_a_uuid_of_version_7_is_accepted_as_a_key(String text, boolean valid) {
    assertThat(ClaimKey.parse(SHOP, text).isPresent(), is(valid));
  }

  @Test
  void the_time_is_the_one_of_the_example_in_rfc_9562() {
    ClaimKey key = ClaimKey.parse(SHOP, EXAMPLE).orElseThrow();

    assertThat(key.time(), is(Instant.parse("2022-02-22T19:22:22Z")));
  }

  @Property(seed = "7001", tries = 10_000)
  void any_text_is_parsed_or_rejected(@ForAll String text) {
    ClaimKey.parse(SHOP, text)
        .ifPresent(key -> assertThat(key.key().toString(), is(text.toLowerCase(Locale.ROOT))));
  }

  @Property(seed = "7002", tries = 10_000)
  void a_key_is_unchanged_when_formatted_and_parsed(@ForAll long high, @ForAll long low) {
    UUID uuid = new UUID((high & ~0xF000L) | 0x7000L, (low >>> 2) | (1L << 63));

    assertThat(ClaimKey.parse(SHOP, uuid.toString()).map(ClaimKey::key), is(Optional.of(uuid)));
  }

  @Test
  void a_batch_is_unchanged_after_a_json_round_trip() throws Exception {
    ClaimKey key = ClaimKey.parse(SHOP, EXAMPLE).orElseThrow();
    ClaimId id = new ClaimId(new NodeName("vm0"), "boot", 7);
    ClaimBatch batch =
        new ClaimBatch(
            List.of(
                new ClaimEntry.Claimed(key, id, "body"),
                new ClaimEntry.Released(key, id),
                new ClaimEntry.Finished(key, id)));
    ObjectMapper mapper = new ObjectMapper();

    String json = mapper.writeValueAsString(batch);

    assertThat(mapper.readValue(json, ClaimBatch.class), is(batch));
    // ClaimOutbox assumes about 250 bytes per entry when it limits the size of a record.
    assertThat(json.length() < batch.entries().size() * 250, is(true));
  }

  @Test
  void a_claim_status_is_unchanged_after_a_json_round_trip() throws Exception {
    StoredResponse stored =
        new StoredResponse(200, "text/plain", "Grüße".getBytes(StandardCharsets.UTF_8));
    ClaimStatus answer = new ClaimStatus.Stored(stored);
    ObjectMapper mapper = new ObjectMapper();

    String json = mapper.writeValueAsString(answer);

    assertThat(mapper.readValue(json, ClaimStatus.class), is(answer));
  }
}
