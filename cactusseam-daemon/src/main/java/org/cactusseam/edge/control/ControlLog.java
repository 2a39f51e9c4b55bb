package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.cactusseam.edge.Json;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.platform.AppendOnlyLog;
import org.cactusseam.edge.platform.LogPage;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.ControlStateLoader;
import org.cactusseam.logic.control.SnapshotSchedule;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.StoredRecord;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the control state: loads it from the log or from a peer, applies new records, and
 * appends snapshots before old records expire. Confined to the control thread.
 */
final class ControlLog implements LogTailer.Listener {

  /** Receives changes of the control state and the results of reading the log. */
  interface Listener {

    /**
     * Called after one record has been applied to the state.
     *
     * @param record record that was applied
     * @param previous configuration before the record
     */
    void onRecordApplied(ControlRecord record, Configuration previous);

    /** Called after the state has been loaded as a whole. */
    void onStateLoaded();

    /**
     * Called after a read of the log has been applied.
     *
     * @param sentAt when the read was sent
     * @param reachedEnd whether the state now contains all records up to the end of the log
     */
    void onLogRead(Instant sentAt, boolean reachedEnd);

    /** Called after a read of the log has failed. */
    void onReadFailed();
  }

  private static final StructuredLog LOG = StructuredLog.of(ControlLog.class);

  /**
   * Records kept to bring a peer up to date: enough for a minute of changes at the target scale.
   */
  private static final int MAX_RECENT_RECORDS = 512;

  private final AppendOnlyLog log;
  private final String stream;
  private final Duration retention;
  private final Listener listener;
  private final LogTailer tailer;
  private final SnapshotSchedule schedule;
  private final Deque<StoredRecord> recent = new ArrayDeque<>();
  private final TreeMap<Integer, ControlRecord.Snapshot> peerSnapshotParts = new TreeMap<>();
  private ControlState state;
  private @Nullable ControlStateLoader loader;
  private long loadOffset;
  private boolean loaded;

  ControlLog(
      Vertx vertx, Clock clock, AppendOnlyLog log, Settings.Platform platform, Listener listener) {
    this.log = log;
    this.stream = platform.controlStream();
    this.retention = platform.retention();
    this.listener = listener;
    this.state = new ControlState(retention);
    this.schedule = new SnapshotSchedule(retention);
    this.tailer = new LogTailer(vertx, clock, log, stream, this::nextOffset, this);
  }

  void start() {
    tailer.start();
  }

  void stop() {
    tailer.stop();
  }

  ControlState state() {
    return state;
  }

  boolean isLoaded() {
    return loaded;
  }

  Future<Long> append(ControlRecord record) {
    return log.append(stream, Json.write(record));
  }

  private long nextOffset() {
    return loader == null && loaded ? state.nextOffset() : loadOffset;
  }

  @Override
  public void onPage(Instant sentAt, LogPage page) {
    boolean hasGap = loaded && loader == null && !state.canContinueFrom(page.earliest());
    if (hasGap) {
      LOG.warn(
          "control_log_gap", field("next", state.nextOffset()), field("earliest", page.earliest()));
      loadOffset = 0;
    }
    if (hasGap || (!loaded && loader == null)) {
      loader = new ControlStateLoader(retention, page.earliest());
    }
    if (hasGap) {
      return;
    }
    List<StoredRecord> records = page.records().stream().map(ControlLog::parse).toList();
    if (loader != null) {
      loadPage(loader, records, page);
    } else {
      records.forEach(this::applyRecord);
    }
    if (loaded && loader == null) {
      listener.onLogRead(sentAt, state.nextOffset() >= page.end());
    }
  }

  private static StoredRecord parse(LogPage.LogEntry entry) {
    ControlRecord record =
        Json.readRecord(entry.value(), ControlRecord.class)
            .onFailure(
                cause ->
                    LOG.error(
                        "control_record_unreadable",
                        field("offset", entry.offset()),
                        field("cause", cause.getMessage())))
            .getOrElse(new ControlRecord.Unreadable());
    return new StoredRecord(entry.offset(), entry.appendedAtMillis(), record);
  }

