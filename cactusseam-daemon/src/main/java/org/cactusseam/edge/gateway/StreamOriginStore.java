package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import java.util.List;
import org.cactusseam.model.gateway.StreamOrigin;

/**
 * Keeps in the platform's store which version began a stream, for gateways that start later.
 * Implemented by the platform's adapter.
 */
public interface StreamOriginStore {

  /**
   * Appends origins. One that is appended twice does no harm.
   *
   * @param origins origins in the order in which the streams were sent
   * @return completes when the store has them; fails with {@link NotExecutedException} if it has
   *     not written them and never will, and otherwise if it may not have them
   */
  Future<Void> append(List<StreamOrigin> origins);

  /**
   * Reads the origins that were appended since the last successful read; at first, all that the
   * store retains.
   *
   * @return origins in the order in which they were appended
   */
  Future<List<StreamOrigin>> readNew();

  /**
   * Writes the versions of a service. Every gateway reads them and calls {@link
   * StoreUpdateListener#onServiceVersions}.
   *
   * @param service name of the service
   * @param versions versions that may have begun a stream, the oldest first
   * @return completes when they are written; fails if they may not be
   */
  Future<Void> putVersions(String service, List<String> versions);
}
