package org.cactusseam.edge.client;

import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.cactusseam.logic.memory.ByteProgress;
import org.jspecify.annotations.Nullable;

/**
 * Connection of a caller, with what it has transferred. Owns the reservation for heads; {@link
 * BodyReader} owns that for a body.
 */
public final class CallerConnection implements ClientMemory.Owner {

  /**
   * Bytes received for each byte of a body, beyond {@link ClientMemory#maxFramingBytes}. Chunks of
   * one byte take six, and decoding them takes the event loop from the other callers.
   */
  private static final long MAX_BYTES_PER_BODY_BYTE = 3;

  /** Three times the time that ordinary callers take for a head, {@code header_timeout_ms}. */
  private static final Duration MAX_HEAD_TIME = Duration.ofSeconds(9);

  private final HttpConnection connection;
  private final ConnectionMeter meter;
  private final ClientMemory memory;
  private final BiConsumer<CallerConnection, String> closer;
  private final String address;
  private final ByteProgress bodyProgress;
  private final ByteProgress writeProgress;
  private @Nullable BodyReader reader;
  private int openRequests;
  private long receivedBefore;
  private long receivedAtLastRead;
  private long lastReadBytes;
  private boolean isClosed;
  private boolean isWaiting;
  private boolean isRefused;
  private long headBytes;
  private long deliveredHeadBytes;
  private @Nullable Instant headSince;
  private Instant idleSince;

  CallerConnection(
      HttpConnection connection,
      ConnectionMeter meter,
      ClientMemory memory,
      BiConsumer<CallerConnection, String> closer,
      Instant now) {
    this.connection = connection;
    this.meter = meter;
    this.memory = memory;
    this.closer = closer;
    this.address =
        connection.remoteAddress() == null ? "" : connection.remoteAddress().hostAddress();
    this.bodyProgress = new ByteProgress(0, now);
    this.writeProgress = new ByteProgress(0, now);
    this.idleSince = now;
    meter.setAdmission(this, this::admitBytes);
  }

  HttpConnection connection() {
    return connection;
  }

  ConnectionMeter meter() {
    return meter;
  }

  String address() {
    return address;
  }

  private boolean hasOpenRequest() {
    return openRequests > 0;
  }

  /** Returns whether nothing is lost for the caller if the connection is closed. */
  boolean isIdle() {
    return !hasOpenRequest() && !meter.isAwaitingWritable() && meter.unsent() == 0;
  }

  Instant idleSince() {
    return idleSince;
  }

  Optional<BodyReader> reader() {
    return Optional.ofNullable(reader);
  }

  private boolean isReadingBody() {
    return reader != null && reader.isReceiving();
  }

  boolean isClosed() {
    return isClosed;
  }

  /** Leaves out a time in which the process was stopped. */
  void skipTime(Duration stopped, Instant now) {
    bodyProgress.skipTime(stopped, now);
    writeProgress.skipTime(stopped, now);
    if (headSince != null) {
      headSince = ByteProgress.shift(headSince, stopped, now);
    }
  }

  /** Reserves memory for heads before they are decoded. */
  private ConnectionMeter.Decision admitBytes() {
    if (isClosed) {
      return ConnectionMeter.Decision.DISCARD;
    }
    lastReadBytes = meter.received() - receivedAtLastRead;
    receivedAtLastRead = meter.received();
    Optional<String> exceeded = exceededBytes();
    if (exceeded.isPresent()) {
      closer.accept(this, exceeded.get());
      // The rest of a refused body cannot be decoded if a part of it is missing.
      return isClosed ? ConnectionMeter.Decision.DISCARD : ConnectionMeter.Decision.KEEP;
    }
    if (isReadingBody()) {
      // What was read before has been added to the body.
      shrinkHead(deliveredHeadBytes);
      return ConnectionMeter.Decision.DECODE;
    }
    // Before this read is recorded: it may complete the head.
    memory
        .incompleteHeads()
        .takeExcess()
        .forEach(excess -> excess.closer.accept(excess, "incomplete_heads"));
    if (isClosed) {
      return ConnectionMeter.Decision.DISCARD;
    }
    headBytes += lastReadBytes;
    isWaiting = !memory.reserve(this, address, headBytes * ClientMemory.MEMORY_PER_HEAD_BYTE);
    if (!isWaiting) {
      recordIncompleteHead();
    }
    return isWaiting ? ConnectionMeter.Decision.KEEP : ConnectionMeter.Decision.DECODE;
  }

  private void recordIncompleteHead() {
    if (hasOpenRequest() || headBytes == 0) {
      memory.incompleteHeads().remove(this);
    } else {
      memory.incompleteHeads().record(this, headBytes * ClientMemory.MEMORY_PER_HEAD_BYTE);
    }
  }

  /** Returns the bytes that are reserved for heads and for the body. */
  private long heldBytes() {
    return memory.heldBytes(this) + (reader == null ? 0 : memory.heldBytes(reader));
  }

