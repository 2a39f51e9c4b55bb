package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.VersionHistory;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.StreamOrigin;
import org.cactusseam.model.gateway.VersionFilter;

/**
 * Finds the version at which a stream began when a caller takes it up at any gateway, also at one
 * that has started since. While a service has servers of several versions, the origin of each
 * resumable stream is appended to the store before its first event reaches the caller. Only at the
 * default version, the oldest one, may a stream begin without a record; so the absence of a record
 * says that the stream began there.
 */
final class StreamOrigins {

  private static final StructuredLog LOG = StructuredLog.of(StreamOrigins.class);

  /**
   * Time after its begin in which a stream can be taken up: the longest time limit of resumable
   * streams in the deployments, 6 s, and time for the last attempt.
   */
  static final Duration WINDOW = Duration.ofSeconds(8);

  /**
   * Time for which origins are recorded after a version was last listed. Longer than the window,
   * because gateways do not notice at the same moment that a version is gone, and less than the 20
   * s for which the store keeps the records.
   */
  private static final Duration RECORDING_TIME = Duration.ofSeconds(16);

  /**
   * Longest time for which the first event of a stream at the default version waits for its record.
   * The record is useful there, but its absence says the same.
   */
  private static final Duration MAX_EVENT_DELAY = StreamOriginWriter.SLOW_APPEND;

  /**
   * Age of the newest entry of a server at which the view of this gateway is old: a gateway that
   * was frozen or cut off does not know of new versions. Servers write their entries every 1.2 s.
   */
  private static final Duration MAX_VIEW_AGE = Duration.ofSeconds(3);

  private static final Duration UPDATE_INTERVAL = Duration.ofSeconds(1);

  /**
   * Longest time by which a gateway delays the record of a service's versions, so that it finds the
   * one that another gateway has written. Several versions are recorded sooner, before the servers
   * of the older one leave.
   */
  private static final Duration MAX_WRITE_DELAY = Duration.ofSeconds(5);

  private static final Duration MAX_WRITE_DELAY_IF_MIXED = Duration.ofMillis(500);

  private final Gateway gateway;
  private final VersionHistory history = new VersionHistory();
  private final Map<String, Origin> origins = new HashMap<>();
  private final Map<String, List<String>> recordedVersions = new HashMap<>();
  private final Map<String, Instant> versionWrites = new HashMap<>();
  private final StreamOriginWriter writer;
  private Optional<StreamOriginStore> store = Optional.empty();
  private boolean areVersionsRead;
  private Instant listedAt = Instant.MIN;
  private Instant updatedAt = Instant.MIN;

  /** Time since which the absence of a record may have other reasons than the default version. */
  private Instant unreliableSince = Instant.MIN;

  /**
   * Known origin of a stream.
   *
   * @param record origin
   * @param at time at which the stream was sent or its record was read
   * @param isOwn whether this gateway has sent it
   */
  private record Origin(StreamOrigin record, Instant at, boolean isOwn) {}

  StreamOrigins(Gateway gateway) {
    this.gateway = gateway;
    this.writer = new StreamOriginWriter(gateway, this::isCurrent);
  }

  void setStore(StreamOriginStore newStore) {
    store = Optional.of(newStore);
    writer.setStore(newStore);
  }

  private boolean isCurrent(StreamOrigin origin) {
    return Optional.ofNullable(origins.get(origin.attemptId()))
        .filter(known -> known.record().equals(origin))
        .isPresent();
  }

  /** Adds the version of a server before the first request is sent to it. */
  void onServerListed(ServerInstance server) {
    listedAt = gateway.clock().instant();
    if (!history.versions(server.service()).contains(server.version())) {
      update(listedAt);
    }
  }

  void tick(Instant now) {
    if (updatedAt.equals(Instant.MIN) || updatedAt.plus(UPDATE_INTERVAL).isBefore(now)) {
      update(now);
      origins.values().removeIf(origin -> origin.at().plus(RECORDING_TIME).isBefore(now));
    }
    List.copyOf(versionWrites.entrySet()).stream()
        .filter(write -> !write.getValue().isAfter(now))
        .forEach(write -> writeVersions(write.getKey(), now));
  }

