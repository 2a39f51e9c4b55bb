package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.model.gateway.StreamOrigin;

/**
 * Appends the origins of streams to the store, in batches with one call at a time. An append that
 * failed is repeated until the store has the origins or nobody needs them any more.
 */
final class StreamOriginWriter {

  private static final StructuredLog LOG = StructuredLog.of(StreamOriginWriter.class);

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

  /**
   * Time without a response after which an append counts as failing. Covers a store that answers 50
   * times as slowly as usual, in 4 ms.
   */
  static final Duration SLOW_APPEND = Duration.ofMillis(300);

  private final Gateway gateway;
  private final Predicate<StreamOrigin> isNeeded;
  private List<Pending> unsaved = new ArrayList<>();
  private Optional<StreamOriginStore> store = Optional.empty();
  private Optional<Instant> savingSince = Optional.empty();
  private boolean hasFailed;
  private boolean isRetryScheduled;

  /**
   * An origin that the store does not have yet.
   *
   * @param origin origin
   * @param isRequired whether the first failure of a call is final
   * @param saved completes when the store has it
   */
  private record Pending(StreamOrigin origin, boolean isRequired, Promise<Void> saved) {}

  /**
   * Creates a writer.
   *
   * @param gateway gateway of the streams
   * @param isNeeded whether an origin must still be written; the others are dropped
   */
  StreamOriginWriter(Gateway gateway, Predicate<StreamOrigin> isNeeded) {
    this.gateway = gateway;
    this.isNeeded = isNeeded;
  }

  void setStore(StreamOriginStore newStore) {
    store = Optional.of(newStore);
  }

  /** Returns whether the latest append failed, or has had no response for a while. */
  boolean isFailing() {
    return hasFailed
        || savingSince
            .filter(since -> since.plus(SLOW_APPEND).isBefore(gateway.clock().instant()))
            .isPresent();
  }

  /**
   * Appends an origin with the next call, and again after a failure.
   *
   * @return completes when the store has the origin; does not complete if it is no longer needed
   */
  Future<Void> save(StreamOrigin origin) {
    return add(new Pending(origin, false, Promise.promise()));
  }

  /**
   * Appends an origin with the next call.
   *
   * @return completes when the store has the origin; fails if the call fails, with {@link
   *     NotExecutedException} if it was certainly not written
   */
  Future<Void> saveOrFail(StreamOrigin origin) {
    return add(new Pending(origin, true, Promise.promise()));
  }

  private Future<Void> add(Pending pending) {
    unsaved.add(pending);
    if (!isRetryScheduled) {
      saveAll();
    }
    return pending.saved().future();
  }

  private void saveAll() {
    unsaved.removeIf(pending -> !isNeeded.test(pending.origin()));
    if (savingSince.isPresent() || unsaved.isEmpty() || store.isEmpty()) {
      return;
    }
    savingSince = Optional.of(gateway.clock().instant());
    List<Pending> batch = unsaved;
    unsaved = new ArrayList<>();
    store
        .get()
        .append(batch.stream().map(Pending::origin).toList())
        .onComplete(
            result -> {
              savingSince = Optional.empty();
              hasFailed = result.failed();
              if (result.succeeded()) {
                batch.forEach(pending -> pending.saved().tryComplete());
                saveAll();
              } else {
                onFailed(batch, result.cause());
              }
            });
  }

  private void onFailed(List<Pending> batch, Throwable cause) {
    LOG.warn("origins_not_stored", field("streams", batch.size()), field("cause", cause));
    List<Pending> kept =
        new ArrayList<>(batch.stream().filter(pending -> !pending.isRequired()).toList());
    kept.addAll(unsaved);
    unsaved = kept;
    isRetryScheduled = true;
    gateway.vertx().setTimer(RETRY_INTERVAL.toMillis(), timer -> retry());
    batch.stream().filter(Pending::isRequired).forEach(pending -> pending.saved().tryFail(cause));
  }

  private void retry() {
    isRetryScheduled = false;
    saveAll();
  }
}
