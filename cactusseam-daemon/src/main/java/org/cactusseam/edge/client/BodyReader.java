package org.cactusseam.edge.client;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads a request body up to a size limit, after the memory for it is reserved. A longer body, and
 * one for which there is no memory, is discarded. The memory is held until {@link #release}.
 */
public final class BodyReader implements ClientMemory.Owner {

  /** Counted for the head of a request and the state of its exchange. */
  static final long REQUEST_BYTES = 8 << 10;

  /** First reservation for a body without an announced length. */
  private static final int FIRST_BODY_BYTES = 4 << 10;

  /** Method, protocol version, separators and the empty line after the head. */
  private static final int REQUEST_LINE_BYTES = 20;

  /** Separators of a header line. */
  private static final int HEADER_LINE_BYTES = 4;

  private static final int HASHED_PART_BYTES = 16 << 10;

  /** Outcome of reading a body. */
  public sealed interface Result {

    /**
     * The body is complete.
     *
     * @param body the whole body
     */
    record Complete(Buffer body) implements Result {}

    /** The body exceeds the size limit, and has been discarded. */
    record TooLong() implements Result {}

    /**
     * The body is not read, and what still arrives of it is discarded.
     *
     * @param limit the limit that the caller or the process has reached
     */
    record Refused(String limit) implements Result {}
  }

  private final HttpServerRequest request;
  private final int limit;
  private final CallerConnection connection;
  private final ClientMemory memory;
  private final Promise<Result> result = Promise.promise();
  private final long announcedBytes;
  private Buffer body = Buffer.buffer();
  private @Nullable Buffer waitingPart;
  private long reservedBodyBytes = -1;
  private long bodyBytes;
  private boolean isStarted;
  private boolean isDiscarding;
  private boolean isWaiting;
  private boolean isEnded;
  private final List<Runnable> endActions = new ArrayList<>(2);

  BodyReader(
      HttpServerRequest request, int limit, CallerConnection connection, ClientMemory memory) {
    this.request = request;
    this.limit = limit;
    this.connection = connection;
    this.memory = memory;
    this.announcedBytes = announcedBytes(request);
  }

  private static long announcedBytes(HttpServerRequest request) {
    if (request.headers().contains("Transfer-Encoding")) {
      return -1;
    }
    String length = request.getHeader("Content-Length");
    try {
      return length == null ? 0 : Long.parseLong(length.strip());
    } catch (NumberFormatException e) {
      // The decoder of the library rejects such a request; its bytes are counted as they arrive.
      return -1;
    }
  }

  /** Returns the size of the head of the request in bytes. */
  long headBytes() {
    long bytes = REQUEST_LINE_BYTES + request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_LINE_BYTES;
    }
    return bytes;
  }

  /**
   * Returns the announced length of the body.
   *
   * @return length in bytes, zero if none is announced
   */
  public long announcedBodyBytes() {
    return Math.max(0, announcedBytes);
  }

  /**
   * Reads the body.
   *
   * @return outcome; fails if the connection is closed before the end of the body
   */
  public Future<Result> read() {
    receive();
    if (announcedBytes > limit) {
      isDiscarding = true;
    } else if (reserve(announcedBytes < 0 ? FIRST_BODY_BYTES : announcedBytes)) {
      allocate();
    }
    return result.future();
  }

  /**
   * Returns whether the body is being read or discarded.
   *
   * @return whether it has been started
   */
  public boolean isStarted() {
    return isStarted;
  }

  /** Discards the body of a request that is answered without it, if it is not read. */
  void discardUnlessStarted() {
    if (!isStarted) {
      isDiscarding = true;
      result.tryComplete(new Result.TooLong());
      receive();
    }
  }

  private void receive() {
    isStarted = true;
    request.handler(this::append);
    request.exceptionHandler(
        cause -> {
          release();
          result.tryFail(cause);
          end();
        });
    request.endHandler(
        ended -> {
          result.tryComplete(isDiscarding ? new Result.TooLong() : new Result.Complete(body));
          end();
        });
  }

  private void end() {
    isEnded = true;
    endActions.forEach(Runnable::run);
    endActions.clear();
  }

  /**
   * Runs an action when the caller has sent the whole body, also if it was discarded.
   *
   * @param action action that is run once
   */
  void whenEnded(Runnable action) {
    if (isEnded) {
      action.run();
    } else {
      endActions.add(action);
    }
  }

  /** Reserves memory; without it, nothing is read until it is granted. */
  private boolean reserve(long newBodyBytes) {
    if (connection.isClosed()) {
      discard();
      return false;
    }
    reservedBodyBytes = newBodyBytes;
    if (memory.reserve(this, connection.address(), REQUEST_BYTES + newBodyBytes)) {
      return true;
    }
    isWaiting = true;
    request.pause();
    connection.meter().hold(this);
    return false;
  }

  private void allocate() {
    body = Buffer.buffer((int) reservedBodyBytes);
  }

  private void append(Buffer part) {
    bodyBytes += part.length();
    if (isDiscarding) {
      return;
    }
    long length = (long) body.length() + part.length();
    if (length > limit) {
      discard();
    } else if (length <= reservedBodyBytes || reserve(sizeFor(length))) {
      body.appendBuffer(part);
    } else if (!isDiscarding) {
      waitingPart = part;
    }
  }

  /** Returns the size to which the buffer of a body grows: it doubles, up to the limit. */
  private long sizeFor(long length) {
    return Math.min(limit, Long.highestOneBit(Math.max(1, length - 1)) * 2);
  }

  @Override
  public void onGranted() {
    if (connection.isClosed()) {
      release();
      return;
    }
    Buffer part = waitingPart;
    waitingPart = null;
    if (part == null) {
      allocate();
    } else {
      body.appendBuffer(part);
    }
    resume();
  }

  @Override
  public void onRefused() {
    if (connection.isClosed()) {
      return;
    }
    refuse("memory");
  }

  private void resume() {
    if (isWaiting) {
      isWaiting = false;
      connection.meter().release(this);
      request.resume();
    }
  }

  /**
   * Ends reading. The request has not been forwarded, so it has not run.
   *
   * @param reached the limit that is reached
   */
  void refuse(String reached) {
    if (result.tryComplete(new Result.Refused(reached))) {
      discard();
      resume();
    }
  }

  private void discard() {
    isDiscarding = true;
    waitingPart = null;
    release();
  }

  /**
   * Adds a body to a hash, in parts: a copy of the whole body would need its memory twice.
   *
   * @param hashed body
   * @param hasher hash to which the body is added
   * @return hash of everything that was added
   */
  public static HashCode hash(Buffer hashed, Hasher hasher) {
    for (int start = 0; start < hashed.length(); start += HASHED_PART_BYTES) {
      hasher.putBytes(hashed.getBytes(start, Math.min(hashed.length(), start + HASHED_PART_BYTES)));
    }
    return hasher.hash();
  }

  /** Returns whether bytes that arrive belong to the body. */
  boolean isReceiving() {
    return !isEnded;
  }

  /** Returns whether the request waits for the caller to send more of the body. */
  boolean isReading() {
    return !isWaiting && !result.future().isComplete();
  }

  /** Returns the bytes of the body that have arrived, also those that were discarded. */
  long bodyBytes() {
    return bodyBytes;
  }

  /**
   * Drops the body and the head after they have been decoded. What was decoded is counted with the
   * length of the body until the response has ended.
   */
  public void dropDecoded() {
    body = Buffer.buffer();
    if (!connection.isClosed()) {
      memory.reserve(this, connection.address(), bodyBytes);
      connection.releaseDeliveredHead();
    }
  }

  /** Ends the reservation, and drops the body. */
  void release() {
    body = Buffer.buffer();
    memory.release(this);
  }
}
