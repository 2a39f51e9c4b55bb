package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import java.time.Duration;

/** The platform's append-only log service. */
public interface AppendOnlyLog {

  /**
   * Appends a record.
   *
   * @param stream name of the stream
   * @param record record
   * @return the offset; fails with {@link LogException}, which tells whether the record may have
   *     been appended
   */
  Future<Long> append(String stream, String record);

  /**
   * Reads records.
   *
   * @param stream name of the stream
   * @param from offset of the first record wanted
   * @param limit bound on the number of records
   * @param wait how long the service may wait for a record at {@code from}
   * @return records; fails with {@link LogException}
   */
  Future<LogPage> read(String stream, long from, int limit, Duration wait);
}
