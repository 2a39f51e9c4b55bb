package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import java.time.Duration;

/** Client of the platform's append-only log service. */
public interface AppendOnlyLog {

  /**
   * Appends a record.
   *
   * @param stream name of the stream
   * @param record text to append
   * @return offset of the record; fails with {@link LogException}, which tells whether the record
   *     may have been appended
   */
  Future<Long> append(String stream, String record);

  /**
   * Reads records.
   *
   * @param stream name of the stream
   * @param from offset of the first record to return
   * @param limit maximum number of records
   * @param wait how long the service may wait for a record at {@code from} if there is none yet
   * @return records in the order of their offsets; fails with {@link LogException}
   */
  Future<LogPage> read(String stream, long from, int limit, Duration wait);
}
