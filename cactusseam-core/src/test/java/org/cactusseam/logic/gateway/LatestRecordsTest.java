package org.cactusseam.logic.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.Revision;
import org.cactusseam.model.gateway.StorePosition;
import org.cactusseam.model.gateway.StoreRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a change that is missed, or a superseded one that is taken, when a store that came
 * back from an older copy gives out offsets again.
 */
class LatestRecordsTest {

  private static final String TOPIC = "topic";
  private static final Instant START = Instant.EPOCH;
  private static final Instant AFTER_HOLD = START.plus(LatestRecords.HOLD_TIME).plusMillis(1);

  private final LatestRecords records = new LatestRecords(LatestRecordsTest::revision);

  /** Values have the form NAME or NAME:PROCESS:NUMBER; only the latter state a revision. */
  private static Optional<Revision> revision(StoreRecord record) {
    String[] parts = new String(record.value().orElseThrow(), UTF_8).split(":", -1);
    return parts.length == 1
        ? Optional.empty()
        : Optional.of(new Revision(Long.parseLong(parts[1]), Long.parseLong(parts[2])));
  }

  /** Parses ERA/OFFSET/VALUE; without a value, the key is deleted. */
  private static StoreRecord record(String text) {
    String[] parts = text.split("/", -1);
    return new StoreRecord(
        TOPIC,
        "key",
        new StorePosition(Long.parseLong(parts[0]), Long.parseLong(parts[1])),
        parts[2].isEmpty() ? Optional.empty() : Optional.of(parts[2].getBytes(UTF_8)));
  }

  private String value() {
    return records
        .find(TOPIC, "key")
        .flatMap(StoreRecord::value)
        .map(value -> new String(value, UTF_8))
        .orElse("");
  }

  @ParameterizedTest
  @CsvSource({
    // Within an era the offset decides, whatever revision is stated.
    "1/7/a:1:7, 1/8/b:1:3, b:1:3",
    "1/7/a, 1/6/b, a",
    "1/7/a, 1/7/b, a",
    "1/7/a, 1/8/, ''",
    // A later era: lower offsets are newer, unless the writer says that they are older.
    "1/30/a, 2/4/b, b",
    "1/30/a:1:30, 2/4/b:1:31, b:1:31",
    "1/30/a:1:30, 2/4/b:1:4, a:1:30",
    "1/30/a:1:30, 2/40/b:1:4, a:1:30",
    "1/30/a:1:30, 2/4/b:2:1, b:2:1",
    "1/30/a:2:1, 2/4/b:1:30, a:2:1",
    "1/30/a:1:30, 2/4/, ''",
    "1/30/, 2/4/b, b",
    // A writer that does not count its records.
    "1/30/a:1:1, 2/4/b:1:1, b:1:1",
    // Another gateway is still in the earlier era.
    "2/4/b, 1/30/a, b",
    "2/4/b:1:4, 1/30/a:1:30, a:1:30",
    "2/4/b:1:4, 1/30/, b:1:4",
  })
  void the_newer_record_is_kept(String first, String second, String kept) {
    records.put(record(first), START);
    records.put(record(second), START);

    assertThat(value(), is(kept));
  }

  @ParameterizedTest
  @CsvSource({
    // The store lists an older version, then the versions are written again, then a new one.
    "1/30/a:0:30, 2/4/b:0:4, 2/5/c:0:5, 2/6/d:0:34, d:0:34",
    "1/30/a:0:30, 2/4/b:0:4, 2/5/a:0:30, 2/6/c:0:34, c:0:34",
    // A server left before the return, and the copy still lists it.
    "1/30/a:1:30, 1/31/, 2/4/a:1:30, 2/5/b:1:29, ''",
    "1/30/a:1:30, 1/31/, 2/4/b:1:4, 2/5/c:1:33, c:1:33",
    // The store comes back twice.
    "1/30/a:1:30, 2/4/b:1:31, 3/2/c:1:2, 3/3/d:1:32, d:1:32",
    // What a gateway of the earlier era sends does not end the present one.
    "1/30/a, 2/4/b, 1/31/c, 2/5/d, d",
  })
  void a_sequence_of_records_ends_with_the_newest(
      String first, String second, String third, String fourth, String kept) {
    List.of(first, second, third, fourth).forEach(text -> records.put(record(text), START));

    assertThat(value(), is(kept));
  }

  /** Otherwise a version that the operator gives up after the return would be in force for good. */
  @ParameterizedTest
  @CsvSource({"2/4/b:0:4, b:0:4", "2/5/c:0:5, c:0:5", "1/31/c:0:31, a:0:30"})
  void after_the_hold_the_store_is_right(String later, String kept) {
    records.put(record("1/30/a:0:30"), START);
    records.put(record("2/4/b:0:4"), START);

    records.put(record(later), AFTER_HOLD);

    assertThat(value(), is(kept));
  }

  @ParameterizedTest
  @CsvSource({
    // Within an era a key that is not listed is deleted, unless the listing is older.
    "1, 1, 40, true, true",
    "1, 1, 20, true, false",
    // After the return it may be written again, except where the caller waits itself.
    "1, 2, 4, true, false",
    "1, 2, 4, false, true",
  })
  void a_missing_key_is_deleted_if_the_store_has_not_lost_it(
      long knownEra, long listedEra, long end, boolean isHolding, boolean isDeleted) {
    records.put(record(knownEra + "/30/a"), START);
    records.recordEra(listedEra, START);

    List<StoreRecord> deleted =
        records.deleted(TOPIC, Set.of(), new StorePosition(listedEra, end), isHolding, START);

    assertThat(!deleted.isEmpty(), is(isDeleted));
  }

  @Test
  void a_key_that_is_not_written_again_is_deleted_after_the_hold() {
    records.put(record("1/30/a"), START);
    records.recordEra(2, START);

    List<StoreRecord> deleted =
        records.deleted(TOPIC, Set.of(), new StorePosition(2, 4), true, AFTER_HOLD);

    assertThat(deleted.size(), is(1));
  }

  /** A gateway that starts after the return can learn these only from the others. */
  @Test
  void records_that_the_store_has_lost_are_held_until_they_are_written_again() {
    records.put(record("1/30/a:1:30"), START);
    assertThat(records.held(START), is(List.of()));

    records.recordEra(2, START);
    assertThat(records.held(START).size(), is(1));

    records.put(record("2/9/a:1:30"), START);
    assertThat(records.held(START), is(List.of()));
  }

  @ParameterizedTest
  @CsvSource({"2, 4, true", "2, 5, false", "1, 30, true", "1, 31, false", "3, 0, false"})
  void a_record_that_was_read_but_not_taken_is_not_fetched_again(
      long era, long offset, boolean isKnown) {
    records.put(record("1/30/a:0:30"), START);
    records.put(record("2/4/b:0:4"), START);

    assertThat(records.isKnown(TOPIC, "key", new StorePosition(era, offset), START), is(isKnown));
  }

  /** A gateway that has just started has read only what the store still lists. */
  @Test
  void a_lost_record_is_fetched_while_records_hold() {
    StorePosition lost = new StorePosition(1, 30);
    records.put(record("2/4/b:0:4"), START);

    assertThat(records.isKnown(TOPIC, "key", lost, START), is(false));
    assertThat(records.isKnown(TOPIC, "key", lost, AFTER_HOLD), is(true));
  }
}
