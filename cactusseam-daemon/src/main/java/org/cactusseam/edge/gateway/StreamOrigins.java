package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.VersionHistory;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.StreamOrigin;

/**
 * Finds the version at which a stream began when a caller takes it up at any gateway, also at one
 * that has started since. While a service has servers of several versions, the origin of each
 * resumable stream is appended to the store before its first event reaches the caller.
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
   * Longest time for which the first event waits for its record. Covers a store that answers 50
   * times as slowly as usual, in 4 ms.
   */
  private static final Duration MAX_EVENT_DELAY = Duration.ofMillis(300);

  /**
   * Age of the newest entry of a server at which the view of this gateway is old: a gateway that
   * was frozen or cut off does not know of new versions. Servers write their entries every 1.2 s.
   */
  private static final Duration MAX_VIEW_AGE = Duration.ofSeconds(3);

  private static final Duration UPDATE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

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
  private List<StreamOrigin> unsaved = new ArrayList<>();
  private Promise<Void> nextSave = Promise.promise();
  private Optional<StreamOriginStore> store = Optional.empty();
  private boolean isSaving;
  private boolean areVersionsRead;
  private Instant listedAt = Instant.MIN;
  private Instant updatedAt = Instant.MIN;
  private Instant restoredAt = Instant.MIN;

  /**
   * Known origin of a stream.
   *
   * @param version version that began it
   * @param at time at which it was sent or read
   * @param isOwn whether this gateway has sent it
   */
  private record Origin(String version, Instant at, boolean isOwn) {}

  StreamOrigins(Gateway gateway) {
    this.gateway = gateway;
  }

  void setStore(StreamOriginStore newStore) {
    store = Optional.of(newStore);
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
   * Records the versions of a service that the store has. They are older than what this gateway
   * sees, and count only if it has just started; later it knows more than the record.
   */
  void onVersionsRead(String service, List<String> versions) {
    Instant now = gateway.clock().instant();
    if (!areVersionsRead) {
      history.restore(service, versions, now);
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
    restoredAt = now;
    recordedVersions.clear();
    services().forEach(service -> scheduleWrite(service, now));
    origins.forEach(
        (attempt, origin) -> {
          if (origin.isOwn()) {
            unsaved.add(new StreamOrigin(attempt, origin.version()));
          }
        });
    save();
  }

  private List<String> services() {
    return gateway.routes().services().stream().map(GatewayService::name).toList();
  }

  /**
   * Records that a resumable stream is sent to a server.
   *
   * @return completes when its first event may reach the caller; never fails
   */
  Future<Void> recordSent(String attemptId, ServerInstance server) {
    origins.put(attemptId, new Origin(server.version(), gateway.clock().instant(), true));
    if (!history.isMixed(server.service()) || store.isEmpty()) {
      return Future.succeededFuture();
    }
    unsaved.add(new StreamOrigin(attemptId, server.version()));
    Promise<Void> saved = Promise.promise();
    nextSave.future().onComplete(ignored -> saved.tryComplete());
    long timer =
        gateway.vertx().setTimer(MAX_EVENT_DELAY.toMillis(), expired -> saved.tryComplete());
    save();
    return saved.future().onComplete(ignored -> gateway.vertx().cancelTimer(timer));
  }

  /** Appends all unsaved origins in one call, one call at a time. */
  private void save() {
    if (isSaving || unsaved.isEmpty() || store.isEmpty()) {
      return;
    }
    isSaving = true;
    List<StreamOrigin> batch = unsaved;
    Promise<Void> saved = nextSave;
    unsaved = new ArrayList<>();
    nextSave = Promise.promise();
    store
        .get()
        .append(batch)
        .onComplete(
            result -> {
              isSaving = false;
              if (result.succeeded()) {
                saved.complete();
                save();
                return;
              }
              LOG.warn(
                  "origins_not_stored",
                  field("streams", batch.size()),
                  field("cause", result.cause()));
              nextSave.future().onComplete(ignored -> saved.complete());
              keepUnsaved(batch);
              gateway.vertx().setTimer(RETRY_INTERVAL.toMillis(), timer -> save());
            });
  }

  /** Keeps a batch for the next append, without the streams that can no longer be taken up. */
  private void keepUnsaved(List<StreamOrigin> batch) {
    List<StreamOrigin> kept =
        new ArrayList<>(
            batch.stream().filter(origin -> origins.containsKey(origin.attemptId())).toList());
    kept.addAll(unsaved);
    unsaved = kept;
    if (unsaved.isEmpty()) {
      nextSave.complete();
      nextSave = Promise.promise();
    }
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
              read.forEach(
                  origin ->
                      origins.put(origin.attemptId(), new Origin(origin.version(), now, false)));
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

  private Optional<String> known(String attemptId) {
    return Optional.ofNullable(origins.get(attemptId)).map(Origin::version);
  }

  /** A stream without a record began before the second version came, unless records are lost. */
  private Optional<String> unrecorded(String service, Instant now) {
    boolean mayBeLost = !restoredAt.equals(Instant.MIN) && restoredAt.plus(WINDOW).isAfter(now);
    return mayBeLost || !areVersionsRead
        ? Optional.empty()
        : history.versions(service).stream().findFirst();
  }
}