  private void update(Instant now) {
    updatedAt = now;
    for (String service : history.update(gateway.servers().all(), RECORDING_TIME, now)) {
      scheduleWrite(service, now);
    }
  }

  private void scheduleWrite(String service, Instant now) {
    List<String> versions = history.versions(service);
    if (versions.isEmpty() || versions.equals(recordedVersions.get(service))) {
      versionWrites.remove(service);
      return;
    }
    Duration longest = versions.size() > 1 ? MAX_WRITE_DELAY_IF_MIXED : MAX_WRITE_DELAY;
    int position = (gateway.settings().node() + service).hashCode();
    long delay = gateway.vmCount() == 1 ? 0 : Math.floorMod(position, longest.toMillis());
    versionWrites.put(service, now.plusMillis(delay));
  }

  private void writeVersions(String service, Instant now) {
    List<String> versions = history.versions(service);
    if (versions.equals(recordedVersions.get(service)) || !areVersionsRead || store.isEmpty()) {
      if (areVersionsRead) {
        versionWrites.remove(service);
      }
      return;
    }
    versionWrites.put(service, now.plus(UPDATE_INTERVAL));
    LOG.info("versions", field("service", service), field("versions", String.join(",", versions)));
    store
        .get()
        .putVersions(service, versions)
        .onSuccess(written -> recordedVersions.put(service, versions))
        .onFailure(
            cause ->
                LOG.warn("versions_not_stored", field("service", service), field("cause", cause)));
  }

  /**
   * Records the versions of a service that the store has. A gateway that has just started takes
   * them over. Later it knows more than the record, but takes over the order of those that both
   * know, so that all gateways have the same default version.
   */
  void onVersionsRead(String service, List<String> versions) {
    Instant now = gateway.clock().instant();
    if (!areVersionsRead) {
      history.restore(service, versions, now);
    } else if (history.adoptOrder(service, versions)) {
      LOG.warn("versions_reordered", field("service", service), field("versions", versions));
      unreliableSince = now;
    }
    recordedVersions.put(service, versions);
    scheduleWrite(service, now);
  }

  /** Called when the records of the versions have been read completely. */
  void onVersionsComplete() {
    areVersionsRead = true;
  }

  /** Writes again what the store may have lost when it came back from an older copy. */
  void onStoreRestored() {
    Instant now = gateway.clock().instant();
    unreliableSince = now;
    recordedVersions.clear();
    services().forEach(service -> scheduleWrite(service, now));
    List.copyOf(origins.values()).stream()
        .filter(Origin::isOwn)
        .forEach(origin -> writer.save(origin.record()));
  }

  private List<String> services() {
    return gateway.routes().services().stream().map(GatewayService::name).toList();
  }

  /**
   * Returns the version at which streams begin whose origin cannot be recorded. A stream without a
   * record began there, so all gateways must agree on it: it is the oldest in the store's record of
   * the versions and in the view of this gateway.
   */
  private Optional<String> defaultVersion(String service) {
    Optional<String> oldest = history.versions(service).stream().findFirst();
    List<String> recorded = recordedVersions.getOrDefault(service, List.of());
    return oldest.filter(version -> recorded.indexOf(version) == 0);
  }

  /**
   * Returns the versions at which a resumable stream may begin now. While origins cannot be
   * recorded, only streams at the default version would reach their callers without delay.
   */
  VersionFilter versionsThatMayBegin(String service) {
    if (!history.isMixed(service) || !writer.isFailing()) {
      return VersionFilter.ANY;
    }
    return defaultVersion(service)
        .filter(version -> hasServer(service, version))
        .map(version -> VersionFilter.only(Set.of(version)))
        .orElse(VersionFilter.ANY);
  }

  private boolean hasServer(String service, String version) {
    return gateway.servers().usable(service).stream()
        .anyMatch(server -> server.version().equals(version));
  }

