package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;

/**
 * Test fixture: a shard on a manually advanced clock, with three priority classes, one account in
 * each, and a second account in the class {@code standard}.
 */
final class ShardFixture {

  static final BackendCondition WARM = new BackendCondition("run-1", false);
  static final BackendCondition COLD = new BackendCondition("run-1", true);
  static final NodeName NODE = new NodeName("entry-1");

  final PausedClock clock = new PausedClock();
  final AdmissionShard shard;
  final ShardId id = new ShardId(new PoolName("zopf-llm"), new RegionName("ost"), 0);
  final List<BackendServer> servers = new ArrayList<>();
  ServiceState domainState = ServiceState.IN;
  private int premiumShare = 30;
  private long sequence;

  ShardFixture(AdmissionSettings settings) {
    clock.setMillis(1_000_000);
    shard = new AdmissionShard(id, clock, settings);
  }

  static ShardFixture with(AdmissionFeature... features) {
    AdmissionSettings preset = AdmissionSettings.zopfwerk();
    return new ShardFixture(preset.with(Set.of(features), preset.choice()));
  }

  ShardFixture server(String name, int coldLimit, int warmLimit, long memory) {
    servers.add(
        new BackendServer(
            new BackendServerName(name),
            new PoolName("zopf-llm"),
            new FailureDomainName("ost-wien"),
            BackendKind.ENGINE,
            "127.0.0.1",
            1,
            true,
            coldLimit,
            warmLimit,
            memory,
            ServiceState.IN));
    return this;
  }

  ShardFixture configured() {
    shard.configure(List.copyOf(servers), configuration(), 7);
    return this;
  }

  /** Configures the shard and raises the limit of every server to its warm limit. */
  ShardFixture warm() {
    configured();
    for (int step = 0; step < 12; step++) {
      clock.advance(300);
      servers.forEach(server -> shard.recordLoadReport(server.name(), report(WARM, 0)));
    }
    return this;
  }

  private Configuration configuration() {
    Configuration result =
        Configuration.EMPTY.with(
            new FailureDomain(
                new FailureDomainName("ost-wien"), new RegionName("ost"), domainState),
            1);
    String[] classes = {"premium", "standard", "batch"};
    for (int rank = 0; rank < classes.length; rank++) {
      PriorityClassName name = new PriorityClassName(classes[rank]);
      int share = rank == 0 ? premiumShare : 20;
      result =
          result
              .with(new PriorityClass(name, rank, rank == 2), 2)
              .with(new ClientAccount(new AccountName(classes[rank]), name, share, List.of()), 3);
    }
    PriorityClassName standard = new PriorityClassName("standard");
    return result.with(new ClientAccount(new AccountName("other"), standard, 20, List.of()), 3);
  }

  static LoadReport report(BackendCondition condition, int running) {
    return new LoadReport(condition, running, 0, 0, 100_000, 0);
  }

  PermitRequest request(String account) {
    return request(account, 100, 60_000, List.of(), List.of());
  }

  PermitRequest request(
      String account,
      int prompt,
      long timeToDeadlineMillis,
      List<Long> prefixes,
      List<BackendServerName> excluded) {
    String priorityClass = account.equals("other") ? "standard" : account;
    return new PermitRequest(
        new PermitRequestId(NODE, "boot-1", sequence++),
        id,
        "request",
        new AccountName(account),
        new PriorityClassName(priorityClass),
        new RouteName("letters"),
        prompt,
        prefixes,
        0,
        timeToDeadlineMillis,
        excluded,
        "");
  }

  /** Returns a request of the account with a fingerprint that a placement rule recognizes. */
  PermitRequest suspect(String account, String fingerprint) {
    PermitRequest request = request(account);
    return new PermitRequest(
        request.id(),
        id,
        request.request(),
        request.account(),
        request.priorityClass(),
        request.route(),
        request.promptTokens(),
        List.of(),
        0,
        request.timeToDeadlineMillis(),
        List.of(),
        fingerprint);
  }

  /** Sends a request and returns the decisions on it. */
  List<AdmissionDecision> ask(PermitRequest request) {
    shard.request(request);
    return shard.drain();
  }

  /** Sends requests of one account and returns the permits granted. */
  List<Permit> askMany(String account, int count) {
    for (int index = 0; index < count; index++) {
      shard.request(request(account));
    }
    return grants();
  }

  List<Permit> grants() {
    return shard.drain().stream()
        .filter(AdmissionDecision.Granted.class::isInstance)
        .map(decision -> ((AdmissionDecision.Granted) decision).permit())
        .toList();
  }

  BackendServerName name(int index) {
    return servers.get(index).name();
  }
}
