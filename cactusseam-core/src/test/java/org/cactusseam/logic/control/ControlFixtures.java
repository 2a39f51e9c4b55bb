package org.cactusseam.logic.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.Route;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ExpelReason;
import org.cactusseam.model.control.Member;

/**
 * Builders of configuration objects and control records, and their JSON encoding, for the tests of
 * this package.
 */
final class ControlFixtures {

  static final Duration RETENTION = Duration.ofSeconds(100);
  static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());

  private ControlFixtures() {}

  static String json(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(failure);
    }
  }

  static int bytes(Object value) {
    return json(value).getBytes(StandardCharsets.UTF_8).length;
  }

  static ControlRecord decoded(ControlRecord record) {
    try {
      return JSON.readValue(json(record), ControlRecord.class);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException(failure);
    }
  }

  static List<ControlRecord.Snapshot> snapshot(ControlState state) {
    return state.snapshot(ControlFixtures::bytes);
  }

  static PriorityClass priorityClass(String name) {
    return new PriorityClass(new PriorityClassName(name), 1, false);
  }

  static ClientAccount account(String name, String priorityClass, int share) {
    return new ClientAccount(
        new AccountName(name), new PriorityClassName(priorityClass), share, List.of("00"));
  }

  static Route route(String name, String pool, BackendKind kind) {
    return new Route(
        new RouteName(name), "/" + name, Optional.empty(), new PoolName(pool), kind, true, 1000);
  }

  static FailureDomain domain(String name, String region) {
    return new FailureDomain(new FailureDomainName(name), new RegionName(region), ServiceState.IN);
  }

  static BackendServer server(String name, String pool, String domain, BackendKind kind) {
    return new BackendServer(
        new BackendServerName(name),
        new PoolName(pool),
        new FailureDomainName(domain),
        kind,
        "127.0.0.1",
        1,
        true,
        1,
        2,
        0,
        ServiceState.IN);
  }

  static ControlRecord.Change put(String command, long expected, ConfigurationObject value) {
    return new ControlRecord.Change(command, value.key(), expected, Optional.of(value), "test");
  }

  static ControlRecord.Change remove(String command, long expected, ObjectKey key) {
    return new ControlRecord.Change(command, key, expected, Optional.empty(), "test");
  }

  static Member member(String node, String boot, String region) {
    return new Member(
        new NodeName(node),
        boot,
        "127.0.0.1",
        1,
        new FailureDomainName(region + "-1"),
        new RegionName(region));
  }

  static ControlRecord join(String node, String boot, String region) {
    return new ControlRecord.Join(member(node, boot, region));
  }

  static ControlRecord activate(String node, String boot) {
    return new ControlRecord.Activate(new NodeName(node), boot);
  }

  static ControlRecord leave(String node, String boot) {
    return new ControlRecord.Leave(new NodeName(node), boot);
  }

  static ControlRecord expel(String node, String boot, String by, ExpelReason reason) {
    return new ControlRecord.Expel(new NodeName(node), boot, new NodeName(by), reason);
  }
}
