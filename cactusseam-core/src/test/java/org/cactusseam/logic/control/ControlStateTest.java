package org.cactusseam.logic.control;

import static org.cactusseam.logic.control.ControlFixtures.account;
import static org.cactusseam.logic.control.ControlFixtures.activate;
import static org.cactusseam.logic.control.ControlFixtures.domain;
import static org.cactusseam.logic.control.ControlFixtures.expel;
import static org.cactusseam.logic.control.ControlFixtures.join;
import static org.cactusseam.logic.control.ControlFixtures.leave;
import static org.cactusseam.logic.control.ControlFixtures.priorityClass;
import static org.cactusseam.logic.control.ControlFixtures.put;
import static org.cactusseam.logic.control.ControlFixtures.remove;
import static org.cactusseam.logic.control.ControlFixtures.route;
import static org.cactusseam.logic.control.ControlFixtures.server;
import static org.cactusseam.logic.control.RecordOutcome.ACCEPTED;
import static org.cactusseam.logic.control.RecordOutcome.CONFLICT;
import static org.cactusseam.logic.control.RecordOutcome.DUPLICATE;
import static org.cactusseam.logic.control.RecordOutcome.INVALID;
import static org.cactusseam.model.BackendKind.ENGINE;
import static org.cactusseam.model.BackendKind.PLAIN;
import static org.cactusseam.model.control.ExpelReason.GONE;
import static org.cactusseam.model.control.ExpelReason.UNREACHABLE;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ShardOwner;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against lost updates, repeated commands, dangling references, and delayed duplicates of
 * membership records that make an ended run a member again.
 */
class ControlStateTest {

  private static final ConfigurationObject GOLD = priorityClass("gold");
  private static final ConfigurationObject EAST = domain("east-1", "east");
  private static final ConfigurationObject ENGINE_SERVER = server("s", "pool", "east-1", ENGINE);

  static Stream<Arguments> changes() {
    ControlRecord create = put("c0", -1, GOLD);
    ControlRecord account = put("c1", -1, account("acme", "gold", 1));
    return Stream.of(
        arguments("create", List.of(create), List.of(ACCEPTED)),
        arguments(
            "create twice", List.of(create, put("c1", -1, GOLD)), List.of(ACCEPTED, CONFLICT)),
        arguments("repeat", List.of(create, create), List.of(ACCEPTED, DUPLICATE)),
        arguments("change", List.of(create, put("c1", 0, GOLD)), List.of(ACCEPTED, ACCEPTED)),
        arguments(
            "two operators",
            List.of(create, put("c1", 0, GOLD), put("c2", 0, GOLD)),
            List.of(ACCEPTED, ACCEPTED, CONFLICT)),
        arguments(
            "late copy of the creation after a removal",
            List.of(create, remove("c1", 0, GOLD.key()), put("c2", -1, GOLD)),
            List.of(ACCEPTED, ACCEPTED, CONFLICT)),
        arguments(
            "create again",
            List.of(create, remove("c1", 0, GOLD.key()), put("c2", 1, GOLD)),
            List.of(ACCEPTED, ACCEPTED, ACCEPTED)),
        arguments("remove absent", List.of(remove("c0", -1, GOLD.key())), List.of(INVALID)),
        arguments(
            "other key",
            List.of(new ControlRecord.Change("c0", EAST.key(), -1, Optional.of(GOLD), "test")),
            List.of(INVALID)),
        arguments("account without class", List.of(account), List.of(INVALID)),
        arguments(
            "remove used class",
            List.of(create, account, remove("c2", 0, GOLD.key())),
            List.of(ACCEPTED, ACCEPTED, INVALID)));
  }

