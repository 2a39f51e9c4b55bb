package org.cactusseam.logic.control;

import static org.cactusseam.logic.control.ControlFixtures.RETENTION;
import static org.cactusseam.logic.control.ControlFixtures.account;
import static org.cactusseam.logic.control.ControlFixtures.activate;
import static org.cactusseam.logic.control.ControlFixtures.bytes;
import static org.cactusseam.logic.control.ControlFixtures.domain;
import static org.cactusseam.logic.control.ControlFixtures.expel;
import static org.cactusseam.logic.control.ControlFixtures.join;
import static org.cactusseam.logic.control.ControlFixtures.json;
import static org.cactusseam.logic.control.ControlFixtures.leave;
import static org.cactusseam.logic.control.ControlFixtures.priorityClass;
import static org.cactusseam.logic.control.ControlFixtures.put;
import static org.cactusseam.logic.control.ControlFixtures.remove;
import static org.cactusseam.logic.control.ControlFixtures.server;
import static org.cactusseam.logic.control.ControlFixtures.snapshot;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cactusseam.logic.membership.OwnerSelection;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ExpelReason;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against nodes whose state differs after a start from a snapshot, revisions that decrease,
 * and snapshot records that are too large for the log.
 */
class SnapshotTest {

  private static final int RECORD_CODES = 1_000_000;

  /** A record with its append time on the clock of the log. */
  private record Timed(long atMillis, ControlRecord record) {}

  @Property(seed = "4", tries = 3_000)
  void a_start_from_a_snapshot_gives_the_state_of_the_full_replay(
      @ForAll @Size(min = 1, max = 60) List<@IntRange(max = RECORD_CODES) Integer> codes,
      @ForAll @IntRange(max = 60) int cut) {
    ControlState full = new ControlState(RETENTION);
    List<Timed> log = new ArrayList<>();
    int basis = Math.min(cut, codes.size());
    List<ControlRecord.Snapshot> parts = snapshot(full);
    for (int code : codes) {
      if (log.size() == basis) {
        parts = snapshot(full);
      }
      log.add(decode(code, log, full));
      Map<ObjectKey, Long> before = revisions(full);
      full.apply(log.size() - 1, log.getLast().atMillis, log.getLast().record);
      assertRevisionsGrow(before, full);
      assertOwnersMatchAFullComputation(full);
    }
    parts = basis == codes.size() ? snapshot(full) : parts;

    ControlState restored = new ControlState(RETENTION);
    restored.load(reread(parts));
    assertThat(json(snapshot(restored)), is(json(parts)));
    for (int offset = basis; offset < log.size(); offset++) {
      restored.apply(offset, log.get(offset).atMillis, log.get(offset).record);
    }

    assertThat(json(snapshot(restored)), is(json(snapshot(full))));
    assertThat(full.load(parts), is(false));
    assertThat(json(snapshot(restored)), is(json(snapshot(full))));
  }

  private static List<ControlRecord.Snapshot> reread(List<ControlRecord.Snapshot> parts) {
    return parts.stream()
        .map(part -> (ControlRecord.Snapshot) ControlFixtures.decoded(part))
        .toList();
  }

  private static Map<ObjectKey, Long> revisions(ControlState state) {
    Map<ObjectKey, Long> revisions = new HashMap<>();
    for (String name : List.of("x0", "x1", "x2")) {
      for (ConfigurationObject object : objects(name, 0)) {
        revisions.put(object.key(), state.expectedRevision(object.key()));
      }
    }
    return revisions;
  }

  private static void assertRevisionsGrow(Map<ObjectKey, Long> before, ControlState state) {
    before.forEach(
        (key, revision) -> {
          long after = state.expectedRevision(key);
          boolean forgotten = after == ControlRecord.ABSENT_REVISION;
          assertThat(key + " went back", forgotten || after >= revision, is(true));
          assertThat(
              key + " was forgotten while it exists",
              forgotten && state.configuration().find(key).isPresent(),
              is(false));
        });
  }

  private static void assertOwnersMatchAFullComputation(ControlState state) {
    SortedSet<RegionName> occupied = state.membership().occupiedRegions();
    for (ShardId shard : state.owners().owners().keySet()) {
      Optional<RegionName> region = OwnerSelection.owningRegion(shard.region(), occupied);
      List<Member> able =
          state.membership().active().stream()
              .filter(member -> Optional.of(member.region()).equals(region))
              .toList();
      assertThat(
          state.owners().of(shard).map(ShardOwner::run),
          is(OwnerSelection.ownerOf(shard, able).map(RunId::of)));
    }
  }

  private static List<ConfigurationObject> objects(String name, int variant) {
    return List.of(
        priorityClass(name),
        account(name, "x" + variant % 3, variant),
        domain(name, variant % 2 == 0 ? "east" : "west"),
        server(name, "pool", "x" + variant % 3, BackendKind.ENGINE));
  }