  private void loadPage(ControlStateLoader activeLoader, List<StoredRecord> records, LogPage page) {
    for (StoredRecord stored : records) {
      activeLoader.add(stored.offset(), stored.appendedAtMillis(), stored.record());
      schedule.onRecordApplied(stored.appendedAtMillis(), stored.record());
      addRecent(stored);
    }
    loadOffset =
        page.records().isEmpty()
            ? Math.max(loadOffset, page.earliest())
            : page.records().get(page.records().size() - 1).offset() + 1;
    if (loadOffset < page.end()) {
      return;
    }
    loader = null;
    activeLoader
        .state()
        .peek(this::replaceState)
        .peekLeft(
            failure -> {
              loadOffset = 0;
              LOG.warn("control_log_incomplete", field("reason", failure));
            });
  }

  private void replaceState(ControlState newer) {
    if (loaded && newer.nextOffset() < state.nextOffset()) {
      return;
    }
    state = newer;
    loaded = true;
    LOG.info("control_state_loaded", field("next_offset", state.nextOffset()));
    listener.onStateLoaded();
  }

  private void applyRecord(StoredRecord stored) {
    if (stored.offset() != state.nextOffset()) {
      return;
    }
    Configuration previous = state.configuration();
    state.apply(stored.offset(), stored.appendedAtMillis(), stored.record());
    schedule.onRecordApplied(stored.appendedAtMillis(), stored.record());
    addRecent(stored);
    listener.onRecordApplied(stored.record(), previous);
  }

  private void addRecent(StoredRecord stored) {
    recent.addLast(stored);
    if (recent.size() > MAX_RECENT_RECORDS) {
      recent.removeFirst();
    }
  }

  /**
   * Applies records that a peer has read from the log. Ignores those that do not follow the state.
   *
   * @param records records in the order of the log, without a gap
   */
  void applyPeerRecords(List<StoredRecord> records) {
    if (loaded && loader == null) {
      records.forEach(this::applyRecord);
    }
  }

  /**
   * Collects the parts of a peer's snapshot and loads it when it is complete and newer than the
   * state of this daemon.
   *
   * @param part part of the snapshot
   */
  void addPeerSnapshotPart(ControlRecord.Snapshot part) {
    boolean isOtherSnapshot =
        !peerSnapshotParts.isEmpty()
            && peerSnapshotParts.firstEntry().getValue().basis() != part.basis();
    if (isOtherSnapshot) {
      peerSnapshotParts.clear();
    }
    peerSnapshotParts.put(part.part(), part);
    if (peerSnapshotParts.size() < part.parts()) {
      return;
    }
    List<ControlRecord.Snapshot> parts = List.copyOf(peerSnapshotParts.values());
    peerSnapshotParts.clear();
    if (state.load(parts)) {
      loaded = true;
      loader = null;
      LOG.info("control_state_from_peer", field("next_offset", state.nextOffset()));
      listener.onStateLoaded();
    }
  }

  /**
   * Returns the recent records from an offset on.
   *
   * @param fromOffset offset of the first record
   * @return records, or empty if this daemon does not keep all of them, so that a snapshot is
   *     needed
   */
  Optional<List<StoredRecord>> recordsFrom(long fromOffset) {
    if (recent.isEmpty() || recent.peekFirst().offset() > fromOffset) {
      return Optional.empty();
    }
    return Optional.of(recent.stream().filter(stored -> stored.offset() >= fromOffset).toList());
  }

  List<ControlRecord.Snapshot> snapshot() {
    return state.snapshot(entry -> Json.write(entry).length());
  }

  /**
   * Appends a snapshot if the newest one is due to be replaced.
   *
   * @param nowMillis current time, in milliseconds since 1970
   * @param rank position of this VM among those that may append it; the others wait longer, so that
   *     usually only one does
   */
  void snapshotIfDue(long nowMillis, int rank) {
    boolean isDue =
        loaded
            && !recent.isEmpty()
            && schedule.isDue(nowMillis, recent.peekFirst().appendedAtMillis(), rank);
    if (isDue) {
      LOG.info("control_snapshot_appended", field("basis", state.nextOffset()));
      snapshot().forEach(this::append);
    }
  }

  @Override
  public void onReadFailed() {
    listener.onReadFailed();
  }
}