  /**
   * Records that a resumable stream is sent to a server. If another gateway could take the stream
   * up at another version without its record, its first event waits for the record.
   *
   * @return completes when the first event may reach the caller; fails if the origin could not be
   *     recorded, with {@link NotExecutedException} if no record can appear later
   */
  Future<Void> recordSent(String attemptId, ServerInstance server) {
    Optional<StreamOrigin> earlier =
        Optional.ofNullable(origins.get(attemptId)).map(Origin::record);
    StreamOrigin origin =
        new StreamOrigin(
            attemptId, server.version(), earlier.map(StreamOrigin::send).orElse(0) + 1);
    origins.put(attemptId, new Origin(origin, gateway.clock().instant(), true));
    if (!history.isMixed(server.service()) || store.isEmpty()) {
      return Future.succeededFuture();
    }
    boolean mayHaveOtherRecord =
        earlier.filter(other -> !other.version().equals(server.version())).isPresent();
    return !mayHaveOtherRecord && isSoundWithoutRecord(server)
        ? atMost(MAX_EVENT_DELAY, writer.save(origin))
        : writer.saveOrFail(origin).onFailure(cause -> forget(origin, cause));
  }

  /**
   * Returns whether a stream without a record is not taken up at another version than that of its
   * server: because this is the default version, or because no server of the default one is left.
   */
  private boolean isSoundWithoutRecord(ServerInstance server) {
    return defaultVersion(server.service())
        .filter(
            version -> version.equals(server.version()) || !hasServer(server.service(), version))
        .isPresent();
  }

  private void forget(StreamOrigin origin, Throwable cause) {
    if (cause instanceof NotExecutedException && isCurrent(origin)) {
      origins.remove(origin.attemptId());
    }
  }

  private Future<Void> atMost(Duration time, Future<Void> saved) {
    Promise<Void> due = Promise.promise();
    saved.onComplete(ignored -> due.tryComplete());
    long timer = gateway.vertx().setTimer(time.toMillis(), expired -> due.tryComplete());
    return due.future().onComplete(ignored -> gateway.vertx().cancelTimer(timer));
  }

  /**
   * Finds the version that began a stream.
   *
   * @param attemptId attempt of the caller that brought the first event
   * @param service service of the stream
   * @return version; empty if it cannot be known now. Never fails
   */
  Future<Optional<String>> find(String attemptId, String service) {
    Optional<String> known = known(attemptId);
    if (known.isPresent() || store.isEmpty()) {
      return Future.succeededFuture(known);
    }
    return store
        .get()
        .readNew()
        .map(
            read -> {
              Instant now = gateway.clock().instant();
              read.forEach(origin -> addRead(origin, now));
              return known(attemptId).or(() -> unrecorded(service, now));
            })
        .otherwise(
            cause -> {
              LOG.warn("origins_unreadable", field("cause", cause));
              return onlyVersion(service);
            });
  }

  /** Returns the only version that can have begun a stream, as far as a fresh view shows it. */
  private Optional<String> onlyVersion(String service) {
    Instant now = gateway.clock().instant();
    boolean isFresh = !listedAt.equals(Instant.MIN) && listedAt.plus(MAX_VIEW_AGE).isAfter(now);
    return isFresh && areVersionsRead
        ? history.onlyVersion(service, WINDOW, now)
        : Optional.empty();
  }

  private void addRead(StreamOrigin origin, Instant now) {
    origins.merge(
        origin.attemptId(),
        new Origin(origin, now, false),
        (known, read) -> read.record().send() > known.record().send() ? read : known);
  }

  private Optional<String> known(String attemptId) {
    return Optional.ofNullable(origins.get(attemptId)).map(origin -> origin.record().version());
  }

  /**
   * Returns the version of a stream that the store has no record of: no other version than the
   * default one begins streams before they are recorded. Empty if records may be lost, or if the
   * gateways may not agree on the default version.
   */
  private Optional<String> unrecorded(String service, Instant now) {
    boolean isReliable =
        unreliableSince.equals(Instant.MIN) || unreliableSince.plus(WINDOW).isBefore(now);
    if (!isReliable || !areVersionsRead) {
      return Optional.empty();
    }
    return history.isMixed(service)
        ? defaultVersion(service)
        : history.versions(service).stream().findFirst();
  }
}