  /**
   * Derives a record from a number. Most records are valid in the state; some have a stale
   * revision, identity or run.
   */
  private static Timed decode(int code, List<Timed> log, ControlState state) {
    int variant = code / 100 % 10;
    long before = log.isEmpty() ? 0 : log.getLast().atMillis;
    long at = before + (variant == 9 ? RETENTION.toMillis() : code % 7_000);
    String name = "x" + code / 1000 % 3;
    String node = "n" + code / 1000 % 4;
    String region = code / 10_000 % 2 == 0 ? "east" : "west";
    String boot = state.newestBootId(ControlFixtures.member(node, "b", region).node()).orElse("b0");
    ExpelReason reason = variant % 2 == 0 ? ExpelReason.GONE : ExpelReason.UNREACHABLE;
    String command = variant == 8 && !log.isEmpty() ? "c" + (log.size() - 1) : "c" + log.size();
    ConfigurationObject object = objects(name, variant).get(code / 10_000 % 4);
    long expected = state.expectedRevision(object.key()) - (variant == 7 ? 1 : 0);
    ControlRecord record =
        switch (code % 10) {
          case 0 -> remove(command, expected, object.key());
          case 1, 2 -> join(node, variant < 5 ? boot : boot + "0", region);
          case 3 -> activate(node, boot);
          case 4 -> leave(node, boot);
          case 5 -> expel(node, boot, "n" + variant % 4, reason);
          default -> put(command, expected, object);
        };
    return new Timed(at, record);
  }

  @Test
  void a_large_state_is_split_into_parts_that_are_the_same_on_two_nodes() {
    ControlState left = new ControlState();
    ControlState right = new ControlState();
    left.apply(0, put("c", -1, priorityClass("gold")));
    right.apply(0, put("c", -1, priorityClass("gold")));
    for (int number = 1; number <= 3000; number++) {
      ControlRecord record = put("command-" + number, -1, account("a" + number, "gold", 1));
      left.apply(number, record);
      right.apply(number, record);
    }

    List<ControlRecord.Snapshot> parts = snapshot(left);

    assertThat(json(parts), is(json(snapshot(right))));
    assertThat(parts.size(), is(greaterThan(2)));
    parts.forEach(part -> assertThat(bytes(part), is(lessThanOrEqualTo(256 * 1024))));
  }

  @ParameterizedTest(name = "earliest {0}, parts {1}: {2}")
  @CsvSource({
    "0, 0, 30",
    "5, 0, NO_USABLE_SNAPSHOT",
    "5, 1, NO_USABLE_SNAPSHOT",
    "5, 2, 32",
    "20, 2, 32",
    "21, 2, NO_USABLE_SNAPSHOT"
  })
  void a_node_starts_from_a_log_whose_early_records_are_gone(
      int earliest, int parts, String expected) {
    List<ControlRecord> log = new ArrayList<>();
    ControlState writer = new ControlState(RETENTION);
    for (int offset = 0; offset < 30; offset++) {
      log.add(put("c" + offset, -1, priorityClass("class" + offset)));
      if (offset < 20) {
        writer.apply(offset, log.get(offset));
      }
    }
    // 20 objects and 20 commands give two parts, as one part has room for 29 entries.
    writer.snapshot(entry -> SnapshotEntries.MAXIMUM_PART_BYTES / 30).stream()
        .limit(parts)
        .forEach(log::add);
    ControlStateLoader loader = new ControlStateLoader(RETENTION, earliest);
    for (int offset = earliest; offset < log.size(); offset++) {
      loader.add(offset, 0, log.get(offset));
    }

    Either<ControlStateLoader.Failure, ControlState> state = loader.state();

    String result = state.fold(Enum::name, found -> String.valueOf(found.nextOffset()));
    assertThat(result, is(expected));
    state.forEach(
        found -> assertThat(found.configuration().all(PriorityClass.class).size(), is(30)));
  }

  @ParameterizedTest(name = "snapshot of {1} parts at {0}, now {2}, rank {3}: {4}")
  @CsvSource({
    "0, 2, 25000, 0, false",
    "0, 2, 25001, 0, true",
    "0, 2, 25001, 1, false",
    "0, 2, 27001, 1, true",
    "9000, 2, 34000, 0, false",
    "9000, 1, 25001, 0, true"
  })
  void a_snapshot_is_due_when_the_newest_complete_one_is_a_quarter_of_the_retention_old(
      long atMillis, int parts, long nowMillis, int rank, boolean expected) {
    SnapshotSchedule schedule = new SnapshotSchedule(RETENTION);
    for (int part = 0; part < parts; part++) {
      schedule.onRecordApplied(atMillis, new ControlRecord.Snapshot(7, 0, part, 2, List.of()));
    }

    assertThat(schedule.isDue(nowMillis, 0, rank), is(expected));
  }

  @Test
  void the_ranks_of_the_nodes_are_a_permutation() {
    List<NodeName> nodes = Stream.of("n1", "n2", "n3").map(NodeName::new).toList();

    List<Integer> ranks =
        nodes.stream().map(node -> OwnerSelection.rank("snapshot", node, nodes)).sorted().toList();

    assertThat(ranks, is(List.of(0, 1, 2)));
  }
}