  /**
   * Returns the bytes that the connection would free, if it has made no progress for a time. Zero
   * if it holds little: closing it would not help those that wait.
   */
  long heldWithoutProgress(Duration limit, Instant now) {
    long held = heldBytes();
    return memory.isLarge(held) && timeWithoutProgress(now).compareTo(limit) > 0 ? held : 0;
  }

  /** Returns whether a request has arrived, at least in part, that has not been started or read. */
  boolean hasUnfinishedRequest() {
    return meter.isAwaitingWritable() || meter.hasKept() || isReadingBody();
  }

  @Override
  public void onGranted() {
    if (isClosed) {
      memory.release(this);
      return;
    }
    isWaiting = false;
    recordIncompleteHead();
    meter.release(this);
  }

  @Override
  public void onRefused() {
    if (isClosed) {
      return;
    }
    if (hasOpenRequest() || meter.unsent() > 0) {
      // A close would cut off the response before the request that does not fit.
      isRefused = true;
    } else {
      closer.accept(this, "memory");
    }
  }

  /** Reserves again what was refused while a response was open. */
  void retryRefused() {
    if (isRefused && !isClosed && !hasOpenRequest() && meter.unsent() == 0) {
      isRefused = false;
      if (memory.reserve(this, address, headBytes * ClientMemory.MEMORY_PER_HEAD_BYTE)) {
        onGranted();
      }
    }
  }

  void recordRequestStart(BodyReader newReader, Instant now) {
    openRequests++;
    memory.incompleteHeads().remove(this);
    headSince = null;
    reader = newReader;
    newReader.whenEnded(this::recordBodyEnd);
    bodyProgress.restart(0, now);
    deliveredHeadBytes = newReader.headBytes();
    shrinkHead(headBytes - newReader.announcedBodyBytes());
  }

  /** Reduces the reservation for heads, but not below the head of the current request. */
  private void shrinkHead(long bytes) {
    long reduced = Math.max(bytes, deliveredHeadBytes);
    if (!isClosed && !isWaiting && reduced < headBytes) {
      headBytes = reduced;
      memory.reserve(this, address, headBytes * ClientMemory.MEMORY_PER_HEAD_BYTE);
    }
  }

  /** Ends the reservation for the head of the current request, because its headers are dropped. */
  void releaseDeliveredHead() {
    long following = Math.max(0, headBytes - deliveredHeadBytes);
    deliveredHeadBytes = 0;
    shrinkHead(following);
  }

  /** A body that was refused may end after its response. */
  private void recordBodyEnd() {
    if (!hasOpenRequest()) {
      receivedBefore = meter.received();
    }
  }

  void recordRequestEnd(Instant now) {
    openRequests--;
    receivedBefore = meter.received();
    idleSince = now;
  }

  /** Reduces the reservation for heads to what may be left after the end of a request. */
  void releaseHead() {
    if (isClosed) {
      return;
    }
    if (isWaiting) {
      retryRefused();
      return;
    }
    headBytes =
        !hasOpenRequest() ? meter.received() - receivedBefore : Math.min(headBytes, lastReadBytes);
    recordIncompleteHead();
    if (headBytes == 0) {
      memory.release(this);
    } else {
      memory.reserve(this, address, headBytes * ClientMemory.MEMORY_PER_HEAD_BYTE);
    }
  }

  /** Ends all reservations, because the connection is closed. */
  void releaseAll() {
    isClosed = true;
    memory.incompleteHeads().remove(this);
    memory.release(this);
    if (reader != null) {
      reader.release();
    }
  }

  /**
   * Returns the time for which the body that is being read, or the response that is being written,
   * has made no progress. Zero if neither is in progress.
   */
  Duration timeWithoutProgress(Instant now) {
    Duration reading = Duration.ZERO;
    if (reader == null || !reader.isReading()) {
      bodyProgress.restart(0, now);
    } else {
      reading = bodyProgress.timeWithoutProgress(reader.bodyBytes(), now);
    }
    if (meter.unsent() == 0) {
      writeProgress.restart(meter.sent(), now);
      return reading;
    }
    Duration writing = writeProgress.timeWithoutProgress(meter.sent(), now);
    return reading.compareTo(writing) > 0 ? reading : writing;
  }

  private Optional<String> exceededBytes() {
    if (!hasOpenRequest() && isReadingBody()) {
      // The rest of a body that was refused; it is discarded, for a bounded time.
      return Optional.empty();
    }
    long bodyBytes = reader == null || !hasOpenRequest() ? 0 : reader.bodyBytes();
    long framing = meter.received() - receivedBefore - bodyBytes * MAX_BYTES_PER_BODY_BYTE;
    return framing > memory.maxFramingBytes()
        ? Optional.of(!hasOpenRequest() ? "head_bytes" : "framing_bytes")
        : Optional.empty();
  }

  /** Returns whether the caller takes too long for a head. */
  boolean exceedsHeadTime(Instant now) {
    if (!isIdle() || meter.received() == receivedBefore) {
      headSince = null;
    } else if (headSince == null) {
      headSince = now;
    }
    return headSince != null && headSince.plus(MAX_HEAD_TIME).isBefore(now);
  }
}
