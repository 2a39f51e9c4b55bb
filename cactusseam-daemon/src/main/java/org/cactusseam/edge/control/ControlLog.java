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
 * Keeps the control state current: loads it from the log or from a peer, follows the log, and
 * writes snapshots before old records expire. Confined to the control thread.
 */
final class ControlLog implements LogTailer.Listener {

  /** What the control plane hears. */
  interface Listener {

    /**
     * The state changed by one record.
     *
     * @param record record
     * @param before configuration before the record
     */
    void applied(ControlRecord record, Configuration before);

    /** The state was loaded as a whole. */
    void loaded();

    /**
     * The log was read.
     *
     * @param sentAt when the read was sent
     * @param current whether it reached the end of the log
     */
    void read(Instant sentAt, boolean current);

    /** The log could not be read. */
    void failed();
  }

  private static final StructuredLog LOG = StructuredLog.of(ControlLog.class);

  /** Enough for a peer that missed a minute of changes at the target scale. */
  private static final int RECENT_RECORDS = 512;

  private final AppendOnlyLog log;
  private final String stream;
  private final Duration retention;
  private final Listener listener;
  private final LogTailer tailer;
  private final SnapshotSchedule schedule;
  private final Deque<StoredRecord> recent = new ArrayDeque<>();
  private final TreeMap<Integer, ControlRecord.Snapshot> partsFromPeer = new TreeMap<>();
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
  public void read(Instant sentAt, LogPage page) {
    boolean gap = loaded && loader == null && !state.canContinueFrom(page.earliest());
    if (gap) {
      LOG.warn(
          "control_log_gap", field("next", state.nextOffset()), field("earliest", page.earliest()));
      loadOffset = 0;
    }
    if (gap || (!loaded && loader == null)) {
      loader = new ControlStateLoader(retention, page.earliest());
    }
    if (gap) {
      return;
    }
    List<StoredRecord> records = page.records().stream().map(ControlLog::parse).toList();
    if (loader != null) {
      load(loader, records, page);
    } else {
      records.forEach(this::apply);
    }
    if (loaded && loader == null) {
      listener.read(sentAt, state.nextOffset() >= page.end());
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

  private void load(ControlStateLoader current, List<StoredRecord> records, LogPage page) {
    for (StoredRecord stored : records) {
      current.add(stored.offset(), stored.appendedAtMillis(), stored.record());
      schedule.onRecordApplied(stored.appendedAtMillis(), stored.record());
      remember(stored);
    }
    loadOffset =
        page.records().isEmpty()
            ? Math.max(loadOffset, page.earliest())
            : page.records().get(page.records().size() - 1).offset() + 1;
    if (loadOffset < page.end()) {
      return;
    }
    loader = null;
    current
        .state()
        .peek(this::replace)
        .peekLeft(
            failure -> {
              loadOffset = 0;
              LOG.warn("control_log_incomplete", field("reason", failure));
            });
  }

  private void replace(ControlState newer) {
    if (loaded && newer.nextOffset() < state.nextOffset()) {
      return;
    }
    state = newer;
    loaded = true;
    LOG.info("control_state_loaded", field("next_offset", state.nextOffset()));
    listener.loaded();
  }

  private void apply(StoredRecord stored) {
    if (stored.offset() != state.nextOffset()) {
      return;
    }
    Configuration before = state.configuration();
    state.apply(stored.offset(), stored.appendedAtMillis(), stored.record());
    schedule.onRecordApplied(stored.appendedAtMillis(), stored.record());
    remember(stored);
    listener.applied(stored.record(), before);
  }

  private void remember(StoredRecord stored) {
    recent.addLast(stored);
    if (recent.size() > RECENT_RECORDS) {
      recent.removeFirst();
    }
  }

  /**
   * Applies records that a peer has read from the log.
   *
   * @param records records without a gap
   */
  void receivedRecords(List<StoredRecord> records) {
    if (loaded && loader == null) {
      records.forEach(this::apply);
    }
  }

  /**
   * Collects the parts of a peer's snapshot and loads it when it is complete and newer.
   *
   * @param part part
   */
  void receivedState(ControlRecord.Snapshot part) {
    boolean another =
        !partsFromPeer.isEmpty() && partsFromPeer.firstEntry().getValue().basis() != part.basis();
    if (another) {
      partsFromPeer.clear();
    }
    partsFromPeer.put(part.part(), part);
    if (partsFromPeer.size() < part.parts()) {
      return;
    }
    List<ControlRecord.Snapshot> parts = List.copyOf(partsFromPeer.values());
    partsFromPeer.clear();
    if (state.load(parts)) {
      loaded = true;
      loader = null;
      LOG.info("control_state_from_peer", field("next_offset", state.nextOffset()));
      listener.loaded();
    }
  }

  /**
   * Returns the records from an offset on, if they are all at hand.
   *
   * @param fromOffset first offset
   * @return records, or empty if a snapshot is needed
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
   * Appends a snapshot if the newest one gets old.
   *
   * @param nowMillis current time
   * @param rank place of this node among those that could do it
   */
  void snapshotIfDue(long nowMillis, int rank) {
    boolean due =
        loaded
            && !recent.isEmpty()
            && schedule.isDue(nowMillis, recent.peekFirst().appendedAtMillis(), rank);
    if (due) {
      LOG.info("control_snapshot_appended", field("basis", state.nextOffset()));
      snapshot().forEach(this::append);
    }
  }

  @Override
  public void failed() {
    listener.failed();
  }
}