  static Stream<Arguments> serverChanges() {
    ControlRecord domain = put("c0", -1, EAST);
    ControlRecord server = put("c1", -1, ENGINE_SERVER);
    return Stream.of(
        arguments("server without domain", List.of(server), List.of(INVALID)),
        arguments(
            "remove used domain",
            List.of(domain, server, remove("c2", 0, EAST.key())),
            List.of(ACCEPTED, ACCEPTED, INVALID)),
        arguments(
            "move used domain",
            List.of(domain, server, put("c2", 0, domain("east-1", "west"))),
            List.of(ACCEPTED, ACCEPTED, INVALID)),
        arguments(
            "move server to another pool",
            List.of(domain, server, put("c2", 1, server("s", "other", "east-1", ENGINE))),
            List.of(ACCEPTED, ACCEPTED, INVALID)),
        arguments(
            "create a removed server in the same pool",
            List.of(
                domain, server, remove("c2", 1, ENGINE_SERVER.key()), put("c3", 2, ENGINE_SERVER)),
            List.of(ACCEPTED, ACCEPTED, ACCEPTED, ACCEPTED)),
        arguments(
            "create a removed server in another pool",
            List.of(
                domain,
                server,
                remove("c2", 1, ENGINE_SERVER.key()),
                put("c3", 2, server("s", "other", "east-1", ENGINE))),
            List.of(ACCEPTED, ACCEPTED, ACCEPTED, INVALID)),
        arguments(
            "pool of two kinds",
            List.of(domain, server, put("c2", -1, server("t", "pool", "east-1", PLAIN))),
            List.of(ACCEPTED, ACCEPTED, INVALID)),
        arguments(
            "route of another kind than its pool",
            List.of(domain, server, put("c2", -1, route("r", "pool", PLAIN))),
            List.of(ACCEPTED, ACCEPTED, INVALID)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource({"changes", "serverChanges"})
  void changes_are_accepted_or_rejected_by_revision_identity_and_references(
      String name, List<ControlRecord> records, List<RecordOutcome> expected) {
    assertThat(applied(new ControlState(), records), is(expected));
  }

  static Stream<Arguments> memberships() {
    ControlRecord first = join("n1", "b1", "east");
    ControlRecord second = join("n2", "b1", "east");
    ControlRecord secondActive = activate("n2", "b1");
    ControlRecord suspended = expel("n1", "b1", "n2", UNREACHABLE);
    return Stream.of(
        arguments("first of a region", List.of(first), "n1/b1 ACTIVE"),
        arguments("next of a region", List.of(first, second), "n1/b1 ACTIVE, n2/b1 JOINED"),
        arguments("late copy of a join", List.of(first, leave("n1", "b1"), first), ""),
        arguments("restart", List.of(first, join("n1", "b2", "east")), "n1/b2 ACTIVE"),
        arguments("copy of an old join", List.of(join("n1", "b2", "east"), first), "n1/b2 ACTIVE"),
        arguments(
            "unreachable owner is suspended",
            List.of(first, second, secondActive, suspended),
            "n1/b1 SUSPENDED, n2/b1 ACTIVE"),
        arguments(
            "a suspended run cannot be activated",
            List.of(first, second, secondActive, suspended, activate("n1", "b1")),
            "n1/b1 SUSPENDED, n2/b1 ACTIVE"),
        arguments(
            "both expel each other",
            List.of(first, second, secondActive, suspended, expel("n2", "b1", "n1", UNREACHABLE)),
            "n1/b1 SUSPENDED, n2/b1 ACTIVE"),
        arguments(
            "end of a suspended run",
            List.of(first, second, secondActive, suspended, expel("n1", "b1", "n2", GONE)),
            "n2/b1 ACTIVE"),
        arguments(
            "not the first while a suspended run may act as owner",
            List.of(first, second, secondActive, suspended, join("n2", "b2", "east")),
            "n1/b1 SUSPENDED, n2/b2 JOINED"),
        arguments(
            "a joined member cannot suspend",
            List.of(first, second, expel("n1", "b1", "n2", UNREACHABLE)),
            "n1/b1 ACTIVE, n2/b1 JOINED"),
        arguments(
            "another region cannot suspend",
            List.of(first, join("n3", "b1", "west"), expel("n1", "b1", "n3", UNREACHABLE)),
            "n1/b1 ACTIVE, n3/b1 ACTIVE"),
        arguments(
            "late expulsion of an earlier run",
            List.of(first, second, secondActive, join("n1", "b2", "east"), suspended),
            "n1/b2 JOINED, n2/b1 ACTIVE"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("memberships")
  void membership_follows_the_records(String name, List<ControlRecord> records, String expected) {
    ControlState state = new ControlState();

    applied(state, records);

    List<String> members =
        state.membership().entries().stream()
            .map(entry -> entry.run() + " " + entry.state())
            .sorted()
            .toList();
    assertThat(String.join(", ", members), is(expected));
  }

  @Test
  void a_shard_does_not_leave_its_region_while_a_suspended_run_may_act_as_its_owner() {
    ControlState state = new ControlState();
    ShardId shard = new ShardId(new PoolName("pool"), new RegionName("east"), 0);
    applied(state, List.of(put("c0", -1, EAST), put("c1", -1, ENGINE_SERVER)));
    applied(state, List.of(join("n1", "b1", "east"), join("n2", "b1", "east")));
    applied(state, List.of(activate("n2", "b1"), join("n9", "b1", "west")));
    applied(state, List.of(expel("n1", "b1", "n2", UNREACHABLE), expel("n2", "b1", "n9", GONE)));
    assertThat(state.owners().of(shard), is(Optional.empty()));

    applied(state, List.of(expel("n1", "b1", "n9", GONE)));

    Optional<ShardOwner> owner = state.owners().of(shard);
    assertThat(owner.map(found -> found.run().node()), is(Optional.of(new NodeName("n9"))));
    assertThat(owner.map(ShardOwner::epoch), is(Optional.of(8L)));
  }

  @Test
  void a_server_keeps_its_shard_when_others_are_added_and_removed() {
    ControlState state = new ControlState();
    List<ControlRecord> records = new ArrayList<>(List.of(put("d", -1, EAST)));
    IntStream.range(10, 27)
        .forEach(number -> records.add(put("c" + number, -1, engine("s" + number))));
    records.add(put("a", -1, engine("a")));
    records.add(remove("r", 1, engine("s10").key()));
    records.add(put("f", 18, engine("a")));
    records.add(put("b", -1, engine("b")));

    applied(state, records);

    assertThat(shardOf(state, "s26"), is(1));
    assertThat(shardOf(state, "a"), is(1));
    assertThat(shardOf(state, "b"), is(0));
    RecordOutcome again = state.apply(state.nextOffset(), put("e", 19, engine("s10")));
    assertThat("its shard is full", again, is(INVALID));
  }

  private static ConfigurationObject engine(String name) {
    return server(name, "pool", "east-1", ENGINE);
  }

  private static int shardOf(ControlState state, String server) {
    return state.configuration().shardOf(new BackendServerName(server)).orElseThrow().index();
  }

  private static List<RecordOutcome> applied(ControlState state, List<ControlRecord> records) {
    return records.stream().map(record -> state.apply(state.nextOffset(), record)).toList();
  }
}
